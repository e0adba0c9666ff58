package sched

import (
	"cmp"
	"slices"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/machine"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// The entries of runners may be those of another writer. One that names a service that
// is not configured is ignored. Which runner a machine has is told by replies, not by
// entries, and a machine is empty only if none of the runners that name it may have runs.

// index adds a runner to the lists of its pool and its machine.
func (s *State) index(rs *runnerState) {
	l := s.byPool[rs.Service]
	i, _ := slices.BinarySearchFunc(l, rs, compareRunners)
	s.byPool[rs.Service] = slices.Insert(l, i, rs)
	delete(s.usableByPool, rs.Service)
	if rs.Machine != "" {
		id := machine.ID(rs.Machine)
		s.byMachine[id] = append(s.byMachine[id], rs)
	}
}

// unindex removes a runner from the lists of its pool and its machine.
func (s *State) unindex(rs *runnerState) {
	l := s.byPool[rs.Service]
	if i, found := slices.BinarySearchFunc(l, rs, compareRunners); found {
		s.byPool[rs.Service] = slices.Delete(l, i, i+1)
	}
	delete(s.usableByPool, rs.Service)
	id := machine.ID(rs.Machine)
	s.byMachine[id] = slices.DeleteFunc(s.byMachine[id], func(x *runnerState) bool { return x == rs })
	if len(s.byMachine[id]) == 0 {
		delete(s.byMachine, id)
	}
}

// evidenceOfPresence ranks what is known of a runner on its machine.
func (s *State) evidenceOfPresence(rs *runnerState) int {
	switch {
	case rs.replied && !rs.ended:
		return 3
	case s.isInherited(rs):
		return 2
	case rs.replied:
		return 1
	}
	return 0 // only its entry is known
}

// runnerOf returns the runner of a machine, or nil: of those for which there is the best
// evidence, the newest.
func (s *State) runnerOf(id machine.ID) *runnerState {
	var best *runnerState
	for _, rs := range s.byMachine[id] {
		if best == nil || cmp.Or(
			cmp.Compare(s.evidenceOfPresence(rs), s.evidenceOfPresence(best)),
			cmp.Compare(rs.Incarnation, best.Incarnation),
			cmp.Compare(rs.ID, best.ID),
		) > 0 {
			best = rs
		}
	}
	return best
}

// isInherited reports whether a runner may have runs of a previous term that are not
// known.
func (s *State) isInherited(rs *runnerState) bool { return !rs.replied && s.inherited[rs.ID] != nil }

// mayHaveRuns reports whether a runner may have runs, or results that would be lost with
// it.
func (s *State) mayHaveRuns(rs *runnerState) bool {
	return len(rs.runs) > 0 || rs.hasUnacked() || s.isInherited(rs)
}

// otherOccupant returns a runner apart from rs that names a machine, or is listed as its
// runner, and may have runs, or nil.
func (s *State) otherOccupant(id machine.ID, rs *runnerState) *runnerState {
	if ms := s.machineStates[id]; ms != nil {
		if x := s.runners[ms.Runner]; x != nil && x != rs && s.mayHaveRuns(x) {
			return x
		}
	}
	for _, x := range s.byMachine[id] {
		if x != rs && s.mayHaveRuns(x) {
			return x
		}
	}
	return nil
}

// ignoresEntry reports whether an entry is not that of a runner to use: its service is
// not configured and has no jobs, or it contradicts what an incarnation that has replied
// has said of itself. Such an entry is kept until the next configuration or list of
// machines.
func (s *State) ignoresEntry(rs *runnerState, i runner.Info) bool {
	why := ""
	switch {
	case s.cfg != nil && s.cfg.Services[i.Service] == nil && len(s.open[i.Service]) == 0:
		why = "service is not configured"
	case rs != nil && rs.contradicts(i) && (rs.replied || s.isInherited(rs)) && !s.listedAs(i):
		why = "runner has another service or machine"
	default:
		delete(s.ignored, i.ID)
		return false
	}
	if old, ok := s.ignored[i.ID]; !ok || old.Service != i.Service || old.Machine != i.Machine || old.Incarnation != i.Incarnation {
		s.Logger.Log("msg", "runner entry ignored", "why", why, "runner", i.ID, "service", i.Service, "machine", i.Machine, "incarnation", int64(i.Incarnation), "known", rs != nil)
	}
	s.ignored[i.ID] = i
	return true
}

// contradicts reports whether an entry names another service or machine than is known of
// the same incarnation.
func (rs *runnerState) contradicts(i runner.Info) bool {
	if rs.described != i.Incarnation || rs.Incarnation != i.Incarnation || rs.Machine == "" {
		return false
	}
	return rs.Machine != i.Machine || rs.Service != "" && rs.Service != i.Service
}

// listedAs reports whether the list of machines names a runner as its entry does.
func (s *State) listedAs(i runner.Info) bool {
	ms := s.machineStates[machine.ID(i.Machine)]
	return ms != nil && ms.Runner == i.ID && ms.Pool == i.Service
}

// isContradicted reports whether the present entry of a runner was ignored and no list of
// machines shows that what is known of the runner holds.
func (s *State) isContradicted(rs *runnerState) bool {
	_, ok := s.ignored[rs.ID]
	return ok && !s.listedAs(rs.Info)
}

// ReviewEntries applies the entries that were ignored and need not be any longer, and
// returns their runners, so that they are polled.
func (s *State) ReviewEntries(now clock.BootTime) []runner.ID {
	var ids []runner.ID
	for id, i := range s.ignored {
		if !s.ignoresEntry(s.runners[id], i) {
			s.SetRunner(i, now)
			ids = append(ids, id)
		}
	}
	return ids
}
