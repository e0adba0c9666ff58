package admission

import (
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/admission/estimate"
	"gypsumtrestle.example/gypsumtrestle/pkg/text"
)

// Defaults of Scheduler fields.
const (
	defaultQueueLimit      = 1024
	defaultDeclaredRunTime = 100 * time.Millisecond
)

// Scheduler admits the requests of one pool at one daemon. Queued classes are
// served in weighted fair order: a run charges its class the expected run time
// divided by the share of the class, and the class charged least is next. A
// Scheduler is not safe for concurrent use. The zero value has no slots and equal
// shares.
type Scheduler struct {
	// Slots is the number of requests that may run at once.
	Slots int
	// ZoneSlots is the number of slots of the pool in the zone. Queued requests
	// may run above Slots, up to ZoneSlots, on runners with a free slot.
	ZoneSlots int
	// Shares are the weights of the classes. A share below 1 is treated as 1, so
	// that no class starves.
	Shares [text.Classes]int
	// QueueLimit is the maximum length of the queue of each class; 0 means 1024.
	QueueLimit int
	// DeclaredRunTime is the expected run time until the first request has
	// completed; 0 means 100 ms.
	DeclaredRunTime time.Duration

	entries     entries
	classes     [text.Classes]classState
	meanRunTime estimate.Mean // run time over all classes
	running     int
	queued      int
	retry       backoff // attempts within Slots
	probe       backoff // attempts above Slots
	virtualTime float64 // start tag of the last dispatched request
}

// classState is the state of one urgency class.
type classState struct {
	queue     fifo
	running   int
	finishTag float64 // virtual time up to which the class is charged
	run       estimate.RunTime
	// rejections is the rate of Late and Full rejections.
	rejections estimate.Rate
}

// Arrive decides on a new request: Run, Wait or Reject. The ID is valid if the
// verdict is Run or Wait. A zero deadline means no deadline.
func (s *Scheduler) Arrive(now time.Time, c text.Class, deadline time.Time) (ID, Decision) {
	cs := s.classState(c)
	if s.queued == 0 && s.running < s.Slots && s.retry.due(now) {
		if s.missesDeadline(cs, now, deadline) {
			return ID{}, s.reject(now, Late, cs.run.Seconds)
		}
		i := s.entries.alloc(c, s.latestStart(cs, now, deadline))
		s.run(now, i)
		return ID{i, s.entries.all[i].gen}, Decision{Verdict: Run, Reason: Free}
	}
	wait := s.predictWait(cs)
	latest := s.latestStart(cs, now, deadline)
	if !deadline.IsZero() {
		if !now.Before(deadline) {
			return ID{}, s.reject(now, Late, wait)
		}
		if excess := wait - latest.Sub(now).Seconds(); excess > 0 && !cs.idle() {
			cs.rejections.Add(now)
			return ID{}, s.reject(now, Late, excess)
		}
	}
	if cs.queue.n >= s.queueLimit() {
		cs.rejections.Add(now)
		return ID{}, s.reject(now, Full, wait)
	}
	i := s.entries.alloc(c, latest)
	x := &s.entries.all[i]
	if cs.queue.n == 0 {
		cs.finishTag = max(cs.finishTag, s.virtualTime)
	}
	cs.queue.push(&s.entries, i)
	s.queued++
	return ID{i, x.gen}, Decision{Verdict: Wait, Reason: NoSlot}
}

// Next decides on one queued request if a slot is free: Run, or Reject if its
// deadline can no longer be met. It returns false if there is nothing to decide.
// After every event that may free a slot, call it until it returns false.
func (s *Scheduler) Next(now time.Time) (ID, text.Class, Decision, bool) {
	reason, ok := s.canRunQueued(now)
	if !ok {
		return ID{}, 0, Decision{}, false
	}
	cs := s.nextClass()
	i := cs.queue.head
	x := &s.entries.all[i]
	id, c := ID{i, x.gen}, x.class
	late := !x.latestStart.IsZero() && now.After(x.latestStart)
	cs.queue.remove(&s.entries, i)
	s.queued--
	if late {
		s.entries.release(i)
		return id, c, s.reject(now, Expired, s.predictWait(cs)), true
	}
	if reason == Spare {
		x.spare = true
		s.probe.delay = max(s.probe.delay/probeShrink, s.delay(minProbeDelay))
		s.probe.next = now.Add(s.probe.delay)
	}
	s.run(now, i)
	return id, c, Decision{Verdict: Run, Reason: reason}, true
}

// Done ends a running request and updates the run-time estimates. It returns
// false if the ID is not that of a running request.
func (s *Scheduler) Done(now time.Time, id ID) bool {
	x := s.entries.get(id)
	if x == nil || !x.running {
		return false
	}
	cs := &s.classes[x.class]
	took := now.Sub(x.started).Seconds()
	cs.run.Observe(took)
	s.meanRunTime.Observe(took)
	if !x.spare {
		s.retry.delay = 0
	}
	s.end(cs, id.index)
	s.yield(now)
	return true
}

// Abandon ends a request that did not run: one that is queued, or one that was
// admitted but not dispatched. The run-time estimates do not change.
func (s *Scheduler) Abandon(id ID) bool {
	x := s.entries.get(id)
	if x == nil {
		return false
	}
	cs := &s.classes[x.class]
	if x.running {
		cs.finishTag -= x.charge / s.weight(x.class)
		s.end(cs, id.index)
		return true
	}
	cs.queue.remove(&s.entries, id.index)
	s.queued--
	s.entries.release(id.index)
	return true
}

// Drop removes one queued request of any class. It returns false if none is
// queued.
func (s *Scheduler) Drop() (ID, text.Class, bool) {
	if s.queued == 0 {
		return ID{}, 0, false
	}
	i := s.nextClass().queue.head
	id, c := ID{i, s.entries.all[i].gen}, s.entries.all[i].class
	return id, c, s.Abandon(id)
}

// Class returns the class of a queued or running request.
func (s *Scheduler) Class(id ID) (text.Class, bool) {
	x := s.entries.get(id)
	if x == nil {
		return 0, false
	}
	return x.class, true
}

// LatestStart returns the latest time at which a queued or running request should
// start, or the zero time if it has no deadline.
func (s *Scheduler) LatestStart(id ID) time.Time {
	if x := s.entries.get(id); x != nil {
		return x.latestStart
	}
	return time.Time{}
}

// Demand returns the number of slots that each class could use: one for each
// running or queued request, plus those that recently rejected requests would
// have used. Without the rejected requests, the demand of a daemon with few
// slots, and so a short queue, would be underestimated.
func (s *Scheduler) Demand(now time.Time) [text.Classes]int {
	var d [text.Classes]int
	for c := range s.classes {
		cs := &s.classes[c]
		d[c] = cs.running + cs.queue.n + int(cs.rejections.PerSecond(now)*cs.run.Seconds+0.5)
	}
	return d
}

// run assigns a slot to entry i and charges its class the expected run time.
func (s *Scheduler) run(now time.Time, i int32) {
	x := &s.entries.all[i]
	cs := &s.classes[x.class]
	x.running, x.started, x.charge = true, now, cs.run.Seconds
	start := max(cs.finishTag, s.virtualTime)
	if s.queued > 0 {
		start = cs.finishTag
	}
	s.virtualTime = max(s.virtualTime, start)
	cs.finishTag = start + x.charge/s.weight(x.class)
	cs.running++
	s.running++
}

// end frees the slot of entry i.
func (s *Scheduler) end(cs *classState, i int32) {
	cs.running--
	s.running--
	s.entries.release(i)
}

// nextClass returns the class with queued requests that has the lowest finish
// tag.
func (s *Scheduler) nextClass() *classState {
	var best *classState
	for c := range s.classes {
		cs := &s.classes[c]
		if cs.queue.n > 0 && (best == nil || cs.finishTag < best.finishTag) {
			best = cs
		}
	}
	return best
}

// reject returns a rejection that may be retried after the given time in seconds.
func (s *Scheduler) reject(now time.Time, r Reason, after float64) Decision {
	return Decision{
		Verdict: Reject, Reason: r,
		RetryAfter: now.Add(time.Duration(after * float64(time.Second))),
	}
}

// classState returns the state of class c. If the run time has no estimate yet,
// classState sets the declared one.
func (s *Scheduler) classState(c text.Class) *classState {
	cs := &s.classes[c]
	if cs.run.Seconds == 0 {
		d := s.DeclaredRunTime
		if d == 0 {
			d = defaultDeclaredRunTime
		}
		cs.run.SetDeclared(d)
		if s.meanRunTime.Seconds == 0 {
			s.meanRunTime.SetDeclared(d)
		}
	}
	return cs
}

func (s *Scheduler) weight(c text.Class) float64 { return float64(max(1, s.Shares[c])) }

func (s *Scheduler) queueLimit() int {
	if s.QueueLimit > 0 {
		return s.QueueLimit
	}
	return defaultQueueLimit
}
