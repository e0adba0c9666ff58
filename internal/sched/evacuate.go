package sched

import (
	"cmp"
	"slices"
	"time"

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
			to.promise(r.task)
		} else {
			s.unplaced[s.service(r.task.job)]++
		}
	}
}

const (
	// tasksPerHeldRunner is how many long-running tasks a runner that is held
	// for them is expected to take.
	tasksPerHeldRunner = 4
	// holdTime is how long a runner is held. It is extended while it is needed.
	holdTime = time.Second
)

// holdRunners keeps batch tasks off some runners of the pools in which
// long-running tasks must leave their runner and fit nowhere. In a full pool,
// each capacity that becomes free would otherwise be used by waiting batch tasks
// at once, and a machine could not leave for its maintenance in time.
func (s *State) holdRunners(now clock.BootTime) {
	for pool, n := range s.unplaced {
		want := (n + tasksPerHeldRunner - 1) / tasksPerHeldRunner
		runners := slices.DeleteFunc(slices.Clone(s.byPool[pool]), func(rs *runnerState) bool { return !s.usable(rs, now) })
		slices.SortStableFunc(runners, func(a, b *runnerState) int {
			return cmp.Or(
				-compareBool(a.heldUntil.After(now), b.heldUntil.After(now)),
				cmp.Compare(b.free().CPU, a.free().CPU),
			)
		})
		for _, rs := range runners[:min(want, len(runners))] {
			rs.heldUntil = now.Add(holdTime)
		}
	}
	clear(s.unplaced)
}

// promise keeps room on a runner for a long-running task that is stopped for it,
// until the task is started again.
func (rs *runnerState) promise(t *task) {
	t.breakPromise()
	if rs.promises == nil {
		rs.promises = make(map[*task]bool)
	}
	rs.promises[t] = true
	t.promisedBy = rs
}

// breakPromise gives up the room that is kept for a task, if there is any.
func (t *task) breakPromise() {
	if t.promisedBy != nil {
		delete(t.promisedBy.promises, t)
		t.promisedBy = nil
	}
}

// reviewPromises gives up the room for tasks that do not need it any more or
// cannot use it.
func (s *State) reviewPromises(now clock.BootTime) {
	for _, rs := range s.runners {
		for t := range rs.promises {
			runs := slices.ContainsFunc(t.runs, func(r *run) bool { return r.phase != stopping })
			if runs || !t.job.open() || t.crashes.Suspect || !s.usable(rs, now) {
				t.breakPromise()
			}
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
	return unavailable < max(t.step.spec.MaxUnavailable, 1)
}

// available reports whether a long-running task is available: it runs, has
// finished its startup, and its runner is reachable.
func (t *task) available() bool {
	return slices.ContainsFunc(t.runs, func(r *run) bool {
		return r.phase == running && r.percent >= 100 && !r.runner.unreachable
	})
}
