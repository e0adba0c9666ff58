package sched

import (
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

const (
	// calmAfter is how long a pool has lost few runners when it is calm. It covers
	// the poll that shows that an idle runner is gone.
	calmAfter = idlePollWait + 500*time.Millisecond
	// lossDivisor bounds how many runners, one in lossDivisor of the pool, a calm
	// pool loses in calmAfter.
	lossDivisor = 16
)

// loss is a runner that crashed or fell silent.
type loss struct {
	runner runner.ID
	at     clock.BootTime
}

// recordLoss records that a runner crashed or fell silent, unless it does so on
// order, or a suspect that it is isolated for may have caused it.
func (s *State) recordLoss(rs *runnerState, now clock.BootTime) {
	if rs.Draining || rs.cordoned || rs.isolated != nil || !rs.replied || rs.unreachable {
		return
	}
	s.losses[rs.Service] = append(s.losses[rs.Service], loss{rs.ID, now})
}

// forgetLosses drops the losses that no longer count.
func (s *State) forgetLosses(now clock.BootTime) {
	for pool, l := range s.losses {
		for len(l) > 0 && now.Sub(l[0].at) >= calmAfter {
			l = l[1:]
		}
		if s.losses[pool] = l; len(l) == 0 {
			delete(s.losses, pool)
		}
	}
}

// isCalm reports whether a pool has lost few runners lately, so that a crash after
// the start of a task tells something of the task. One loss is few in any pool. A
// new leader has not seen enough to tell.
func (s *State) isCalm(pool string, now clock.BootTime) bool {
	n := 0
	for _, l := range s.losses[pool] {
		if now.Sub(l.at) < calmAfter {
			n++
		}
	}
	return n <= max(1, len(s.byPool[pool])/lossDivisor) && now.Sub(s.startedAt) >= calmAfter
}
