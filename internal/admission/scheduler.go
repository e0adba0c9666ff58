package admission

import (
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/admission/estimate"
	"gypsumtrestle.example/gypsumtrestle/pkg/text"
)

// Defaults of a Scheduler's fields.
const (
	defaultQueue    = 1024
	defaultDeclared = 100 * time.Millisecond
)

// Scheduler decides for one pool at one daemon. It is not safe for concurrent
// use. The zero value has no slots and equal shares.
type Scheduler struct {
	// Slots is the number of requests that may run at once.
	Slots int
	// ZoneSlots is the number of the pool's slots in the zone. Queued requests may
	// run above Slots, up to Zone, where a runner has room.
	ZoneSlots int
	// Shares are the weights of the classes. A share below 1 counts as 1, so
	// that no class starves.
	Shares [text.Classes]int
	// QueueLimit bounds the queue of each class; 0 means 1024.
	QueueLimit int
	// DeclaredRunTime is the expected run time before any request has completed; 0
	// means 100 ms.
	DeclaredRunTime time.Duration

	entries entries
	classes [text.Classes]class
	mean    estimate.Mean // run time over all classes
	running int
	queued  int
	retry   pace    // attempts within Slots
	probe   pace    // attempts above Slots
	virtual float64 // start tag of the newest dispatch
}

// class is the state of one urgency class.
type class struct {
	queue   fifo
	running int
	tag     float64 // virtual time up to which slot time is charged
	run     estimate.RunTime
	// rejected counts Late and Full rejections.
	rejected estimate.Rate
}

// Arrive decides on a new request: Run, Wait or Reject. The ID is valid for
// Run and Wait. A zero deadline means that there is none.
func (s *Scheduler) Arrive(now time.Time, c text.Class, deadline time.Time) (ID, Decision) {
	k := s.class(c)
	if s.queued == 0 && s.running < s.Slots && s.retry.due(now) {
		if s.late(k, now, deadline) {
			return ID{}, s.reject(now, Late, k.run.Seconds)
		}
		i := s.entries.take(c, s.latest(k, now, deadline))
		s.run(now, i)
		return ID{i, s.entries.all[i].gen}, Decision{Verdict: Run, Reason: Free}
	}
	wait := s.predict(k)
	latest := s.latest(k, now, deadline)
	if !deadline.IsZero() {
		if !now.Before(deadline) {
			return ID{}, s.reject(now, Late, wait)
		}
		if over := wait - latest.Sub(now).Seconds(); over > 0 && !k.idle() {
			k.rejected.Add(now)
			return ID{}, s.reject(now, Late, over)
		}
	}
	if k.queue.n >= s.bound() {
		k.rejected.Add(now)
		return ID{}, s.reject(now, Full, wait)
	}
	i := s.entries.take(c, latest)
	x := &s.entries.all[i]
	if k.queue.n == 0 {
		k.tag = max(k.tag, s.virtual)
	}
	k.queue.push(&s.entries, i)
	s.queued++
	return ID{i, x.gen}, Decision{Verdict: Wait, Reason: NoSlot}
}

// Next decides on one queued request when a slot is free: Run, or Reject when
// its deadline can no longer be met. It returns false when there is nothing to
// decide. Call it until it returns false after every event that may free a
// slot.
func (s *Scheduler) Next(now time.Time) (ID, text.Class, Decision, bool) {
	reason, ok := s.room(now)
	if !ok {
		return ID{}, 0, Decision{}, false
	}
	k := s.first()
	i := k.queue.head
	x := &s.entries.all[i]
	id, c := ID{i, x.gen}, x.class
	late := !x.latest.IsZero() && now.After(x.latest)
	k.queue.remove(&s.entries, i)
	s.queued--
	if late {
		s.entries.release(i)
		return id, c, s.reject(now, Expired, s.predict(k)), true
	}
	if reason == Spare {
		x.extra = true
		s.probe.gap = max(s.probe.gap/probeShrink, s.gap(probeLeast))
		s.probe.next = now.Add(s.probe.gap)
	}
	s.run(now, i)
	return id, c, Decision{Verdict: Run, Reason: reason}, true
}

// Done ends a running request and corrects the estimate of its class. It
// reports false for an ID that is not running.
func (s *Scheduler) Done(now time.Time, id ID) bool {
	x := s.entries.get(id)
	if x == nil || !x.running {
		return false
	}
	k := &s.classes[x.class]
	took := now.Sub(x.started).Seconds()
	k.run.Observe(took)
	s.mean.Observe(took)
	if !x.extra {
		s.retry.gap = 0
	}
	s.end(k, id.index)
	s.yield(now)
	return true
}

// Abandon ends a request that never reached a runner: queued, or admitted and
// not dispatched. The run-time estimate is left as it was.
func (s *Scheduler) Abandon(id ID) bool {
	x := s.entries.get(id)
	if x == nil {
		return false
	}
	k := &s.classes[x.class]
	if x.running {
		k.tag -= x.charge / s.share(x.class)
		s.end(k, id.index)
		return true
	}
	k.queue.remove(&s.entries, id.index)
	s.queued--
	s.entries.release(id.index)
	return true
}

// Drop removes one queued request, whatever its class. It returns false when
// none is queued.
func (s *Scheduler) Drop() (ID, text.Class, bool) {
	if s.queued == 0 {
		return ID{}, 0, false
	}
	i := s.first().queue.head
	id, c := ID{i, s.entries.all[i].gen}, s.entries.all[i].class
	return id, c, s.Abandon(id)
}

// Class returns the class of a live request.
func (s *Scheduler) Class(id ID) (text.Class, bool) {
	x := s.entries.get(id)
	if x == nil {
		return 0, false
	}
	return x.class, true
}

// LatestStart returns the last instant at which a live request should start, or the
// zero time when it has no deadline.
func (s *Scheduler) LatestStart(id ID) time.Time {
	if x := s.entries.get(id); x != nil {
		return x.latest
	}
	return time.Time{}
}

// Demand returns the slots that each class could use: running and queued
// requests, and the slots that recently rejected ones would have used. Without
// the rejected ones a daemon with few slots, and so a short queue, could not
// show how much work it has.
func (s *Scheduler) Demand(now time.Time) [text.Classes]int {
	var d [text.Classes]int
	for c := range s.classes {
		k := &s.classes[c]
		d[c] = k.running + k.queue.n + int(k.rejected.PerSecond(now)*k.run.Seconds+0.5)
	}
	return d
}

// run gives entry i a slot and charges its class the expected run time.
func (s *Scheduler) run(now time.Time, i int32) {
	x := &s.entries.all[i]
	k := &s.classes[x.class]
	x.running, x.started, x.charge = true, now, k.run.Seconds
	start := max(k.tag, s.virtual)
	if s.queued > 0 {
		start = k.tag
	}
	s.virtual = max(s.virtual, start)
	k.tag = start + x.charge/s.share(x.class)
	k.running++
	s.running++
}

// end frees the slot of entry i.
func (s *Scheduler) end(k *class, i int32) {
	k.running--
	s.running--
	s.entries.release(i)
}

// first returns the class with work whose charged slot time is the least.
func (s *Scheduler) first() *class {
	var best *class
	for c := range s.classes {
		k := &s.classes[c]
		if k.queue.n > 0 && (best == nil || k.tag < best.tag) {
			best = k
		}
	}
	return best
}

// reject builds a rejection that may be retried after the given seconds.
func (s *Scheduler) reject(now time.Time, r Reason, after float64) Decision {
	return Decision{
		Verdict: Reject, Reason: r,
		RetryAfter: now.Add(time.Duration(after * float64(time.Second))),
	}
}

// class returns the state of class c with a started estimate.
func (s *Scheduler) class(c text.Class) *class {
	k := &s.classes[c]
	if k.run.Seconds == 0 {
		d := s.DeclaredRunTime
		if d == 0 {
			d = defaultDeclared
		}
		k.run.SetDeclared(d)
		if s.mean.Seconds == 0 {
			s.mean.SetDeclared(d)
		}
	}
	return k
}

func (s *Scheduler) share(c text.Class) float64 { return float64(max(1, s.Shares[c])) }

func (s *Scheduler) bound() int {
	if s.QueueLimit > 0 {
		return s.QueueLimit
	}
	return defaultQueue
}
