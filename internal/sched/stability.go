package sched

import (
	"slices"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
)

const (
	// calmAfter is how long a pool has lost few runners when it is calm. It covers
	// the poll that shows that an idle runner is gone.
	calmAfter = idlePollWait + 500*time.Millisecond
	// lossDivisor bounds how many runners, one in lossDivisor of the pool, a calm
	// pool loses in calmAfter.
	lossDivisor = 16
)

// recordLoss records that a runner crashed or fell silent, unless it does so on
// order, or a suspect that it is isolated for may have caused it.
func (s *State) recordLoss(rs *runnerState, now clock.BootTime) {
	if rs.Draining || rs.cordoned || rs.isolated != nil && rs.hasStarted() || !rs.replied || rs.unreachable {
		return
	}
	if rs.lostAt != 0 && now.Sub(rs.lostAt) < calmAfter {
		return // a runner that misses polls again and again is one
	}
	rs.lostAt = now
	s.losses[rs.Service] = append(s.losses[rs.Service], now)
	if !s.restless[rs.Service] {
		s.updateRestless(rs.Service, now)
	}
}

// forgetLosses drops the losses that no longer count.
func (s *State) forgetLosses(now clock.BootTime) {
	for pool := range s.losses {
		s.updateRestless(pool, now)
	}
}

// updateRestless decides whether a pool has lost many of its runners lately. One
// is few in any pool.
func (s *State) updateRestless(pool string, now clock.BootTime) {
	l := slices.DeleteFunc(s.losses[pool], func(at clock.BootTime) bool { return now.Sub(at) >= calmAfter })
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
	s.restless[pool] = len(l) > max(1, present/lossDivisor)
	if s.restless[pool] {
		s.restlessAt[pool] = now
	}
}

// wasCalm reports whether a pool has lost few runners since a time, so that a crash
// since then tells something of the tasks on the runner. It may be known only later.
func (s *State) wasCalm(pool string, since, now clock.BootTime) bool {
	return s.isCalm(pool, now) && !s.restlessAt[pool].After(since)
}

// isCalm reports whether a pool has lost few runners lately, so that a crash after
// the start of a task tells something of the task. A new leader has not seen enough
// to tell.
func (s *State) isCalm(pool string, now clock.BootTime) bool {
	return !s.restless[pool] && now.Sub(s.startedAt) >= calmAfter
}
