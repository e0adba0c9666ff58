package sched

import (
	"slices"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
)

// stopBatch stops the runs that do not last.
func (s *State) stopBatch(n *node) {
	for _, r := range runsOf(n) {
		if !r.task.step.spec.LongRunning {
			s.stop(r, "its machine is due for upkeep")
		}
	}
}

// evacuate stops lasting tasks on a runner, as many as their steps can miss.
func (s *State) evacuate(n *node, now clock.BootTime) {
	for _, r := range runsOf(n) {
		if r.task.step.spec.LongRunning && r.phase != stopping && s.mayMiss(r.task) && s.placeable(r.task, now) {
			s.stop(r, "its runner leaves")
		}
	}
}

// placeable tells whether a task could run on a runner that stays.
func (s *State) placeable(t *task, now clock.BootTime) bool {
	svc := s.service(t.work)
	for _, n := range s.nodes {
		if n.Service == svc && s.usable(n, now) && s.allowed(n, t, now) {
			return true
		}
	}
	return false
}

// mayMiss tells whether the task of a lasting step may be ended: at least one
// fewer than the allowance of its step is away.
func (s *State) mayMiss(t *task) bool {
	away := 0
	for _, x := range t.step.tasks {
		if x != t && !x.atWork() {
			away++
		}
	}
	return away < max(t.step.spec.MaxUnavailable, 1)
}

// atWork tells whether a lasting task serves: it runs, has started up, and its
// runner answers.
func (t *task) atWork() bool {
	return slices.ContainsFunc(t.runs, func(r *run) bool {
		return r.phase == running && r.percent >= 100 && !r.node.silent
	})
}
