package sched

import (
	"cmp"
	"slices"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

const (
	// waitLogInterval is the time between two reports of waiting tasks.
	waitLogInterval = 2 * time.Second
	// waitLogAfter is how long a long-running task has no run before it is
	// reported: longer than a restart takes.
	waitLogAfter = 3 * time.Second
	// maxWaitLines bounds the lines of one report.
	maxWaitLines = 16
)

// waitGroup is the waiting tasks of a step that wait for the same reason.
type waitGroup struct {
	first *task
	since clock.BootTime // the longest wait
	tasks int
	why   string
}

// logWaiting logs the long-running tasks that have had no run for a while, and
// what keeps each from being started.
func (s *State) logWaiting(now clock.BootTime) {
	if now.Sub(s.waitLoggedAt) < waitLogInterval {
		return
	}
	s.waitLoggedAt, s.waiting = now, 0
	var groups []*waitGroup
	for _, jobs := range s.open {
		for _, js := range jobs {
			if !js.def.LongRunning() {
				continue
			}
			for _, o := range js.occs {
				for _, st := range o.steps {
					if st.spec.LongRunning && st.idle > 0 && o.ready(st) {
						groups = append(groups, s.waitGroups(st, now)...)
					}
				}
			}
		}
	}
	slices.SortFunc(groups, func(a, b *waitGroup) int {
		return cmp.Or(cmp.Compare(a.since, b.since), compareTasks(a.first.name, b.first.name))
	})
	for i, g := range groups {
		s.waiting += g.tasks
		if i < maxWaitLines {
			s.logWait(g, now)
		}
	}
	if len(groups) > maxWaitLines {
		s.Logger.Log("msg", "more long-running tasks wait", "groups", len(groups)-maxWaitLines, "tasks", s.waiting)
	}
}

// waitGroups returns the tasks of a step that have had no run for a while, by
// reason.
func (s *State) waitGroups(st *step, now clock.BootTime) []*waitGroup {
	var groups []*waitGroup
	for _, t := range st.tasks {
		since := max(t.endedAt, t.job.acceptedAt, s.startedAt)
		if t.done || t.live() || now.Sub(since) < waitLogAfter {
			continue
		}
		why := s.waitReason(t, now)
		i := slices.IndexFunc(groups, func(g *waitGroup) bool { return g.why == why })
		if i < 0 {
			groups = append(groups, &waitGroup{first: t, since: since, tasks: 1, why: why})
			continue
		}
		g := groups[i]
		g.since, g.tasks = min(g.since, since), g.tasks+1
	}
	return groups
}

// waitReason returns what keeps a task without a run from being started.
func (s *State) waitReason(t *task, now clock.BootTime) string {
	switch {
	case t.isGivenUp():
		return "given up"
	case t.notBefore.After(now):
		return "retry not due"
	case !s.runsKnown(t):
		return "may run on a runner of the previous term"
	case s.awaitsStablePool(t, now):
		return "runners of the pool are being lost"
	case capped(t.step):
		return "workspace at its cap"
	case t.reserved != 0 && t.job.storedVersion < t.reservedVersion:
		return "record not stored"
	case t.crashes.Suspect && (t.job.isolatedOn == nil || len(t.job.isolatedOn.runners) == 0):
		return "suspect, no runner isolated"
	case t.crashes.Suspect:
		return "suspect, runner isolated"
	}
	return "no runner"
}

// logWait logs one group of waiting tasks with its inputs. The numbers of runners
// are those of the pool, and those that each obstacle rules out for the first task.
func (s *State) logWait(g *waitGroup, now clock.BootTime) {
	t := g.first
	svc := s.service(t.job)
	var count [obstacles]int
	var why [usabilities]int // of the unusable ones
	for _, rs := range s.byPool[svc] {
		o := s.obstacleTo(rs, t, now)
		if o == unusable {
			why[s.usability(rs, now)]++
		}
		if o == noObstacle && !s.isolationAllows(rs, t, now) {
			o = isolated
		}
		count[o]++
	}
	kv := []any{
		"msg", "long-running tasks wait", "task", t.name, "tasks", g.tasks, "for", now.Sub(g.since), "why", g.why, "service", svc,
		"crashes", t.crashes.Crashes, "unresolved", t.crashes.Unresolved, "suspect", t.crashes.Suspect, "previous", len(s.inherited), "lost", len(s.losses[svc]),
		"runners", len(s.byPool[svc]), "allowed", count[noObstacle],
	}
	for o := noRoom; o < obstacles; o++ {
		if count[o] > 0 {
			kv = append(kv, o.String(), count[o])
		}
	}
	for u := hasEnded; u < usabilities; u++ {
		if why[u] > 0 {
			kv = append(kv, u.String(), why[u])
		}
	}
	if id, in := s.lastPrevious(t); in != nil {
		kv = append(kv, "for_runner", id, "left", in.until.Sub(now), "closed", in.closed)
	}
	s.Logger.Log(kv...)
}

// lastPrevious returns the runner of a previous term that a task waits for the
// longest, or nil.
func (s *State) lastPrevious(t *task) (runner.ID, *inherited) {
	var last runner.ID
	var until *inherited
	if s.runsKnown(t) {
		return last, until
	}
	for id, in := range s.inherited {
		if in.closed && !slices.Contains(in.tasks, t.name) {
			continue
		}
		if until == nil || cmp.Or(cmp.Compare(until.until, in.until), cmp.Compare(id, last)) < 0 {
			last, until = id, in
		}
	}
	return last, until
}
