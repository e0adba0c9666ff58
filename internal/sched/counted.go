package sched

import (
	"slices"

	"gypsumtrestle.example/gypsumtrestle/internal/crash"
)

// countStart counts the next start of a suspect before it is sent.
func (t *task) countStart(attempt int) {
	t.crashes.Unresolved++
	t.counted = append(t.counted, attempt)
}

// isCounted reports whether the start of an attempt is counted as unresolved.
func (t *task) isCounted(attempt int) bool { return slices.Contains(t.counted, attempt) }

// forgetStart removes a counted start whose runner can no longer tell anything of it, or
// has told it. What it adds to the record stays.
func (t *task) forgetStart(attempt int) {
	t.counted = slices.DeleteFunc(t.counted, func(a int) bool { return a == attempt })
}

// startResolved records that a counted start did not crash its runner: the runner went
// on after it, or rejected it, or the run ended. This alone does not clear the task.
func (s *State) startResolved(t *task, attempt int) {
	if t.isCounted(attempt) {
		t.forgetStart(attempt)
		r := t.crashes
		r.Unresolved--
		s.setCrashes(t, r)
	}
}

// wentOn records that the runner of a suspect has gone on after a start apart from other
// jobs.
func (s *State) wentOn(r *run) {
	t := r.task
	c := t.crashes
	if t.isCounted(r.attempt) {
		t.forgetStart(r.attempt)
		c = c.WentOn()
	} else {
		c.Immediate = 0
	}
	s.setCrashes(t, c)
}

// endCounted settles the counted start of a run on a runner whose incarnation has ended.
// One after which it went on is resolved; of another nothing more can be known.
func (s *State) endCounted(r *run) {
	if r.unsettled {
		return
	}
	if !r.mayHaveBegun() || !crash.IsFresh(r.confirmedAt, r.runner.lastReply) {
		s.startResolved(r.task, r.attempt)
	}
	r.task.forgetStart(r.attempt)
}
