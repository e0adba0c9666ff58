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
			if rs := s.runnerOf(m.id); rs != nil && m.phase != waiting && m.phase != returned {
				rs.cordoned = true
			}
		}
	}
	if !s.machinesCurrent(now) {
		return
	}
	for _, ms := range s.machineStates {
		if rs := s.movingRunner(ms); rs != nil {
			rs.cordoned = true
		}
	}
}
