package sched

import (
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
)

const (
	// slowFactor is how many times the expected time a run may take before a copy is
	// worth its resources.
	slowFactor = 3
	// slowMinimum is the minimum run time before a run is treated as slow.
	slowMinimum = 1200 * time.Millisecond
	// stallTimeout is how long a run may use no CPU before it is treated as
	// stalled. The load that a runner reports covers the last half second.
	stallTimeout = 1200 * time.Millisecond
	// stallBlockDelay blocks new runs on a runner whose tasks are stalled.
	stallBlockDelay = 3 * time.Second
)

// stragglers handles stalled and slow runs on all runners of a pool, given those that
// take new runs. A stalled run is stopped and started on another runner. A slow
// speculative task gets a copy if most of its step is done; if the whole step is
// slow, its estimate was wrong.
func (s *State) stragglers(pool string, runners []*runnerState, now clock.BootTime) {
	for _, rs := range s.byPool[pool] {
		if !rs.replied || rs.unreachable {
			continue
		}
		for _, r := range rs.runs {
			t := r.task
			stalled := r.stalledSince != 0 && now.Sub(r.stalledSince) > stallTimeout
			if stalled && s.usable(rs, now) {
				rs.blockedUntil = now.Add(stallBlockDelay)
			}
			slow := t.step.spec.Speculative && 2*t.step.done > len(t.step.tasks) && s.slow(r, now)
			if !stalled && !slow || len(t.runs) > 1 || t.retried || t.crashes.Suspect {
				continue
			}
			other := s.choose(runners, t, now)
			if other == nil && stalled && s.onlyCapped(runners, t, now) {
				t.retried = true
				s.Logger.Log("msg", "stalled run stopped, no room below the cap for a copy", "task", t.name, "runner", rs.ID,
					"ran", now.Sub(r.confirmedAt), "workspace", t.job.account.Name)
				t.avoid = append(t.avoid, rs.ID)
				s.stop(r, "run stalled")
				continue
			}
			if other == nil || other == rs {
				continue
			}
			t.retried = true
			s.Logger.Log("msg", "slow or stalled run found", "task", t.name, "runner", rs.ID, "ran", now.Sub(r.confirmedAt),
				"estimate", t.step.spec.Estimate, "expected", s.runTime(t.step, now), "load", r.load, "stalled", stalled)
			if t.step.spec.Speculative {
				s.start(t, other, t.attempt+1, now, "copy of a slow run")
				continue
			}
			t.avoid = append(t.avoid, rs.ID)
			s.stop(r, "run stalled")
		}
	}
}

// slow reports whether a run takes much longer than expected.
func (s *State) slow(r *run, now clock.BootTime) bool {
	if r.task.step.spec.LongRunning || r.phase != running {
		return false
	}
	expected := s.runTime(r.task.step, now)
	return expected > 0 && now.Sub(r.confirmedAt) > max(slowFactor*expected, slowMinimum)
}

// recordLoad records since when a run uses no CPU. Only runs that should use CPU
// are considered: others may wait for their gang or are throttled, and the load
// of a long-running task with a target latency is that latency.
func (r *run) recordLoad(now clock.BootTime) {
	sp := r.task.step.spec
	if r.load > 0 || r.percent < 100 || sp.LongRunning || sp.Gang || sp.BestEffort || r.phase != running {
		r.stalledSince = 0
	} else if r.stalledSince == 0 {
		r.stalledSince = now
	}
}
