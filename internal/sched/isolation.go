package sched

import (
	"cmp"
	"slices"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/crash"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// isolationAllows reports whether a task may be started on a runner as far as
// suspects are concerned: an isolated runner takes the suspects of one job only,
// and they go nowhere else. It must have replied just before, because one that has
// crashed silently would be taken for a victim of the suspect. The members of a
// gang run at the same time, so that they only keep apart from the suspects of
// other jobs.
func (s *State) isolationAllows(rs *runnerState, t *task, now clock.BootTime) bool {
	if rs.isolated != nil {
		return rs.isolated == t.job && t.crashes.Suspect && rs.isQuiet() && now.Sub(rs.lastReply) <= maxSuspectReplyAge
	}
	return !t.crashes.Suspect || t.step.spec.Gang && !rs.hasSuspects(t.job)
}

// isQuiet reports whether a crash after the next start on an isolated runner
// would concern only the job that it is isolated for.
func (rs *runnerState) isQuiet() bool {
	for _, r := range rs.runs {
		if r.task.job != rs.isolated && crash.IsFresh(r.confirmedAt, rs.lastReply) {
			return false
		}
	}
	return true
}

// hasSuspects reports whether a suspect of another job has a run on the runner.
func (rs *runnerState) hasSuspects(than *jobState) bool {
	for _, r := range rs.runs {
		if r.task.crashes.Suspect && r.task.job != than {
			return true
		}
	}
	return false
}

const (
	// isolationDivisor bounds how many of a pool's usable runners are isolated at
	// the same time, so that suspects do not take a pool from other work.
	isolationDivisor = 2
	// isolationTimeout is how long a runner waits for the start of its suspects. It
	// includes the reply to a poll of an idle runner.
	isolationTimeout = 2 * time.Second
	// storeIsolationTimeout is the same while the store has yet to confirm that a start
	// is counted for the runner. Another runner would need one more write.
	storeIsolationTimeout = 5 * time.Second
	// maxSuspectReplyAge is how old the last reply of a runner may be when a suspect
	// is started there. The polls of an isolated runner do not wait, so that a longer
	// silence means that it may have crashed.
	maxSuspectReplyAge = 60 * time.Millisecond
	// maxCrashUnknown is how long after the last reply of a runner its crash is known
	// as a rule: its entry is removed after three heartbeats, and another one replies
	// in its place. A longer silence rather means that it is cut off or frozen.
	maxCrashUnknown = 3500 * time.Millisecond
	// maxBusyReplyAge is the age that the last reply of a runner with runs reaches
	// while the runner is well.
	maxBusyReplyAge = busyPollWait + 100*time.Millisecond
)

// isolation is the runners that are isolated for the suspects of a job.
type isolation struct {
	runners []*runnerState
	// wentOn is how many of them went on after the starts of suspects since one of
	// those last crashed a runner.
	wentOn int
}

// planIsolation isolates runners for the jobs with suspects that wait, and frees
// those on which the suspects have been started and did not crash it.
func (s *State) planIsolation(now clock.BootTime) {
	if len(s.suspected) == 0 {
		return
	}
	isolated := make(map[string]int)
	var waiting []*jobState
	for js := range s.suspected {
		waits, suspected := s.suspects(js, now)
		if js.isolatedOn == nil {
			js.isolatedOn = &isolation{}
		}
		s.endIsolations(js, now)
		for _, rs := range js.isolatedOn.runners {
			if !rs.unreachable { // otherwise it does no other work either
				isolated[s.service(js)]++
			}
		}
		if waits && js.open() {
			waiting = append(waiting, js)
			continue
		}
		if len(js.isolatedOn.runners) > 0 {
			continue
		}
		js.isolatedOn = nil
		if !js.open() || !suspected {
			delete(s.suspected, js)
		}
	}
	slices.SortFunc(waiting, func(a, b *jobState) int {
		return cmp.Or(compareBool(b.def.LongRunning(), a.def.LongRunning()), cmp.Compare(a.acceptedAt, b.acceptedAt), cmp.Compare(a.def.ID, b.def.ID))
	})
	for _, js := range waiting {
		pool := s.service(js)
		runners := s.usableRunners(pool, now)
		for range s.isolationsWanted(js, now) {
			if isolated[pool] >= max(1, len(runners)/isolationDivisor) {
				break
			}
			rs := s.chooseIsolated(runners, js, now)
			if rs == nil {
				break
			}
			rs.isolated, rs.isolatedAt = js, now
			js.isolatedOn.runners = append(js.isolatedOn.runners, rs)
			s.newlyIsolated = append(s.newlyIsolated, rs.ID)
			isolated[pool]++
			s.Logger.Log("msg", "runner isolated", "runner", rs.ID, "service", pool, "job", js.def.ID, "isolated", len(js.isolatedOn.runners), "went_on", js.isolatedOn.wentOn,
				"runs", len(rs.runs), "heard", now.Sub(rs.lastReply))
		}
	}
}

// endIsolations frees the isolated runners that a job no longer needs.
func (s *State) endIsolations(js *jobState, now clock.BootTime) {
	js.isolatedOn.runners = slices.DeleteFunc(js.isolatedOn.runners, func(rs *runnerState) bool {
		if rs.isolated != js {
			return true // the incarnation has ended
		}
		if !s.isolationOver(js, rs, now) {
			return false
		}
		rs.isolated = nil
		return true
	})
}

// isolationsWanted returns how many more runners may be isolated for a job. A
// long-running one may put as many at risk as went on since a suspect of it last
// crashed one, and one more. Other jobs fail at the next crash, so that each further
// runner could be lost for nothing. One that is silent after a start counts until its
// crash would be known.
func (s *State) isolationsWanted(js *jobState, now clock.BootTime) int {
	allowed := 1
	if js.def.LongRunning() {
		allowed += js.isolatedOn.wentOn
	}
	wanted := s.startableSuspectCount(js, now)
	for _, rs := range js.isolatedOn.runners {
		started := rs.hasStarted()
		if !started {
			wanted--
		}
		if !started || now.Sub(rs.lastReply) < maxCrashUnknown {
			allowed--
		}
	}
	return max(0, min(allowed, wanted))
}

// hasStarted reports whether an isolated runner has a run of a suspect.
func (rs *runnerState) hasStarted() bool {
	for _, r := range rs.runs {
		if r.task.job == rs.isolated && r.task.crashes.Suspect {
			return true
		}
	}
	return false
}

// isolationOver reports whether a runner is no longer needed for the suspects of
// a job: it went on after their starts, or they cannot be started there.
func (s *State) isolationOver(js *jobState, rs *runnerState, now clock.BootTime) bool {
	started, fresh, timeout := false, false, isolationTimeout
	if s.awaitsStore(js, rs) {
		timeout = storeIsolationTimeout
	}
	for _, r := range rs.runs {
		if r.task.job == js && r.task.crashes.Suspect {
			started = true
			fresh = fresh || crash.IsFresh(r.confirmedAt, rs.lastReply)
		}
	}
	switch {
	case !js.open() || rs.ended:
	case started && fresh, rs.unreachable && started:
		return false
	case !started && now.Sub(rs.isolatedAt) < timeout && s.suspectFits(js, rs, now):
		return false
	}
	if started && !fresh {
		js.isolatedOn.wentOn++
		for _, r := range runsOf(rs) {
			if t := r.task; t.job == js && t.crashes.Suspect && !r.unsettled {
				s.wentOn(r)
			}
		}
	}
	s.Logger.Log("msg", "runner isolation ended", "runner", rs.ID, "job", js.def.ID, "open", js.open(), "started", started, "took", now.Sub(rs.isolatedAt))
	return true
}

// awaitsStore reports whether a start of a job's suspect is counted for a runner, and the
// store has yet to confirm that.
func (s *State) awaitsStore(js *jobState, rs *runnerState) bool {
	for _, o := range js.occs {
		for _, st := range o.steps {
			if slices.ContainsFunc(st.tasks, func(t *task) bool {
				return t.reserved != 0 && js.storedVersion < t.reservedVersion && t.isCounted(t.reserved, rs)
			}) {
				return true
			}
		}
	}
	return false
}

// Isolated reports whether a runner is isolated.
func (s *State) Isolated(id runner.ID) bool {
	rs := s.runners[id]
	return rs != nil && rs.isolated != nil
}

// NewlyIsolated returns the runners that were isolated since the last call. Their
// next poll is due at once, because the suspects wait for its reply.
func (s *State) NewlyIsolated() []runner.ID {
	ids := s.newlyIsolated
	s.newlyIsolated = nil
	return ids
}

// chooseIsolated returns the runner on which a crash would end the fewest runs,
// among those that replied lately if there are any, or nil. A runner that has
// crashed silently has few runs.
func (s *State) chooseIsolated(runners []*runnerState, js *jobState, now clock.BootTime) *runnerState {
	for _, t := range s.startableSuspects(js, now) {
		if js.storedVersion < t.reservedVersion {
			continue // nor would the runner do any work while the store is down
		}
		var best *runnerState
		for _, rs := range runners {
			if rs.isolated != nil || len(rs.keptFor) > 0 || !s.eligible(rs, t, now) {
				continue
			}
			if best == nil || cmp.Or(cmp.Compare(rs.longRunning, best.longRunning), compareBool(best.heardLately(now), rs.heardLately(now)), cmp.Compare(len(rs.runs), len(best.runs))) < 0 {
				best = rs
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// heardLately reports whether a runner has replied as recently as one with runs does.
func (rs *runnerState) heardLately(now clock.BootTime) bool {
	return now.Sub(rs.lastReply) <= maxBusyReplyAge
}

// startableSuspects returns the first suspect of each step that could be started on
// an isolated runner. The other suspects of the step have the same demand.
func (s *State) startableSuspects(js *jobState, now clock.BootTime) []*task {
	var ts []*task
	for _, o := range js.occs {
		for _, st := range o.steps {
			if st.spec.Gang || st.idle == 0 || !o.ready(st) || capped(st) {
				continue
			}
			if i := slices.IndexFunc(st.tasks, func(t *task) bool { return t.crashes.Suspect && s.startable(t, now) }); i >= 0 {
				ts = append(ts, st.tasks[i])
			}
		}
	}
	return ts
}

// startableSuspectCount returns how many suspects of a job could be started on
// isolated runners.
func (s *State) startableSuspectCount(js *jobState, now clock.BootTime) int {
	n := 0
	for _, x := range s.startableSuspects(js, now) {
		for _, t := range x.step.tasks {
			if t.crashes.Suspect && s.startable(t, now) {
				n++
			}
		}
	}
	return n
}

// suspectFits reports whether a suspect of a job could be started on a runner that
// is isolated for it.
func (s *State) suspectFits(js *jobState, rs *runnerState, now clock.BootTime) bool {
	return slices.ContainsFunc(s.startableSuspects(js, now), func(t *task) bool { return s.eligible(rs, t, now) })
}
