package sched

import "gypsumtrestle.example/gypsumtrestle/internal/clock"

// cordon sets which runners leave for a wave or a move. It must precede all
// evacuations, so that none of these runners counts as room for them.
func (s *State) cordon(now clock.BootTime) {
	for _, rs := range s.runners {
		rs.cordoned = false
	}
	for _, w := range s.waves {
		if w.completed {
			continue
		}
		for _, m := range w.maintenances {
			if !m.isActive() {
				continue
			}
			for _, rs := range s.byMachine[m.id] {
				rs.cordoned = true
			}
		}
	}
	if !s.machinesCurrent(now) {
		return
	}
	for _, ms := range s.machineStates {
		rs := s.movingRunner(ms)
		if rs == nil {
			continue
		}
		if rs.longRunning > 0 && s.canCancelMove(ms, now) {
			s.Logger.Log("msg", "machine move cancelled", "machine", ms.ID, "pool", ms.movingTo, "runner", rs.ID, "long_running", rs.longRunning)
			ms.movingTo, ms.notBefore = "", now.Add(rejectedMoveDelay)
			continue
		}
		rs.cordoned = true
	}
}

// canCancelMove reports whether no command for the planned move of a machine can be
// carried out any more. The move would wait for the runs of the machine to end.
func (s *State) canCancelMove(ms *machineState, now clock.BootTime) bool {
	end := s.lastCommandEnd[ms.ID]
	return !ms.sent && (end == 0 || now.Sub(end) > s.Limits.MachineTakeover)
}
