package sched

import (
	"cmp"
	"slices"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// placeGang starts either all tasks of a step or none.
func (s *State) placeGang(runners []*runnerState, st *step, now clock.BootTime) {
	if capped(st) {
		return
	}
	attempt, checkpoint := 0, ""
	for _, t := range st.tasks {
		if !s.startable(t, now) {
			return
		}
		attempt = max(attempt, s.nextAttempt(t))
		if t.checkpoint != "" {
			checkpoint = t.checkpoint
		}
	}
	for _, group := range rackGroups(runners, st.spec) {
		chosen := s.fitGang(group, st, now)
		if chosen == nil {
			continue
		}
		reserved := true
		for i, t := range st.tasks {
			reserved = s.reserve(t, chosen[i], attempt, now) && reserved
		}
		if !reserved {
			return
		}
		for i, t := range st.tasks {
			t.checkpoint = checkpoint
			s.start(t, chosen[i], attempt, now, "gang")
		}
		return
	}
}

// rackGroups returns the sets of runners to try for a gang: if its tasks are
// slow across racks, each rack and then all runners.
func rackGroups(runners []*runnerState, sp *job.Step) [][]*runnerState {
	if !sp.SameRack {
		return [][]*runnerState{runners}
	}
	byRack := make(map[string][]*runnerState)
	var racks []string
	for _, rs := range runners {
		if byRack[rs.Rack] == nil {
			racks = append(racks, rs.Rack)
		}
		byRack[rs.Rack] = append(byRack[rs.Rack], rs)
	}
	slices.SortFunc(racks, func(a, b string) int {
		return cmp.Or(-compareBool(a == sp.Rack, b == sp.Rack), cmp.Compare(a, b))
	})
	var groups [][]*runnerState
	for _, r := range racks {
		groups = append(groups, byRack[r])
	}
	return append(groups, runners)
}

// fitGang chooses a runner for each task of a gang, or returns nil.
func (s *State) fitGang(runners []*runnerState, st *step, now clock.BootTime) []*runnerState {
	free := make(map[runner.ID]job.Resources, len(runners))
	count := make(map[runner.ID]int, len(runners))
	for _, rs := range runners {
		free[rs.ID] = rs.free()
	}
	d := st.spec.Demand()
	var chosen []*runnerState
	for _, t := range st.tasks {
		var best *runnerState
		counted := s.countedRunner(t)
		for _, rs := range runners {
			if !s.allowed(rs, t, now) || !d.Fits(free[rs.ID]) {
				continue
			}
			if st.spec.PerRunner > 0 && count[rs.ID] >= st.spec.PerRunner {
				continue
			}
			if rs == counted {
				best = rs // otherwise its start would have to be counted again
				break
			}
			if best == nil || free[rs.ID].CPU > free[best.ID].CPU {
				best = rs
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
