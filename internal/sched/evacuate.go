package sched

import (
	"slices"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
)

// stopBatch stops the runs on a runner that are not long-running.
func (s *State) stopBatch(rs *runnerState) {
	for _, r := range runsOf(rs) {
		if !r.task.step.spec.LongRunning {
			s.stop(r, "machine due for maintenance")
		}
	}
}

// evacuate stops those long-running tasks on a runner that can run on another
// one, up to the MaxUnavailable of their steps. A new leader waits, since it does
// not know which tasks the previous one has just stopped.
func (s *State) evacuate(rs *runnerState, now clock.BootTime) {
	if now.Sub(s.startedAt) < s.Limits.Settle {
		return
	}
	for _, r := range runsOf(rs) {
		if !r.task.step.spec.LongRunning || r.phase == stopping || !s.mayInterrupt(r.task) {
			continue
		}
		if to := s.choose(s.byPool[s.service(r.task.job)], r.task, now); to != nil {
			s.stop(r, "runner evacuated")
			to.keepRoom(r.task)
		} else {
			s.leaving[r.task.step]++
		}
	}
}

// mayInterrupt reports whether a long-running task may be stopped: fewer of the
// other tasks of its step are unavailable than its MaxUnavailable, which is at
// least 1.
func (s *State) mayInterrupt(t *task) bool {
	unavailable := 0
	for _, x := range t.step.tasks {
		if x != t && !x.available() {
			unavailable++
		}
	}
	return unavailable < t.step.allowedUnavailable()
}

// available reports whether a long-running task is available: it runs, has
// finished its startup, and its runner is reachable.
func (t *task) available() bool {
	return slices.ContainsFunc(t.runs, func(r *run) bool {
		return r.phase == running && r.percent >= 100 && !r.runner.unreachable
	})
}
