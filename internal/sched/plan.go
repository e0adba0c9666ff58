package sched

import (
	"cmp"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
)

// Plan decides which runs to start and stop now. The wall clock is used only
// for the due times of jobs.
func (s *State) Plan(now clock.BootTime, wall time.Time) {
	if s.cfg == nil {
		return
	}
	full := now.Sub(s.lastFullPlan) >= max(fullPlanInterval, time.Duration(len(s.runners))*fullPlanPerRunner)
	if full {
		s.lastFullPlan = now
		s.recordIdle(now)
		s.forgetLosses(now)
		clear(s.usableByPool)
		s.expireLeases(now)
		s.resolveInherited()
		s.planCaps(true, now)
		s.closeFailed(now)
		s.resend()
		s.releaseDue(wall)
		s.planWaves(now)
		s.planIsolation(now)
		s.updatePairs(now)
		s.planPools(now)
	}
	if !s.previousCounted {
		s.planCaps(false, now)
	}
	for svc, jobs := range s.open {
		if len(jobs) == 0 {
			continue
		}
		runners := s.usableRunners(svc, now)
		if len(runners) == 0 || s.capacityOutdated(svc, now) {
			continue
		}
		s.place(runners, jobs, now)
		if full {
			s.stragglers(svc, runners, now)
		}
	}
	if full {
		s.throttleBestEffort(now)
		s.logWaiting(now)
	}
}

// recordIdle records since when each runner has no runs.
func (s *State) recordIdle(now clock.BootTime) {
	for _, rs := range s.runners {
		if len(rs.runs) > 0 || rs.idleSince == 0 {
			rs.idleSince = now
		}
	}
}

// usableRunners returns the runners of a pool on which new runs could be started
// at the last full planning pass, ordered by ID. Whether they still can be is
// checked for each run.
func (s *State) usableRunners(pool string, now clock.BootTime) []*runnerState {
	if l, ok := s.usableByPool[pool]; ok {
		return l
	}
	var l []*runnerState
	for _, rs := range s.byPool[pool] {
		if s.usable(rs, now) {
			l = append(l, rs)
		}
	}
	s.usableByPool[pool] = l
	return l
}

func compareRunners(a, b *runnerState) int { return cmp.Compare(a.ID, b.ID) }

// fullPlanInterval is the time between two full planning passes, which cover
// what changes slowly: leases, repeated commands, waves, pools and throttling.
const fullPlanInterval = 30 * time.Millisecond

// fullPlanPerRunner times the number of runners is that time if it is longer,
// since the cost of a full pass grows with them.
const fullPlanPerRunner = 110 * time.Microsecond

// returnGrace is the delay before a task that is not long-running is started
// again after the lease of its run expired. The runner may become reachable
// again with a result of that run, and a second run would then be wasted.
const returnGrace = 2 * time.Second

// ConfirmTerm records that this term still led at the given time, as shown by a
// successful store call that was sent at that time.
func (s *State) ConfirmTerm(at clock.BootTime) { s.confirmedAt = max(s.confirmedAt, at) }

// NeedsConfirmation reports whether a decision waits for ConfirmTerm.
func (s *State) NeedsConfirmation(now clock.BootTime) bool {
	for _, rs := range s.runners {
		if rs.expiredAt != 0 && len(rs.runs) > 0 {
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

// expireLeases abandons the runs of runners whose lease has expired. A leader
// that has not discovered the next one must not do so: the next leader may
// reach the runner and extend the lease. It therefore waits until the store has
// confirmed, after the expiry, that this term still leads.
func (s *State) expireLeases(now clock.BootTime) {
	for _, rs := range s.runners {
		if !rs.replied || !rs.unreachable || len(rs.runs) == 0 || !rs.leaseExpired(now) {
			rs.expiredAt = 0
		} else if rs.expiredAt == 0 {
			rs.expiredAt = now
		}
		if rs.expiredAt != 0 && s.confirmedAt.After(rs.expiredAt) {
			for _, r := range runsOf(rs) {
				s.runLost(r, "lease expired", now)
				rs.unreported = true
				r.task.possibleResult = true
				if r.mayHaveBegun() {
					rs.abandoned = append(rs.abandoned, abandonedRun{task: r.task, attempt: r.attempt, confirmedAt: r.confirmedAt})
				} else {
					s.runResolved(r)
				}
				if !r.task.step.spec.LongRunning {
					r.task.notBefore = now.Add(returnGrace)
				}
			}
		}
		if !rs.registered {
			s.removeDeregistered(rs, now)
		}
	}
}

// maxOpenOccurrences bounds the occurrences of one job that are in progress. A
// job whose first due time is long past has all of them due at once.
const maxOpenOccurrences = 100

// releaseDue creates the occurrences that are due. Some may exist, in any order: a
// new leader creates those with progress, and those of which a runner reports a run.
func (s *State) releaseDue(wall time.Time) {
	for _, jobs := range s.open {
		for _, js := range jobs {
			if js.def.Repeats == 0 {
				continue
			}
			js.dropComplete()
			for js.released < js.def.Occurrences() && js.openOccurrences() < maxOpenOccurrences {
				if wall.Add(s.Limits.EarlyStart / 2).Before(js.def.Due(js.released)) {
					break
				}
				if !js.dropped.Has(js.released) {
					js.occurrence(js.released)
				}
				js.released++
			}
		}
	}
}

// startable reports whether a task may be started now.
func (s *State) startable(t *task, now clock.BootTime) bool {
	if t.done || !t.job.open() || t.live() || t.notBefore.After(now) || t.isGivenUp() {
		return false
	}
	return !s.awaitsTerms(t) && s.runsKnown(t) && !s.awaitsStablePool(t, now) && !s.awaitsSilentRunner(t)
}
