package sched

import (
	"math"
	"slices"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/machine"
)

// A wave takes the machine whose absence costs least, as long as its MaxUnavailable and
// those of other waves for its machines allow one more.

// active returns how many machines of a wave are leaving or down for it or another one.
func (s *State) active(w *wave) int {
	n := 0
	for _, m := range w.maintenances {
		if m.isActive() || s.maintained[m.id] != nil {
			n++
		}
	}
	return n
}

// capped returns the machines that other waves do not allow to take, since as many of
// their machines are leaving or down as may be.
func (s *State) capped(w *wave) map[machine.ID]bool {
	var ids map[machine.ID]bool
	for _, x := range s.waves {
		if x == w || x.completed || s.active(x) < x.MaxUnavailable {
			continue
		}
		if ids == nil {
			ids = make(map[machine.ID]bool)
		}
		for _, m := range x.maintenances {
			ids[m.id] = true
		}
	}
	return ids
}

// neededAtOnce returns how many machines must be down at once for a wave to
// complete in time, with a reserve. It limits a wave while pools lack machines.
func (s *State) neededAtOnce(w *wave, now clock.BootTime) int {
	left := 0
	for _, m := range w.maintenances {
		if m.phase != returned {
			left++
		}
	}
	perMachine := s.timePerMachine()
	remaining := w.due.Sub(now) - waveReserve
	if remaining <= perMachine {
		return w.MaxUnavailable
	}
	return min(w.MaxUnavailable, int(math.Ceil(float64(left)*float64(perMachine)/float64(remaining))))
}

// nextMaintenance returns the machine whose absence costs least now, among those that
// its long-running tasks can leave, or nil.
func (s *State) nextMaintenance(w *wave, now clock.BootTime) *maintenance {
	for range maxRefusals {
		m := s.cheapestMaintenance(w, now)
		if m == nil {
			return nil
		}
		if s.canTake(m, s.runnerOf(m.id), now) {
			return m
		}
		m.refusedUntil = now.Add(refusalTime)
	}
	return nil
}

// cheapestMaintenance returns the machine whose absence costs least now, or nil.
func (s *State) cheapestMaintenance(w *wave, now clock.BootTime) *maintenance {
	taken, all := make(map[string]int), make(map[string]int)
	for _, rs := range s.runners {
		if s.hasLeft(rs) || s.evidenceOfPresence(rs) == 0 {
			continue
		}
		all[rs.Service]++
		if rs.cordoned || !rs.replied || rs.unreachable {
			taken[rs.Service]++
		}
	}
	capped := s.capped(w)
	var best *maintenance
	var bestCost [2]int
	for _, m := range w.maintenances {
		if m.phase != waiting || s.maintained[m.id] != nil || capped[m.id] || s.awaitsOtherWave(m, now) || m.notBefore.After(now) || m.refusedUntil.After(now) || (s.machineStates[m.id] != nil && s.machineStates[m.id].movingTo != "") {
			continue
		}
		cost := [2]int{}
		if rs := s.runnerOf(m.id); rs != nil {
			if taken[rs.Service]*serviceDivisor >= all[rs.Service] && !s.urgent(w, now) {
				continue
			}
			for _, r := range rs.runs {
				if r.task.step.spec.LongRunning {
					cost[0]++
				}
			}
			cost[0] += len(rs.keptFor)
			cost[1] = rs.used.CPU
			cost[0] = cost[0] * 4000 // restarting a long-running task elsewhere costs as much as 4 cores in use
			cost[0] += cost[1]
		}
		if best == nil || slices.Compare(cost[:], bestCost[:]) < 0 {
			best, bestCost = m, cost
		}
	}
	return best
}

// awaitsOtherWave reports whether a previous term may have begun the maintenance of a
// machine for another wave, which may not have been read yet.
func (s *State) awaitsOtherWave(m *maintenance, now clock.BootTime) bool {
	in := s.intents[m.id]
	return in.Term != 0 && in.Term != s.Term && now.Sub(s.startedAt) < s.Limits.MachineTakeover &&
		in.PendingWave != 0 && in.PendingWave != m.wave.Number && in.PendingWave != in.AcceptedWave
}

// urgent reports whether a wave must take machines at any cost to complete in
// time.
func (s *State) urgent(w *wave, now clock.BootTime) bool {
	left := 0
	for _, m := range w.maintenances {
		if m.phase == waiting {
			left++
		}
	}
	rounds := (left + w.MaxUnavailable - 1) / w.MaxUnavailable
	return w.due.Sub(now) < time.Duration(rounds+1)*(drainTimeout+s.Limits.MaintenanceTime)
}
