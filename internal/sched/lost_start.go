package sched

import "gypsumtrestle.example/gypsumtrestle/internal/clock"

// maxExcused bounds how many lost starts of a task are excused, so that a task which
// crashes its runners is not started without end where bursts of crashes are frequent.
const maxExcused = 3

// lostStarts are the starts of a suspect that were lost with their runner before it
// confirmed them, and after which too many of its starts may have crashed a runner
// unseen. Whether the runner was one of many that were lost is known only later, so that
// the decision on the task waits for the next start, for which the pool must be stable.
type lostStarts struct {
	at      clock.BootTime // when the runner of the last one had last replied; zero: none is undecided
	excused int
}

// postpone postpones the decision on a task that is not long-running, and reports whether
// it does.
func (l *lostStarts) postpone(t *task, lastReply clock.BootTime) bool {
	if t.step.spec.LongRunning || l.excused >= maxExcused {
		return false
	}
	l.at = lastReply
	return true
}

// excuseLostStart decides on the last lost start of a task: it does not count if the pool
// lost many runners since.
func (s *State) excuseLostStart(t *task, now clock.BootTime) {
	l := &t.lostStarts
	if l.at == 0 {
		return
	}
	if c := t.crashes; c.Unresolved > 0 && !s.wasStable(s.service(t.job), l.at, now) {
		c.Unresolved--
		l.excused++
		s.setCrashes(t, c)
		s.Logger.Log("msg", "lost start excused: the pool lost many runners", "task", t.name, "crashes", c.Crashes, "unresolved", c.Unresolved, "excused", l.excused)
	}
	l.at = 0
}
