package sched

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
)

const (
	// tasksPerHeldRunner is how many long-running tasks a runner that is held
	// for them is expected to take.
	tasksPerHeldRunner = 4
	// holdTime is how long a runner is held. It is extended while it is needed.
	holdTime = time.Second
	// holdPasses is after how many full planning passes, where their interval follows
	// from the number of runners, the runners to hold are chosen again. The choice
	// examines the runners of a pool for each step.
	holdPasses = 4
	// maxHoldInterval bounds that time: it must be shorter than holdTime.
	maxHoldInterval = holdTime / 2
)

// addWaiting counts the long-running tasks that have no run: those that fit nowhere,
// and what all of them need.
func (s *State) addWaiting(now clock.BootTime) {
	clear(s.needs)
	for pool, jobs := range s.open {
		var steps []*step
		for _, js := range jobs {
			if !js.def.LongRunning() {
				continue
			}
			for _, o := range js.occs {
				for _, st := range o.steps {
					if st.idle > 0 && st.spec.LongRunning && !st.spec.Gang && o.ready(st) && !capped(st) {
						s.unplaced[st] += s.waitingForRoom(pool, st, now)
						steps = append(steps, st)
					}
				}
			}
		}
		if len(steps) > 0 {
			s.needs[pool] = s.longRunningNeed(pool, steps, now)
		}
	}
}

// waitingForRoom returns how many tasks of a step have no run, if no runner has room
// for one.
func (s *State) waitingForRoom(pool string, st *step, now clock.BootTime) int {
	if slices.ContainsFunc(s.byPool[pool], func(rs *runnerState) bool {
		return st.spec.Demand().Fits(rs.free()) && s.couldTake(rs, st, now)
	}) {
		return 0
	}
	n := 0
	for _, t := range st.tasks {
		if s.startable(t, now) {
			n++
		}
	}
	return st.withinCap(n)
}

// couldTake reports whether a runner may be given a task of a step once it has room.
func (s *State) couldTake(rs *runnerState, st *step, now clock.BootTime) bool {
	return s.usable(rs, now) && s.suits(rs, st, now)
}

// suits reports whether a runner may be given a task of a step once it is usable and has
// room.
func (s *State) suits(rs *runnerState, st *step, now clock.BootTime) bool {
	return (rs.isolated == nil || rs.isolated == st.occ.job) && rs.health.allows(now, rs.probes()) && (st.permits.denied[rs.ID] == 0 || s.permitted(rs, st, now)) && rs.HasLabel(st.spec.Label) && (st.spec.PerRunner == 0 || runsOfStep(rs, st.tasks[0]) < st.spec.PerRunner)
}

// holdRunners keeps batch tasks off some runners of the pools in which
// long-running tasks wait, or must leave their runner, and fit nowhere. In a full
// pool, each capacity that becomes free would otherwise be used by waiting batch
// tasks at once: a machine could not leave for its maintenance in time, and a task
// that needs much of a machine would wait without end.
func (s *State) holdRunners(now clock.BootTime) {
	interval := holdPasses * time.Duration(len(s.runners)) * fullPlanPerRunner
	if now.Sub(s.heldAt) < min(interval, maxHoldInterval) {
		return
	}
	s.heldAt = now
	clear(s.unplaced)
	maps.Copy(s.unplaced, s.leaving)
	s.addWaiting(now)
	steps := make([]*step, 0, len(s.unplaced))
	for st, n := range s.unplaced {
		if n > 0 {
			steps = append(steps, st)
		}
	}
	slices.SortFunc(steps, func(a, b *step) int { return compareTasks(a.tasks[0].name, b.tasks[0].name) })
	byPool := make(map[string][]*heldRunner)
	for _, st := range steps {
		pool := s.service(st.occ.job)
		if byPool[pool] == nil {
			byPool[pool] = s.heldRunners(pool, now)
		}
		s.hold(byPool[pool], st, s.unplaced[st], now)
	}
}

// heldRunner is a runner that may be held, with what is left of it in this pass.
type heldRunner struct {
	*runnerState
	tasks int           // that it is held for
	left  job.Resources // without batch tasks and these
}

// heldRunners returns the runners of a pool in the order in which they are held.
func (s *State) heldRunners(pool string, now clock.BootTime) []*heldRunner {
	var runners []*heldRunner
	for _, rs := range s.byPool[pool] {
		if s.usable(rs, now) {
			runners = append(runners, &heldRunner{runnerState: rs, left: rs.freeOfBatch()})
		}
	}
	slices.SortStableFunc(runners, func(a, b *heldRunner) int {
		return cmp.Or(
			-compareBool(a.heldUntil.After(now), b.heldUntil.After(now)),
			cmp.Compare(b.free().CPU, a.free().CPU),
		)
	})
	return runners
}

// hold holds runners for n tasks of a step.
func (s *State) hold(runners []*heldRunner, st *step, n int, now clock.BootTime) {
	for _, h := range runners {
		if n <= 0 {
			return
		}
		if h.tasks >= tasksPerHeldRunner || !st.spec.Demand().Fits(h.left) || !s.couldTake(h.runnerState, st, now) {
			continue
		}
		limit := tasksPerHeldRunner
		if st.spec.PerRunner > 0 {
			limit = h.tasks + st.spec.PerRunner - runsOfStep(h.runnerState, st.tasks[0])
		}
		for limit = min(limit, tasksPerHeldRunner); n > 0 && h.tasks < limit && st.spec.Demand().Fits(h.left); n-- {
			h.tasks, h.left = h.tasks+1, h.left.Sub(st.spec.Demand())
		}
		h.heldUntil = now.Add(holdTime)
	}
}

// freeOfBatch returns what is free on a runner once its batch tasks have ended.
func (rs *runnerState) freeOfBatch() job.Resources {
	f := rs.free()
	for _, r := range rs.runs {
		if !r.task.step.spec.LongRunning {
			f = f.Add(r.demand)
		}
	}
	return f
}
