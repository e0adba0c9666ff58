package sched

import (
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
)

// A runner's capacity may shrink between the placement of a run and the sending
// of its start. What runs there, what is being stopped and all starts that may
// be received then exceed the capacity, and one more start may do so as well.

// maxCapacityAge is the age of the input from which no task is started on a
// runner that does not enforce its capacity. A capacity that has shrunk counts
// 3 s after the runner's entry shows it, and a start takes up to half a second.
const maxCapacityAge = 2500 * time.Millisecond

func (s *State) enforcesCapacity(pool string) bool {
	svc := s.cfg.Services[pool]
	return svc != nil && svc.EnforcesCapacity
}

// capacityOutdated reports whether runners of a pool may have shrunk unnoticed
// and would not reject what does not fit: the leader has not reached the store
// for some time.
func (s *State) capacityOutdated(pool string, now clock.BootTime) bool {
	return now.Sub(s.inputCurrentAt) > maxCapacityAge && !s.enforcesCapacity(pool)
}

// withholdStart reports whether the start of a run must not be sent because its
// runner is over its capacity, or may be, or its workspace is over a cap that was lowered. If no start of the run can have been
// received, the task is released, so that it is placed again. Otherwise the run
// remains until a report shows whether it has begun; a gang is stopped at once,
// since its other members may be waiting. A runner that enforces its capacity is
// sent the repeated start, which it rejects only if the run has not begun.
func (s *State) withholdStart(r *run, now clock.BootTime) bool {
	rs := r.runner
	outdated := s.capacityOutdated(rs.Service, now)
	over := r.task.job.account.Over()
	if rs.used.Fits(rs.Capacity) && !outdated && !over {
		r.withheldAt = 0
		return false
	}
	if !over && r.startUnknown && s.enforcesCapacity(rs.Service) {
		return false
	}
	if r.withheldAt == 0 {
		r.withheldAt, r.replyUntil = now, 0
		s.Logger.Log("msg", "run start withheld", "task", r.task.name, "attempt", r.attempt, "runner", rs.ID, "unsure", r.startUnknown,
			"outdated", outdated, "over_cap", over, "input", now.Sub(s.inputCurrentAt), "capacity", rs.Capacity.CPU, "free", rs.free().CPU, "free_mem", rs.free().Mem, "runs", len(rs.runs), "heard", now.Sub(rs.lastReply))
	}
	if !r.startUnknown {
		s.release(r, "start of a gang member withheld", now)
	} else if r.task.step.spec.Gang {
		s.stopGang(r.task.step, "start of a gang member withheld, outcome unknown")
	}
	return true
}

// withheldLost reports whether the start of a run that a report does not list
// has been withheld since before the poll was sent. Only a start that is carried
// out late could still begin the run.
func (r *run) withheldLost(sent clock.BootTime) bool {
	return r.phase == starting && r.withheldAt != 0 && sent.After(r.withheldAt) && (!r.runner.used.Fits(r.runner.Capacity) || r.task.job.account.Over())
}

// release removes a run that has certainly not begun. If its task is a member of
// a gang, the runs of the other members are stopped for the given reason.
func (s *State) release(r *run, why string, now clock.BootTime) {
	r.runner.remove(r)
	s.startResolved(r.task, r.attempt, r.runner)
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
