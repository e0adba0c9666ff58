package sched

import (
	"gypsumtrestle.example/gypsumtrestle/internal/clock"
)

// longRunningNeed is what the long-running tasks of a pool need beside the estimate of
// longRunningMachines: tasks that run may fill other machines than it assumes.
type longRunningNeed struct {
	occupied int           // machines with long-running tasks, or room kept for them
	tasks    map[*step]int // tasks without a run that do not fit there
}

// machinesInUse returns how many machines of a pool its long-running tasks occupy, with
// those for the tasks that have no run, whatever these wait for. Without the latter,
// their machines would leave and be missed as soon as the tasks may be started.
func (s *State) machinesInUse(d *poolDemand) int {
	n, ok := s.needs[d.pool]
	if !ok {
		return 0
	}
	return n.occupied + s.machinesForTasks(d, n.tasks)
}

// longRunningNeed returns the need of a pool in which long-running tasks of the given
// steps have no run.
func (s *State) longRunningNeed(pool string, steps []*step, now clock.BootTime) longRunningNeed {
	var occupied []heldRunner
	for _, rs := range s.byPool[pool] {
		if rs.present() && (rs.longRunning > 0 || len(rs.keptFor) > 0) {
			occupied = append(occupied, heldRunner{runnerState: rs, left: rs.free()})
		}
	}
	need := longRunningNeed{occupied: len(occupied), tasks: make(map[*step]int)}
	for _, st := range steps {
		n := 0
		for _, t := range st.tasks {
			if !t.live() && !t.isGivenUp() && t.keptOn == nil {
				n++
			}
		}
		n = st.withinCap(n)
		d := st.spec.Demand()
		for i := range occupied {
			h := &occupied[i]
			if n == 0 {
				break
			}
			if !d.Fits(h.left) || !s.couldTake(h.runnerState, st, now) {
				continue
			}
			room := n
			if st.spec.PerRunner > 0 {
				room = min(room, st.spec.PerRunner-runsOfStep(h.runnerState, st.tasks[0]))
			}
			for ; room > 0 && d.Fits(h.left); room-- {
				h.left = h.left.Sub(d)
				n--
			}
		}
		need.tasks[st] = n
	}
	return need
}
