package sched

import "gypsumtrestle.example/gypsumtrestle/internal/kv"

// A run on a runner that fell silent may have ended as done before its lease
// lapsed. Once the task is started again, that end must never be noted, and a
// later term can tell only from the number of the newest run. The number is
// therefore stored before such a start is ordered.

// doubtful tells whether a run of a task may have ended without being seen.
func (s *State) doubtful(t *task) bool {
	if t.step.spec.LongRunning || t.step.spec.Speculative {
		return false
	}
	return t.doubt || s.unseen && t.work.created < kv.Revision(s.Term) && t.ended == 0
}

// reserve tells whether a run of a task may be ordered with a number: if the
// task is doubtful, only once the store holds it.
func (s *State) reserve(t *task, attempt int) bool {
	if !s.doubtful(t) {
		return true
	}
	if t.reserved != attempt {
		t.reserved, t.attempt = attempt, max(t.attempt, attempt)
		s.touch(t.work)
		t.reservedIn = t.work.version
		s.Logger.Log("msg", "run is reserved", "task", t.name, "attempt", attempt)
	}
	return t.work.flushed >= t.reservedIn
}

// nextAttempt is the number of the next run. A term that inherits a task does
// not know the numbers of runs that left no trace.
func (s *State) nextAttempt(t *task) int {
	switch {
	case t.reserved > 0:
		return t.reserved
	case t.work.created < kv.Revision(s.Term) && t.ended == 0:
		return t.attempt + inheritedStep
	}
	return t.attempt + 1
}

// inheritedStep leaves room for the runs of earlier terms that are unknown.
const inheritedStep = 4
