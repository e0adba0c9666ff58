package sched

import (
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
)

const (
	// slowFactor is how many times its estimate a run may take before a copy
	// is worth its room.
	slowFactor = 3
	// slowLeast is the least time before a run counts as slow.
	slowLeast = 1200 * time.Millisecond
	// stallTime is how long a run may use no processor before it counts as
	// standing still. The runner's figure is that of the last half second.
	stallTime = 1200 * time.Millisecond
	// stallAvoid keeps new runs from a runner whose tasks stand still.
	stallAvoid = 3 * time.Second
)

// stragglers handles runs that lag behind. One that stands still is stopped
// and started elsewhere. A speculative task that is slow while most of its step
// is done gets a copy; where the whole step is slow, its estimate was wrong.
func (s *State) stragglers(ns []*node, now clock.BootTime) {
	for _, n := range ns {
		for _, r := range n.runs {
			t := r.task
			stalled := r.stalled != 0 && now.Sub(r.stalled) > stallTime
			if stalled {
				n.blocked = max(n.blocked, now.Add(stallAvoid))
			}
			slow := t.step.spec.Speculative && 2*t.step.done > len(t.step.tasks) && r.slow(now)
			if !stalled && !slow || len(t.runs) > 1 || t.retried {
				continue
			}
			other := s.choose(ns, t, now)
			if other == nil || other == n {
				continue
			}
			t.retried = true
			s.Logger.Log("msg", "run lags behind", "task", t.name, "runner", n.ID, "ran", now.Sub(r.confirmed),
				"estimate", t.step.spec.Estimate, "load", r.load, "stalled", stalled)
			if t.step.spec.Speculative {
				s.start(t, other, t.attempt+1, now, "copy of a slow run")
				continue
			}
			t.avoid = append(t.avoid, n.ID)
			s.stop(r, "stands still")
		}
	}
}

// slow tells whether a run takes much longer than it should.
func (r *run) slow(now clock.BootTime) bool {
	sp := r.task.step.spec
	if sp.LongRunning || r.phase != running || sp.Estimate == 0 {
		return false
	}
	return now.Sub(r.confirmed) > max(slowFactor*sp.Estimate, slowLeast)
}

// watch notes since when a run uses no processor. Only runs that should use it
// count: others may wait for their gang or are paced, and the load of a task
// that serves is another figure.
func (r *run) watch(now clock.BootTime) {
	sp := r.task.step.spec
	if r.load > 0 || r.percent < 100 || sp.LongRunning || sp.Gang || sp.BestEffort || r.phase != running {
		r.stalled = 0
	} else if r.stalled == 0 {
		r.stalled = now
	}
}
