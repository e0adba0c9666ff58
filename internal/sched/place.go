package sched

import (
	"cmp"
	"slices"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// place starts what fits on the usable runners of a service.
func (s *State) place(ns []*node, ws []*work, now clock.BootTime) {
	most := largest(ns)
	for _, b := range s.bids(ws, now) {
		for _, st := range b.occ.steps {
			if st.complete() || !b.occ.ready(st) {
				continue
			}
			if !st.spec.Demand().Fits(most) {
				continue
			}
			s.question(ns, st, now)
			if st.spec.Gang {
				s.placeGang(ns, st, now)
				continue
			}
			for _, t := range st.tasks {
				if !s.startable(t, now) {
					continue
				}
				n := s.choose(ns, t, now)
				if n == nil {
					break // the other tasks of the step are equal
				}
				if attempt := s.nextAttempt(t); s.reserve(t, attempt) {
					s.start(t, n, attempt, now, reason(b, n, t))
				}
			}
			most = largest(ns)
		}
	}
}

// largest returns the most room of each kind that any runner has free.
func largest(ns []*node) job.Resources {
	var most job.Resources
	for _, n := range ns {
		f := n.free()
		most = job.Resources{CPU: max(most.CPU, f.CPU), Mem: max(most.Mem, f.Mem), GPU: max(most.GPU, f.GPU)}
	}
	return most
}

// reason says why a task was placed where it was.
func reason(b bid, n *node, t *task) string {
	switch {
	case t.step.spec.Rack != "" && n.Rack == t.step.spec.Rack:
		return "near its data"
	case b.lasting:
		return "lasting"
	case b.prospect == timely:
		return "in time"
	case b.prospect == late:
		return "late"
	}
	return "long overdue"
}

// choose returns the best runner for a task, or nil if none has room.
func (s *State) choose(ns []*node, t *task, now clock.BootTime) *node {
	var best *node
	var bestScore [4]int
	for _, n := range ns {
		if !s.allowed(n, t, now) {
			continue
		}
		sc := score(n, t)
		if best == nil || slices.Compare(sc[:], bestScore[:]) > 0 {
			best, bestScore = n, sc
		}
	}
	return best
}

// allowed tells whether a task may run on a runner.
func (s *State) allowed(n *node, t *task, now clock.BootTime) bool {
	sp := t.step.spec
	if !s.permitted(n, t.step, now) {
		return false
	}
	if !sp.Demand().Fits(n.free()) || !n.HasLabel(sp.Label) || !n.health.allows(now, len(n.runs)) {
		return false
	}
	if n.runs[t.name] != nil {
		return false
	}
	return sp.PerRunner == 0 || peers(n, t) < sp.PerRunner
}

// peers counts the tasks of the same step on a runner.
func peers(n *node, t *task) int {
	c := 0
	for _, r := range n.runs {
		if r.task.step == t.step {
			c++
		}
	}
	return c
}

// score ranks a runner for a task; each figure matters only where the earlier
// ones are equal.
func score(n *node, t *task) [4]int {
	sp := t.step.spec
	var sc [4]int
	if !slices.Contains(t.avoid, n.ID) {
		sc[0] = 1
	}
	if sp.Rack != "" && n.Rack == sp.Rack {
		sc[1] = 1
	}
	if sp.LongRunning {
		// Few runners hold lasting tasks, so that the others can move between
		// pools, but the tasks of one step are spread over racks.
		sc[1] = -rackPeers(n, t)
		if n.lasting > 0 {
			sc[2] = 1
		}
		sc[3] = n.free().CPU
		return sc
	}
	if sp.BestEffort && n.serving > 0 {
		sc[2] = -1
	}
	// Tasks that end are packed, so that idle runners stay idle.
	sc[3] = -n.free().CPU
	return sc
}

// rackPeers counts the runs of the same step in a runner's rack.
func rackPeers(n *node, t *task) int {
	c := 0
	for _, x := range t.step.tasks {
		for _, r := range x.runs {
			if r.node.Rack == n.Rack {
				c++
			}
		}
	}
	return c
}

// placeGang starts all tasks of a step at once, or none.
func (s *State) placeGang(ns []*node, st *step, now clock.BootTime) {
	attempt, saved := 0, ""
	for _, t := range st.tasks {
		if !s.startable(t, now) {
			return
		}
		attempt = max(attempt, s.nextAttempt(t))
		if t.saved != "" {
			saved = t.saved
		}
	}
	for _, group := range rackGroups(ns, st.spec) {
		chosen := s.fitGang(group, st, now)
		if chosen == nil {
			continue
		}
		for _, t := range st.tasks {
			if !s.reserve(t, attempt) {
				chosen = nil
			}
		}
		if chosen == nil {
			return
		}
		for i, t := range st.tasks {
			t.saved = saved
			s.start(t, chosen[i], attempt, now, "gang")
		}
		return
	}
}

// rackGroups returns the sets of runners to try for a gang: each rack first if
// its tasks are slow across racks, then all.
func rackGroups(ns []*node, sp *job.Step) [][]*node {
	if !sp.SameRack {
		return [][]*node{ns}
	}
	byRack := make(map[string][]*node)
	var racks []string
	for _, n := range ns {
		if byRack[n.Rack] == nil {
			racks = append(racks, n.Rack)
		}
		byRack[n.Rack] = append(byRack[n.Rack], n)
	}
	slices.SortFunc(racks, func(a, b string) int {
		return cmp.Or(-compareBool(a == sp.Rack, b == sp.Rack), cmp.Compare(a, b))
	})
	var groups [][]*node
	for _, r := range racks {
		groups = append(groups, byRack[r])
	}
	return append(groups, ns)
}

// fitGang chooses a runner for each task of a gang, or returns nil.
func (s *State) fitGang(ns []*node, st *step, now clock.BootTime) []*node {
	free := make(map[runner.ID]job.Resources, len(ns))
	count := make(map[runner.ID]int, len(ns))
	for _, n := range ns {
		free[n.ID] = n.free()
	}
	d := st.spec.Demand()
	var chosen []*node
	for _, t := range st.tasks {
		var best *node
		for _, n := range ns {
			if !s.allowed(n, t, now) || !d.Fits(free[n.ID]) {
				continue
			}
			if st.spec.PerRunner > 0 && count[n.ID] >= st.spec.PerRunner {
				continue
			}
			if best == nil || free[n.ID].CPU > free[best.ID].CPU {
				best = n
			}
		}
		if best == nil {
			return nil
		}
		free[best.ID] = free[best.ID].Sub(d)
		count[best.ID]++
		chosen = append(chosen, best)
	}
	return chosen
}
