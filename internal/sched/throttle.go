package sched

import (
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
)

const (
	// throttleInterval is the time between two changes of a throttle. The load
	// that a runner reports covers the last half second, which must lie after
	// the last change has taken effect.
	throttleInterval = 700 * time.Millisecond
	// raiseShare is the share of the target latency below which best-effort
	// tasks beside a latency-sensitive task may run faster.
	raiseShare = 0.7
	// lowerShare is the share of the target latency above which best-effort
	// tasks are throttled. It is below 1 because the reported latency is
	// inexact.
	lowerShare = 0.9
	// throttleStep is the increase of a throttle in percentage points.
	throttleStep = 15
	// minThrottle is the percentage below which a best-effort task is halted.
	minThrottle = 10
)

// throttling is how the throttles of the best-effort tasks on a runner change.
type throttling int

const (
	unchanged throttling = iota
	slower
	faster
)

// throttleBestEffort slows down the best-effort tasks beside latency-sensitive
// tasks that exceed their target, and speeds them up again when the latency is
// low. It repeats the command for a task that its runner reports at another throttle.
func (s *State) throttleBestEffort(now clock.BootTime) {
	for _, rs := range s.runners {
		if rs.unreachable || !rs.replied {
			continue
		}
		change := rs.throttling()
		for _, r := range rs.runs {
			if r.task.step.spec.BestEffort && r.phase == running && now.Sub(r.throttledAt) > throttleInterval {
				s.throttleRun(r, change, now)
			}
		}
	}
}

// throttling returns the change that the latency-sensitive tasks on a runner
// need.
func (rs *runnerState) throttling() throttling {
	change := faster
	for _, r := range rs.runs {
		target := r.task.step.spec.TargetLatency
		if target == 0 || r.phase != running {
			continue
		}
		tail := time.Duration(r.load) * time.Millisecond
		switch {
		case float64(tail) > lowerShare*float64(target):
			return slower
		case float64(tail) > raiseShare*float64(target):
			change = unchanged
		}
	}
	return change
}

func (s *State) throttleRun(r *run, change throttling, now clock.BootTime) {
	percent := r.throttle
	switch change {
	case slower:
		if percent /= 2; percent < minThrottle {
			percent = 0
		}
	case faster:
		percent = min(percent+throttleStep, 100)
	case unchanged:
	}
	// A command may have been lost, and a former leader may have set another throttle.
	differs := r.percent != r.throttle && now.Sub(max(r.throttledAt, r.confirmedAt)) > throttleInterval
	if percent == r.throttle && !differs {
		return
	}
	s.Logger.Log("msg", "best-effort throttle changed", "task", r.task.name, "runner", r.runner.ID, "from", r.throttle, "reported", r.percent, "to", percent)
	r.throttle, r.throttledAt = percent, now
	s.commands = append(s.commands, Command{
		Kind: ThrottleRun, To: r.runner.target(), incarnation: r.runner.Incarnation,
		Task: r.task.name, Attempt: r.attempt, Percent: percent,
	})
}
