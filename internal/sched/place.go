package sched

import (
	"slices"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
)

// place starts the tasks that fit on the usable runners of a service.
func (s *State) place(runners []*runnerState, jobs []*jobState, now clock.BootTime) {
	maxFree := largestFree(runners)
	for _, c := range s.candidates(jobs, maxFree, now) {
		for _, st := range c.occ.steps {
			if st.idle == 0 || !c.occ.ready(st) {
				continue
			}
			if !st.spec.Demand().Fits(maxFree) {
				continue
			}
			if capped(st) {
				continue
			}
			s.queryPolicy(runners, st, now)
			if st.spec.Gang {
				s.placeGang(runners, st, now)
				continue
			}
			if s.placeStep(runners, c, st, now) {
				maxFree = largestFree(runners)
			}
		}
	}
}

// placeStep starts the tasks of a step that fit, and reports whether it has
// started any.
func (s *State) placeStep(runners []*runnerState, c candidate, st *step, now clock.BootTime) bool {
	started := false
	var last *runnerState
	var group scheduled
	full := false                     // no runner fits the tasks that are not suspects
	var reserved map[*runnerState]int // starts that are counted and wait for the store
	for _, t := range st.tasks {
		if full && !t.crashes.Suspect || !s.startable(t, now) {
			continue
		}
		if t.job.account != nil && capped(st) {
			break
		}
		rs, other := last, (*runnerState)(nil)
		switch counted := s.isolatedFor(t, now); {
		case counted != nil:
			if rs = counted; !s.allowed(rs, t, now) {
				continue // it is isolated for the task and replies soon, or its isolation ends
			}
		case rs == nil || len(t.avoid) > 0 || !s.allowed(rs, t, now):
			rs, other = s.chooseApart(runners, t, now)
		}
		if rs == nil && !t.crashes.Suspect && !s.suspected[t.job] {
			break // the other tasks of the step have the same demand
		}
		if rs == nil {
			full = full || !t.crashes.Suspect // suspects wait for an isolated runner
			continue
		}
		last = nil
		if !st.spec.LongRunning && len(t.avoid) == 0 && s.effects(t)[st.spec.Image] == 0 {
			// Tasks are packed: a runner that was best for one of several equal
			// tasks is also best for the next, as long as that fits.
			last = rs
		}
		if attempt := s.nextAttempt(t); s.reserve(t, rs, attempt, now) {
			if other != nil {
				s.logApart(t, rs, other)
			}
			s.schedule(t, rs, attempt, now)
			started = true
			if !group.extend(t, rs, attempt) {
				s.logScheduled(&group, now)
				group = scheduled{task: t, last: t, runner: rs, attempt: attempt, why: reason(c, rs, t)}
			}
		} else if t.crashes.Suspect {
			// A start that is counted before its runner has room for it would stay
			// counted if the leader ended.
			if reserved == nil {
				reserved = make(map[*runnerState]int)
			}
			if reserved[rs]++; !hasRoomBeside(rs, t, reserved[rs]) {
				last = nil
				runners = slices.DeleteFunc(slices.Clone(runners), func(x *runnerState) bool { return x == rs })
			}
		}
	}
	s.logScheduled(&group, now)
	return started
}

// hasRoomBeside reports whether a runner has room for one more task of a step
// beside n tasks of it that have no run yet.
func hasRoomBeside(rs *runnerState, t *task, n int) bool {
	sp := t.step.spec
	d, free := sp.Demand(), rs.free()
	for range n {
		free = free.Sub(d)
	}
	return d.Fits(free) && (sp.PerRunner == 0 || runsOfStep(rs, t)+n < sp.PerRunner)
}

// largestFree returns, for each resource, the largest free amount on any
// runner, with what is kept for tasks.
func largestFree(runners []*runnerState) job.Resources {
	var maxFree job.Resources
	for _, rs := range runners {
		f := rs.Capacity.Sub(rs.used)
		maxFree = job.Resources{CPU: max(maxFree.CPU, f.CPU), Mem: max(maxFree.Mem, f.Mem), GPU: max(maxFree.GPU, f.GPU)}
	}
	return maxFree
}

// reason returns why a task was placed, for the log.
func reason(c candidate, rs *runnerState, t *task) string {
	switch {
	case t.step.spec.Rack != "" && rs.Rack == t.step.spec.Rack:
		return "near its data"
	case c.tier == longRunningTier:
		return "lasting"
	case c.deadlineClass == timely:
		return "in time"
	case c.deadlineClass == late:
		return "late"
	}
	return "long overdue"
}

// choose returns the best runner for a task, or nil if none may run it.
func (s *State) choose(runners []*runnerState, t *task, now clock.BootTime) *runnerState {
	best, _ := s.chooseApart(runners, t, now)
	return best
}

// chooseApart returns the best runner for a task, or nil if none may run it, and the one
// that would be the best without interference if that is another.
func (s *State) chooseApart(runners []*runnerState, t *task, now clock.BootTime) (best, other *runnerState) {
	var bestScore, otherScore scores
	var perRack map[string]int
	effects := s.effects(t)
	if t.step.spec.LongRunning {
		perRack = runsPerRack(t.step)
	}
	for _, rs := range runners {
		if !s.allowed(rs, t, now) {
			continue
		}
		sc := score(rs, t, perRack)
		if effects != nil {
			if other == nil || sc.exceeds(&otherScore) {
				other, otherScore = rs, sc
			}
			sc[apart] = -rs.disturbance(effects)
		}
		if best == nil || sc.exceeds(&bestScore) {
			best, bestScore = rs, sc
		}
	}
	if other == best {
		other = nil
	}
	return best, other
}

// scores rank a runner for a task. They are compared in order; a higher one is better.
type scores [5]int

// apart is the index of the score for interference, which score leaves at 0.
const apart = 2

func (sc *scores) exceeds(o *scores) bool { return slices.Compare(sc[:], o[:]) > 0 }

// allowed reports whether a task may run on a runner.
func (s *State) allowed(rs *runnerState, t *task, now clock.BootTime) bool {
	return s.eligible(rs, t, now) && s.isolationAllows(rs, t, now)
}

// eligible reports whether a task may run on a runner, apart from isolation.
func (s *State) eligible(rs *runnerState, t *task, now clock.BootTime) bool {
	return s.obstacleTo(rs, t, now) == noObstacle
}

// obstacle is why a task may not run on a runner.
type obstacle int

const (
	noObstacle  obstacle = iota
	noRoom               // its free capacity is too small
	otherLabel           // it lacks the label of the step
	quarantined          // tasks fail there, or it is being probed
	unusable             // see usable
	presentRun           // it has a run of the task
	held                 // it is held for long-running tasks
	stepLimit            // it has as many tasks of the step as may run there
	aboveCap             // its workspace would have more running than its cap
	noPermit             // the policy of the queue has not allowed it
	isolated             // it is isolated for a suspect, or the task is one and it is not
	obstacles            // number of obstacles
)

func (o obstacle) String() string {
	return [...]string{"", "full", "label", "quarantined", "unusable", "present", "held", "limit", "cap", "permit", "isolation"}[o]
}

// obstacleTo returns why a task may not run on a runner, apart from isolation.
func (s *State) obstacleTo(rs *runnerState, t *task, now clock.BootTime) obstacle {
	sp := t.step.spec
	switch {
	case !sp.Demand().Fits(rs.freeFor(t)):
		return noRoom
	case !rs.HasLabel(sp.Label):
		return otherLabel
	case !rs.health.allows(now, rs.probes()):
		return quarantined
	case !s.usable(rs, now):
		return unusable
	case rs.runs[t.name] != nil:
		return presentRun
	case !sp.LongRunning && rs.heldUntil.After(now):
		return held
	case sp.PerRunner > 0 && runsOfStep(rs, t) >= sp.PerRunner:
		return stepLimit
	case t.job.account != nil && overCap(t):
		return aboveCap
	case !s.permitted(rs, t.step, now):
		return noPermit
	}
	return noObstacle
}

// runsOfStep returns the number of runs of the same step on a runner, with the
// other tasks that room is kept for.
func runsOfStep(rs *runnerState, t *task) int {
	c := 0
	for x := range rs.keptFor {
		if x != t && x.step == t.step {
			c++
		}
	}
	for _, r := range rs.runs {
		if r.task.step == t.step {
			c++
		}
	}
	return c
}

// score ranks a runner for a task, apart from interference. The runs of a long-running
// step are counted in perRack.
func score(rs *runnerState, t *task, perRack map[string]int) scores {
	sp := t.step.spec
	var sc scores
	if !slices.Contains(t.avoid, rs.ID) {
		sc[0] = 1
	}
	if sp.Rack != "" && rs.Rack == sp.Rack {
		sc[1] = 1
	}
	if sp.LongRunning {
		// Long-running tasks are packed onto few runners, so that the other
		// machines can move between pools, but the tasks of one step are spread
		// over racks.
		sc[1] = -perRack[rs.Rack]
		if rs.longRunning > 0 {
			sc[3] = 1
		}
		sc[4] = rs.free().CPU
		return sc
	}
	if sp.BestEffort && rs.latencySensitive > 0 {
		sc[3] = -1
	}
	// Other tasks are packed, so that idle runners remain idle.
	sc[4] = -rs.free().CPU
	return sc
}

// runsPerRack returns the number of runs of a step in each rack.
func runsPerRack(st *step) map[string]int {
	counts := make(map[string]int)
	for _, t := range st.tasks {
		for _, r := range t.runs {
			counts[r.runner.Rack]++
		}
	}
	return counts
}
