package admission

import (
	"time"

	"gypsumtrestle.example/gypsumtrestle/pkg/text"
)

// maxTailFraction is the largest fraction of the time until a request's deadline
// that is reserved for its run. A larger fraction makes the queues of all
// classes too short.
const maxTailFraction = 0.5

// idle reports whether the class has no running or queued requests.
func (cs *classState) idle() bool { return cs.running == 0 && cs.queue.n == 0 }

// missesDeadline reports whether a request that starts now is expected to miss
// its deadline. If the class has no running request, it reports true only after
// the deadline: otherwise an estimate that is too long would never be
// corrected.
func (s *Scheduler) missesDeadline(cs *classState, now, deadline time.Time) bool {
	if deadline.IsZero() {
		return false
	}
	remaining := deadline.Sub(now).Seconds()
	return remaining <= 0 || cs.running > 0 && remaining < cs.run.Seconds
}

// latestStart returns the latest time at which a request that arrives now should
// start, or the zero time if it has no deadline. The time reserved for the run is
// the tail of the run times, but at most maxTailFraction of the time until the
// deadline, and at least the mean run time. For an idle class it is the mean run
// time, but at most maxTailFraction: otherwise an estimate that is too long would
// keep the class from running and would never be corrected.
func (s *Scheduler) latestStart(cs *classState, now, deadline time.Time) time.Time {
	if deadline.IsZero() {
		return deadline
	}
	tail := deadline.Sub(now).Seconds() * maxTailFraction
	if cs.idle() {
		return deadline.Add(-scaleSeconds(min(cs.run.Seconds, tail), 1))
	}
	return deadline.Add(-scaleSeconds(max(cs.run.Seconds, min(cs.run.Tail, tail)), 1))
}

// predictWait returns the expected wait, in seconds, of a request that joins the
// queue of cs now.
func (s *Scheduler) predictWait(cs *classState) float64 {
	slots := max(s.guaranteedSlots(cs), float64(cs.running), 1)
	return float64(cs.queue.n+1) * cs.run.Seconds / slots
}

// guaranteedSlots returns the share of slots of cs among the classes with running
// or queued requests.
func (s *Scheduler) guaranteedSlots(cs *classState) float64 {
	var own, sum float64
	for c := range s.classes {
		o := &s.classes[c]
		w := s.weight(text.Class(c))
		if o == cs {
			own = w
		}
		if o == cs || o.queue.n > 0 || o.running > 0 {
			sum += w
		}
	}
	return float64(s.Slots) * own / sum
}
