package sched

import (
	"cmp"
	"slices"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
)

// Plan decides what to start and stop now. The wall clock serves only for jobs
// with times.
func (s *State) Plan(now clock.BootTime, wall time.Time) {
	if s.cfg == nil {
		return
	}
	slow := now.Sub(s.slow) >= slowPlan
	if slow {
		s.slow = now
		s.expire(now)
		s.settle()
		s.resend()
		s.release(wall)
		s.planWaves(now)
		s.planPools(now)
	}
	pools := make(map[string][]*node)
	for _, n := range s.nodes {
		if len(n.runs) > 0 || n.idle == 0 {
			n.idle = now
		}
		if s.usable(n, now) {
			pools[n.Service] = append(pools[n.Service], n)
		}
	}
	for svc, ws := range s.open {
		ns := pools[svc]
		if len(ns) == 0 || len(ws) == 0 {
			continue
		}
		slices.SortFunc(ns, func(a, b *node) int { return cmp.Compare(a.ID, b.ID) })
		s.place(ns, ws, now)
		if slow {
			s.stragglers(ns, now)
		}
	}
	if slow {
		s.pace(now)
	}
}

// slowPlan is between two plans of what changes slowly: leases, orders that are
// sent again, waves, pools and paces.
const slowPlan = 30 * time.Millisecond

// returnGrace is how long a task that does not last waits after the lease of
// its run has lapsed. The runner may come back with an end of that run, and a
// second run would then have been for nothing.
const returnGrace = 2 * time.Second

// ConfirmTerm takes that this term still led at an instant: a call to the store
// that was sent then has shown so.
func (s *State) ConfirmTerm(at clock.BootTime) { s.confirmed = max(s.confirmed, at) }

// NeedsConfirmation tells whether a decision waits for Confirm.
func (s *State) NeedsConfirmation(now clock.BootTime) bool {
	for _, n := range s.nodes {
		if n.lapsedAt != 0 && len(n.runs) > 0 {
			return true
		}
	}
	for _, in := range s.inherited {
		if !in.until.After(now) {
			return true
		}
	}
	return false
}

// expire gives up the runs of runners whose lease has surely lapsed. A leader
// that does not know of its successor must not do so: the successor may reach
// the runner and extend the lease. It therefore waits until the store has
// confirmed, after the lapse, that this term still leads.
func (s *State) expire(now clock.BootTime) {
	for _, n := range s.nodes {
		if !n.contacted || !n.silent || len(n.runs) == 0 || !n.lapsed(now) {
			n.lapsedAt = 0
		} else if n.lapsedAt == 0 {
			n.lapsedAt = now
		}
		if n.lapsedAt != 0 && s.confirmed.After(n.lapsedAt) {
			for _, r := range runsOf(n) {
				s.lost(r, "lease has lapsed", now)
				r.task.doubt = true
				if !r.task.step.spec.LongRunning {
					r.task.after = now.Add(returnGrace)
				}
			}
		}
		if !n.listed {
			s.forget(n, now)
		}
	}
}

// release creates the occurrences that are due.
func (s *State) release(wall time.Time) {
	for _, ws := range s.open {
		for _, w := range ws {
			if w.job.Repeats == 0 {
				continue
			}
			for k := len(w.occs); k < w.job.Occurrences(); k++ {
				if wall.Add(s.Limits.EarlyStart / 2).Before(w.job.Due(k)) {
					break
				}
				w.occurrence(k)
			}
		}
	}
}

// startable tells whether a task may be started now.
func (s *State) startable(t *task, now clock.BootTime) bool {
	if t.done || t.live() || t.after.After(now) {
		return false
	}
	return s.known(t)
}
