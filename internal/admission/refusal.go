package admission

import "time"

// Gaps between attempts after runners refused, in parts of the mean run time.
// Every gap leaves a freed slot unused, and every refusal costs a runner the
// handling of one request; docs/floods.md has the figures.
const (
	retryLeast = 1.0 / 128
	retryMost  = 1.0 / 64
	probeLeast = 1.0 / 512
	probeMost  = 1.0 / 8

	// minGap bounds the gaps from below: with run times near zero the attempts
	// would otherwise follow each other without a pause.
	minGap = 100 * time.Microsecond

	// retryGrowth and probeGrowth multiply the gap at a refusal. A probe
	// divides its gap by probeShrink in advance, so that the gap settles where
	// about one probe in seven finds a free slot.
	retryGrowth = 2
	probeGrowth = 5
	probeShrink = 4

	// yieldTime is how long a daemon above its division leaves a freed slot to
	// the others. Any gap longer than their retries is enough; none at all
	// lets it keep the slot for ever.
	yieldTime = 1.0 / 128
)

// pace spaces attempts that a runner may refuse.
type pace struct {
	next time.Time
	gap  time.Duration
}

// due reports whether an attempt may be made.
func (p *pace) due(now time.Time) bool { return !now.Before(p.next) }

// refused multiplies the gap, between the bounds, and waits for it.
func (p *pace) refused(now time.Time, growth, least, most time.Duration) {
	p.gap = min(max(growth*p.gap, least), most)
	p.next = now.Add(p.gap)
}

// room reports whether a queued request may run now, and why.
func (s *Scheduler) room(now time.Time) (Reason, bool) {
	switch {
	case s.queued == 0:
		return 0, false
	case s.running < s.Slots:
		return Turn, s.retry.due(now)
	default:
		return Spare, s.running < s.ZoneSlots && s.probe.due(now)
	}
}

// NextWake returns the instant after which Next may have a decision without
// another event, or the zero time.
func (s *Scheduler) NextWake() time.Time {
	switch {
	case s.queued == 0:
		return time.Time{}
	case s.running < s.Slots:
		return s.retry.next
	case s.running < s.ZoneSlots:
		return s.probe.next
	default:
		return time.Time{}
	}
}

// Requeue puts a running request back to the head of its queue, because every
// runner that was asked had no free slot. The request gets a new ID. It
// reports false for an ID that is not running.
func (s *Scheduler) Requeue(now time.Time, id ID) (ID, bool) {
	x := s.entries.get(id)
	if x == nil || !x.running {
		return ID{}, false
	}
	k := &s.classes[x.class]
	if x.extra {
		s.probe.refused(now, probeGrowth, s.gap(probeLeast), s.gap(probeMost))
	} else {
		s.retry.refused(now, retryGrowth, s.gap(retryLeast), s.gap(retryMost))
	}
	k.tag -= x.charge / s.share(x.class)
	x.running, x.extra = false, false
	k.running--
	s.running--
	k.queue.unshift(&s.entries, id.index)
	s.queued++
	x.gen++
	return ID{id.index, x.gen}, true
}

// gap returns a fraction of the mean run time, at least minGap.
func (s *Scheduler) gap(fraction float64) time.Duration {
	return max(part(s.mean.Seconds, fraction), minGap)
}

// part returns a fraction of a run time in seconds.
func part(run, fraction float64) time.Duration {
	return time.Duration(run * fraction * float64(time.Second))
}

// yield leaves a freed slot to the daemon that it is due to: one that runs
// above the division does not attempt to take it back at once.
func (s *Scheduler) yield(now time.Time) {
	if s.running < s.Slots {
		return
	}
	if next := now.Add(part(s.mean.Seconds, yieldTime)); next.After(s.probe.next) {
		s.probe.next = next
	}
}
