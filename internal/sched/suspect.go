package sched

import (
	"cmp"
	"slices"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/crash"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// abandonedRun is a run that was given up when the lease of its runner expired.
// The runner may have crashed.
type abandonedRun struct {
	task        *task
	confirmedAt clock.BootTime
}

// chargeCrash decides to which tasks the crash of a runner is charged: its
// incarnation ended, and neither a command nor a drain ended it.
func (s *State) chargeCrash(rs *runnerState, why evidence, now clock.BootTime) {
	if rs.Draining || rs.cordoned || why != restarted && why != replaced {
		return
	}
	var tasks []*task
	var runs []crash.Run
	add := func(t *task, confirmedAt clock.BootTime) {
		if t.done || !t.job.open() {
			return
		}
		tasks = append(tasks, t)
		runs = append(runs, crash.Run{Record: t.crashes, Job: t.name.Job, ConfirmedAt: confirmedAt})
	}
	for _, r := range runsOf(rs) {
		if r.mayHaveBegun() {
			add(r.task, r.confirmedAt)
		}
	}
	for _, r := range rs.abandoned {
		add(r.task, r.confirmedAt)
	}
	if len(runs) == 0 {
		return
	}
	var given []*task
	unconfirmed := 0
	suspects := make(map[job.ID]bool)
	for i, v := range crash.Charge(runs, rs.lastReply) {
		t := tasks[i]
		if !v.Charged {
			continue
		}
		s.setCrashes(t, v.Record)
		if runs[i].ConfirmedAt == 0 {
			unconfirmed++
		}
		if v.Suspect {
			suspects[t.name.Job] = true
		}
		if v.GiveUp {
			given = append(given, t)
		}
	}
	s.Logger.Log("msg", "runner crashed", "runner", rs.ID, "service", rs.Service, "why", why, "heard", now.Sub(rs.lastReply),
		"runs", len(runs), "unconfirmed", unconfirmed, "suspects", len(suspects), "first", firstJob(suspects), "given_up", len(given))
	for _, t := range given {
		s.giveUp(t, rs, now)
	}
}

// mayHaveBegun reports whether this incarnation of the runner may have received a
// start of a run. One that was sent to the previous incarnation is disregarded
// until the runner reports the run.
func (r *run) mayHaveBegun() bool {
	return r.confirmedAt != 0 || !r.unsettled && (r.startUnknown || r.startSent)
}

// firstJob returns the least ID, which stands for all in a log line.
func firstJob(jobs map[job.ID]bool) job.ID {
	var first job.ID
	for id := range jobs {
		if first == "" || id < first {
			first = id
		}
	}
	return first
}

// suspectAbandoned suspects the tasks that had just been started on a runner which
// is removed, so that a crash of it will not be known. It is not a crash that
// counts, because the runner may only be cut off.
func (s *State) suspectAbandoned(rs *runnerState) {
	if rs.ended || rs.Draining || rs.cordoned {
		return
	}
	n := 0
	for _, a := range rs.abandoned {
		t, c := a.task, a.task.crashes
		if t.done || !t.job.open() || c.Suspect || !crash.IsFresh(a.confirmedAt, rs.lastReply) {
			continue
		}
		c.Suspect = true
		s.setCrashes(t, c)
		n++
	}
	if n > 0 {
		s.Logger.Log("msg", "tasks suspected, their runner is removed", "runner", rs.ID, "service", rs.Service, "tasks", n)
	}
}

// giveUp ends the job of a task that crashes its runners, the last one on the given
// runner, and reports whether the task must not be started again. While other tasks
// of a long-running job are at work, ending it would stop these, so only the task
// is given up, and later.
func (s *State) giveUp(t *task, on *runnerState, now clock.BootTime) bool {
	js := t.job
	if !js.open() {
		return true
	}
	if js.worksElsewhere(on) {
		if t.isGivenUp() {
			s.Logger.Log("msg", "task given up, others of its job are at work", "task", t.name, "crashes", t.crashes.Crashes, "unresolved", t.crashes.Unresolved)
		}
		return t.isGivenUp()
	}
	s.Logger.Log("msg", "task given up", "task", t.name, "crashes", t.crashes.Crashes, "unresolved", t.crashes.Unresolved)
	s.close(js, job.Failed, "task "+t.name.String()+" crashed its runners", now)
	return true
}

// isGivenUp reports whether a long-running task is not started again, though its
// job goes on.
func (t *task) isGivenUp() bool {
	return t.step.spec.LongRunning && t.reserved == 0 && t.crashes.Possible() >= crash.MaxSharedCrashes
}

// worksElsewhere reports whether a long-running task of a job is at work on another
// runner than the given one.
func (js *jobState) worksElsewhere(than *runnerState) bool {
	for _, o := range js.occs {
		for _, st := range o.steps {
			if !st.spec.LongRunning {
				continue
			}
			for _, t := range st.tasks {
				if slices.ContainsFunc(t.runs, func(r *run) bool { return r.phase == running && r.runner != than }) {
					return true
				}
			}
		}
	}
	return false
}

// setCrashes replaces the record of a task, to be stored.
func (s *State) setCrashes(t *task, r crash.Record) {
	t.crashes = r
	s.markChanged(t.job)
	if r.Suspect {
		t.reservedVersion = t.job.version
		s.suspected[t.job] = true
	}
}

// clearCrashes clears the record of a task after a run that shows that the task
// does not crash its runners.
func (s *State) clearCrashes(t *task) {
	if t.crashes != (crash.Record{}) {
		s.setCrashes(t, crash.Record{})
	}
}

// runResolved is startResolved for the start of a run. What the next incarnation
// does with a start that was sent to the previous one does not tell whether that one
// crashed after it.
func (s *State) runResolved(r *run) {
	if !r.unsettled {
		s.startResolved(r.task)
	}
}

// startResolved records that the last counted start of a suspect did not crash its
// runner: the runner went on after it, or rejected it, or the run ended. This
// alone does not clear the task.
func (s *State) startResolved(t *task) {
	if t.crashes.Unresolved > 0 {
		r := t.crashes
		r.Unresolved--
		s.setCrashes(t, r)
	}
}

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
	// maxSuspectReplyAge is how old the last reply of a runner may be when a suspect
	// is started there. The polls of an isolated runner do not wait, so that a longer
	// silence means that it may have crashed.
	maxSuspectReplyAge = 60 * time.Millisecond
	// maxBusyReplyAge is the age that the last reply of a runner with runs reaches
	// while the runner is well.
	maxBusyReplyAge = busyPollWait + 100*time.Millisecond
)

// planIsolation isolates runners for the jobs with suspects that wait, and frees
// those on which the suspects have been started and did not crash it.
func (s *State) planIsolation(now clock.BootTime) {
	if len(s.suspected) == 0 {
		return
	}
	isolated := make(map[string]int)
	var waiting []*jobState
	for js := range s.suspected {
		waits, suspected := js.suspects()
		if js.isolatedOn != nil && s.isolationOver(js, waits, now) {
			js.isolatedOn.isolated, js.isolatedOn = nil, nil
		}
		switch {
		case js.isolatedOn != nil:
			if !js.isolatedOn.unreachable { // otherwise it does no other work either
				isolated[s.service(js)]++
			}
		case !js.open() || !suspected:
			delete(s.suspected, js)
		case waits:
			waiting = append(waiting, js)
		}
	}
	slices.SortFunc(waiting, func(a, b *jobState) int {
		return cmp.Or(cmp.Compare(a.acceptedAt, b.acceptedAt), cmp.Compare(a.def.ID, b.def.ID))
	})
	for _, js := range waiting {
		pool := s.service(js)
		runners := s.usableRunners(pool, now)
		if isolated[pool] >= max(1, len(runners)/isolationDivisor) {
			continue
		}
		if rs := s.chooseIsolated(runners, js, now); rs != nil {
			rs.isolated, rs.isolatedAt, js.isolatedOn = js, now, rs
			s.newlyIsolated = append(s.newlyIsolated, rs.ID)
			isolated[pool]++
			s.Logger.Log("msg", "runner isolated", "runner", rs.ID, "service", pool, "job", js.def.ID, "runs", len(rs.runs), "heard", now.Sub(rs.lastReply))
		}
	}
}

// isolationOver reports whether a runner is no longer needed for the suspects of
// a job: its incarnation has ended, it went on after their starts, or they cannot
// be started there.
func (s *State) isolationOver(js *jobState, waits bool, now clock.BootTime) bool {
	rs := js.isolatedOn
	if rs.isolated != js {
		js.isolatedOn = &runnerState{} // of an incarnation that has ended
		return true
	}
	started, fresh := false, false
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
	case !started && waits && s.usable(rs, now) && now.Sub(rs.isolatedAt) < isolationTimeout:
		return false
	}
	if started && !fresh {
		for _, r := range runsOf(rs) {
			if t := r.task; t.job == js && t.crashes.Suspect && !r.unsettled {
				s.setCrashes(t, t.crashes.WentOn())
			}
		}
	}
	s.Logger.Log("msg", "runner isolation ended", "runner", rs.ID, "job", js.def.ID, "open", js.open(), "started", started, "took", now.Sub(rs.isolatedAt))
	return true
}

// suspects reports whether a job has suspects that wait for an isolated runner,
// and whether it has any.
func (js *jobState) suspects() (waits, suspected bool) {
	for _, o := range js.occs {
		for _, st := range o.steps {
			for _, t := range st.tasks {
				if t.crashes.Suspect && !t.done {
					suspected = true
					waits = waits || !st.spec.Gang && !t.live() && !t.isGivenUp()
				}
			}
		}
	}
	return waits, suspected
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
			if rs.isolated != nil || !s.eligible(rs, t, now) {
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
			if st.spec.Gang || st.idle == 0 || !o.ready(st) {
				continue
			}
			if i := slices.IndexFunc(st.tasks, func(t *task) bool { return t.crashes.Suspect && s.startable(t, now) }); i >= 0 {
				ts = append(ts, st.tasks[i])
			}
		}
	}
	return ts
}

// inheritCrashes records whether a previous term stored a suspect of a job.
func (s *State) inheritCrashes(js *jobState) {
	for _, p := range js.storedTasks {
		if p.Suspect && !p.Done {
			s.suspected[js] = true
			return
		}
	}
}
