package sched

import (
	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/kv"
)

// A run on a runner that became unreachable may have ended as done before its
// lease expired. Once the task has been started again, that result must never
// be acknowledged, and a later term can recognize it only by the attempt number
// of the newest run. The number is therefore stored before the command to start
// such a run is sent.

// mayHaveResult reports whether a run of a task may have ended with a result
// that was not reported.
func (s *State) mayHaveResult(t *task) bool {
	if t.step.spec.LongRunning || t.step.spec.Speculative {
		return false
	}
	return t.possibleResult || s.mayHaveUnknownRun(t)
}

// mayHaveUnknownRun reports whether a previous term may have started a run of a task
// of which this one does not know, on a runner that it has not reached. That a run of
// the task has ended does not tell: it may have been an earlier one.
func (s *State) mayHaveUnknownRun(t *task) bool {
	return s.expiredUnreached && t.job.created < kv.Revision(s.Term) && !t.scheduled
}

// reserve reports whether a run of a task may be started with an attempt
// number. If the task may have an unreported result, or is suspected of crashing
// its runners, the store must hold the number first, and the count of a suspect's
// starts with the runner that this one is to be sent to.
func (s *State) reserve(t *task, rs *runnerState, attempt int, now clock.BootTime) bool {
	if !s.mayHaveResult(t) && !t.crashes.Suspect {
		return true
	}
	counted := !t.crashes.Suspect || t.isCounted(attempt, rs)
	if t.reserved != attempt || !counted {
		if t.crashes.Suspect {
			s.excuseLostStart(t, now)
			if t.reserved != attempt && t.crashes.Exhausted() && !t.step.spec.LongRunning && s.giveUp(t, nil, now) {
				return false
			}
			t.countStart(attempt, rs)
		}
		if t.reserved == 0 {
			t.reservedFrom = t.attempt
		}
		t.reserved, t.attempt = attempt, max(t.attempt, attempt)
		s.markChanged(t.job)
		t.reservedVersion = t.job.version
		s.Logger.Log("msg", "attempt number reserved", "task", t.name, "attempt", attempt, "runner", rs.ID,
			"suspect", t.crashes.Suspect, "crashes", t.crashes.Crashes, "unresolved", t.crashes.Unresolved)
	}
	return t.job.storedVersion >= t.reservedVersion
}

// sawAttempt records an attempt that was started.
func (t *task) sawAttempt(attempt int) {
	t.attempt, t.reservedFrom = max(t.attempt, attempt), max(t.reservedFrom, attempt)
}

// dropReservation gives up the reserved attempt of a task of which a run has ended as
// done, unless a later attempt than that run may have been started. The reserved one was
// not, and later terms must not take it for one whose start withholds the result.
func (t *task) dropReservation(done int) {
	if t.reserved != 0 && t.attempt == t.reserved && t.reservedFrom <= done {
		t.attempt, t.reserved = t.reservedFrom, 0
	}
}

// nextAttempt returns the attempt number of the next run. For a task from a
// previous term it skips numbers, because runs may have left no record.
func (s *State) nextAttempt(t *task) int {
	switch {
	case t.reserved > 0:
		return t.reserved
	case s.mayHaveUnknownRun(t):
		return t.attempt + 2*inheritedAttemptGap // above the unrecorded ones of all previous terms
	case t.job.created < kv.Revision(s.Term) && t.endedAt == 0:
		return t.attempt + inheritedAttemptGap
	}
	return t.attempt + 1
}

// inheritedAttemptGap is how many attempt numbers are skipped for unrecorded
// runs of previous terms.
const inheritedAttemptGap = 4
