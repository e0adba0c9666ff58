package sched

import "gypsumtrestle.example/gypsumtrestle/internal/clock"

// A runner's capacity may shrink between the placement of a run and the sending
// of its start. What runs there, what is being stopped and all starts that may
// be received then exceed the capacity, and one more start may do so as well.

// withholdStart reports whether the start of a run must not be sent because its
// runner is over its capacity. If no start of the run was sent, the task is
// released, so that it is placed again.
func (s *State) withholdStart(r *run, now clock.BootTime) bool {
	rs := r.runner
	if r.startUnknown || rs.used.Fits(rs.Capacity) {
		return false
	}
	s.Logger.Log("msg", "run start withheld, capacity has shrunk", "task", r.task.name, "attempt", r.attempt, "runner", rs.ID,
		"capacity", rs.Capacity.CPU, "free", rs.free().CPU, "free_mem", rs.free().Mem, "runs", len(rs.runs))
	s.release(r, "start of a gang member withheld", now)
	return true
}

// release removes a run that has certainly not begun. If its task is a member of
// a gang, the runs of the other members are stopped for the given reason.
func (s *State) release(r *run, why string, now clock.BootTime) {
	r.runner.remove(r)
	r.task.endedAt = now
	if !r.task.step.spec.Gang {
		return
	}
	for _, t := range r.task.step.tasks {
		for _, x := range t.runs {
			s.stop(x, why)
		}
	}
}
