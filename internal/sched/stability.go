package sched

import (
	"slices"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
)

const (
	// stableAfter is how long a pool has lost few runners when it is stable. It covers
	// the poll that shows that an idle runner is gone.
	stableAfter = idlePollWait + 500*time.Millisecond
	// lossDivisor bounds how many runners, one in lossDivisor of the pool, a stable
	// pool loses in stableAfter.
	lossDivisor = 16
)

// recordLoss records that a runner crashed or fell silent, unless it does so on
// order, or a suspect that it is isolated for may have caused it.
func (s *State) recordLoss(rs *runnerState, now clock.BootTime) {
	if rs.Draining || rs.cordoned || rs.isolated != nil && rs.hasStarted() || !rs.replied || rs.unreachable {
		return
	}
	if rs.lostAt != 0 && now.Sub(rs.lostAt) < stableAfter {
		return // a runner that misses polls again and again is one
	}
	rs.lostAt = now
	s.losses[rs.Service] = append(s.losses[rs.Service], now)
	if !s.unstable[rs.Service] {
		s.updateStability(rs.Service, now)
	}
}

// forgetLosses drops the losses that no longer count.
func (s *State) forgetLosses(now clock.BootTime) {
	for pool := range s.losses {
		s.updateStability(pool, now)
	}
}

// updateStability decides whether a pool has lost many of its runners lately. One
// is few in any pool.
func (s *State) updateStability(pool string, now clock.BootTime) {
	l := slices.DeleteFunc(s.losses[pool], func(at clock.BootTime) bool { return now.Sub(at) >= stableAfter })
	s.losses[pool] = l
	if len(l) == 0 {
		delete(s.losses, pool)
	}
	present := 0
	for _, rs := range s.byPool[pool] {
		if rs.replied && !rs.ended {
			present++
		}
	}
	s.unstable[pool] = len(l) > max(1, present/lossDivisor)
	if s.unstable[pool] {
		s.unstableAt[pool] = now
	}
}

// wasStable reports whether a pool has lost few runners since a time, so that a crash
// since then tells something of the tasks on the runner. It may be known only later.
func (s *State) wasStable(pool string, since, now clock.BootTime) bool {
	return s.isStable(pool, now) && !s.unstableAt[pool].After(since)
}

// isStable reports whether a pool has lost few runners lately, so that a crash after
// the start of a task tells something of the task. A new leader has not seen enough
// to tell.
func (s *State) isStable(pool string, now clock.BootTime) bool {
	return !s.unstable[pool] && now.Sub(s.startedAt) >= stableAfter
}
