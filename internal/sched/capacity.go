package sched

import (
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
)

// A runner's capacity may shrink between the placement of a run and the sending
// of its start. What runs there, what is being stopped and all starts that may
// be received then exceed the capacity, and one more start may do so as well.

// withheldTimeout is longer than a poll takes, so that a later report shows
// whether a start without a reply was carried out before it was withheld.
const withheldTimeout = idlePollWait + 700*time.Millisecond

// withholdStart reports whether the start of a run must not be sent because its
// runner is over its capacity. If no start of the run can have been received,
// the task is released, so that it is placed again. Otherwise the run is stopped
// unless a report lists it or the capacity grows; a gang is stopped at once,
// since its other members may be waiting. A runner that enforces its capacity is
// sent the repeated start, which it rejects only if the run has not begun.
func (s *State) withholdStart(r *run, now clock.BootTime) bool {
	rs := r.runner
	if rs.used.Fits(rs.Capacity) {
		r.withheldAt = 0
		return false
	}
	if svc := s.cfg.Services[rs.Service]; r.startUnknown && svc != nil && svc.EnforcesCapacity {
		return false
	}
	if r.withheldAt == 0 {
		r.withheldAt = now
		s.Logger.Log("msg", "run start withheld, capacity has shrunk", "task", r.task.name, "attempt", r.attempt, "runner", rs.ID, "unsure", r.startUnknown,
			"capacity", rs.Capacity.CPU, "free", rs.free().CPU, "free_mem", rs.free().Mem, "runs", len(rs.runs), "heard", now.Sub(rs.lastReply))
	}
	const why = "start withheld, outcome unknown"
	switch {
	case !r.startUnknown:
		s.release(r, "start of a gang member withheld", now)
	case r.task.step.spec.Gang:
		s.stopGang(r.task.step, why)
	case rs.lastReply.Sub(r.withheldAt) > withheldTimeout:
		s.stop(r, why)
	}
	return true
}

// release removes a run that has certainly not begun. If its task is a member of
// a gang, the runs of the other members are stopped for the given reason.
func (s *State) release(r *run, why string, now clock.BootTime) {
	r.runner.remove(r)
	r.task.endedAt = now
	if r.task.step.spec.Gang {
		s.stopGang(r.task.step, why)
	}
}

func (s *State) stopGang(st *step, why string) {
	for _, t := range st.tasks {
		for _, x := range t.runs {
			s.stop(x, why)
		}
	}
}
