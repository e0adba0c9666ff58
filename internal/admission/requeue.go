package admission

import "time"

// Bounds of the delay between attempts after runners rejected a request as busy,
// as fractions of the mean run time. Each delay leaves a freed slot unused, and
// each rejection costs a runner the handling of one request; see docs/floods.md
// for measurements.
const (
	minRetryDelay = 1.0 / 128
	maxRetryDelay = 1.0 / 64
	minProbeDelay = 1.0 / 512
	maxProbeDelay = 1.0 / 8

	// minDelay is a lower bound of all delays. Without it, attempts would follow
	// each other without a pause if run times are near zero.
	minDelay = 100 * time.Microsecond

	// retryGrowth and probeGrowth multiply the delay after a rejection. Each
	// probe first divides its delay by probeShrink, so that the delay converges
	// to a value at which about one probe in seven finds a free slot.
	retryGrowth = 2
	probeGrowth = 5
	probeShrink = 4

	// yieldDelay is the time, as a fraction of the mean run time, for which a
	// daemon above its share of slots leaves a freed slot to the other daemons.
	// Any delay longer than their retry delays is sufficient; without a delay,
	// the daemon would reuse the slot indefinitely.
	yieldDelay = 1.0 / 128
)

// backoff delays attempts that a runner may reject as busy.
type backoff struct {
	next  time.Time
	delay time.Duration
}

// due reports whether an attempt may be made.
func (b *backoff) due(now time.Time) bool { return !now.Before(b.next) }

// increase multiplies the delay after a rejection, keeps it within the bounds
// and schedules the next attempt.
func (b *backoff) increase(now time.Time, growth, lower, upper time.Duration) {
	b.delay = min(max(growth*b.delay, lower), upper)
	b.next = now.Add(b.delay)
}

// canRunQueued reports whether a queued request may run now, and for what reason.
func (s *Scheduler) canRunQueued(now time.Time) (Reason, bool) {
	switch {
	case s.queued == 0:
		return 0, false
	case s.running < s.Slots:
		return Turn, s.retry.due(now)
	default:
		return Spare, s.running < s.ZoneSlots && s.probe.due(now)
	}
}

// NextWake returns the time after which Next may have a decision without another
// event, or the zero time if there is none.
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

// Requeue returns a running request to the head of its queue, after all runners
// that it was sent to rejected it as busy. The request gets a new ID. Requeue
// returns false if the ID is not that of a running request.
func (s *Scheduler) Requeue(now time.Time, id ID) (ID, bool) {
	x := s.entries.get(id)
	if x == nil || !x.running {
		return ID{}, false
	}
	cs := &s.classes[x.class]
	if x.spare {
		s.probe.increase(now, probeGrowth, s.delay(minProbeDelay), s.delay(maxProbeDelay))
	} else {
		s.retry.increase(now, retryGrowth, s.delay(minRetryDelay), s.delay(maxRetryDelay))
	}
	cs.finishTag -= x.charge / s.weight(x.class)
	x.running, x.spare = false, false
	cs.running--
	s.running--
	cs.queue.unshift(&s.entries, id.index)
	s.queued++
	x.gen++
	return ID{id.index, x.gen}, true
}

// delay returns a fraction of the mean run time, at least minDelay.
func (s *Scheduler) delay(fraction float64) time.Duration {
	return max(scaleSeconds(s.meanRunTime.Seconds, fraction), minDelay)
}

// scaleSeconds returns the product of factor and a time in seconds.
func scaleSeconds(seconds, factor float64) time.Duration {
	return time.Duration(seconds * factor * float64(time.Second))
}

// yield leaves a freed slot to the daemon whose share it belongs to: a daemon
// that runs above its share delays its next probe.
func (s *Scheduler) yield(now time.Time) {
	if s.running < s.Slots {
		return
	}
	if next := now.Add(scaleSeconds(s.meanRunTime.Seconds, yieldDelay)); next.After(s.probe.next) {
		s.probe.next = next
	}
}
