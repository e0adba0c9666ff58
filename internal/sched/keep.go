package sched

import (
	"slices"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
)

// keepRoom keeps room on a runner for a long-running task that is stopped for it,
// until the task is started again.
func (rs *runnerState) keepRoom(t *task) {
	t.releaseRoom()
	if rs.keptFor == nil {
		rs.keptFor = make(map[*task]bool)
	}
	rs.keptFor[t] = true
	t.keptOn = rs
}

// releaseRoom gives up the room that is kept for a task, if there is any.
func (t *task) releaseRoom() {
	if t.keptOn != nil {
		delete(t.keptOn.keptFor, t)
		t.keptOn = nil
	}
}

// reviewKeptRoom gives up the room for tasks that do not need it any more or
// cannot use it.
func (s *State) reviewKeptRoom(now clock.BootTime) {
	for _, rs := range s.runners {
		for t := range rs.keptFor {
			runs := slices.ContainsFunc(t.runs, func(r *run) bool { return r.phase != stopping })
			if runs || !t.job.open() || s.service(t.job) != rs.Service || t.crashes.Suspect || !s.usable(rs, max(now, rs.blockedUntil)) {
				t.releaseRoom()
			}
		}
	}
}
