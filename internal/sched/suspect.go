package sched

import (
	"slices"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/crash"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// abandonedRun is a run that was given up when the lease of its runner expired.
// The runner may have crashed.
type abandonedRun struct {
	task        *task
	attempt     int
	confirmedAt clock.BootTime
}

// chargeCrash decides to which tasks the crash of a runner is charged: its
// incarnation ended, and neither a command nor a drain ended it.
func (s *State) chargeCrash(rs *runnerState, why evidence, now clock.BootTime) {
	if rs.Draining || rs.cordoned || why != restarted && why != replaced && why != unlisted {
		return
	}
	s.recordLoss(rs, now)
	var tasks []*task
	var attempts []int
	var runs []crash.Run
	add := func(t *task, attempt int, confirmedAt clock.BootTime) {
		if t.done || !t.job.open() {
			return
		}
		tasks, attempts = append(tasks, t), append(attempts, attempt)
		runs = append(runs, crash.Run{Record: t.crashes, Job: t.name.Job, ConfirmedAt: confirmedAt, Counted: t.isCounted(attempt, rs)})
	}
	for _, r := range runsOf(rs) {
		if r.mayHaveBegun() {
			add(r.task, r.attempt, r.confirmedAt)
		}
	}
	for _, r := range rs.abandoned {
		add(r.task, r.attempt, r.confirmedAt)
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
		t.forgetStart(attempts[i])
		s.setCrashes(t, v.Record)
		if is := t.job.isolatedOn; is != nil && runs[i].Suspect {
			is.wentOn = 0
		}
		if runs[i].ConfirmedAt == 0 {
			unconfirmed++
		}
		if v.Suspect {
			suspects[t.name.Job] = true
		}
		switch {
		case !v.GiveUp:
		case v.Uncertain && runs[i].ConfirmedAt == 0 && t.lostStarts.postpone(t, rs.lastReply):
		case !v.Uncertain || !s.mayResolve(t):
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
// runner, and reports whether the task must not be started again. A long-running
// job goes on while it has a task that works well, which its end would stop, while
// the pool loses runners for another cause, and while fewer than crash.MaxCrashes
// crashes under the task are certain. Then only the task is given up, and later.
func (s *State) giveUp(t *task, on *runnerState, now clock.BootTime) bool {
	js := t.job
	if !js.open() {
		return true
	}
	if t.step.spec.LongRunning && (js.hasWorkingTask(on) || !t.isGivenUp() && (t.crashes.Crashes < crash.MaxCrashes || !s.wasStable(s.service(js), on.lastReply, now))) {
		if t.isGivenUp() {
			s.Logger.Log("msg", "task given up, its job goes on", "task", t.name, "crashes", t.crashes.Crashes, "unresolved", t.crashes.Unresolved, "counted", len(t.counted))
		}
		return t.isGivenUp()
	}
	s.Logger.Log("msg", "task given up", "task", t.name, "crashes", t.crashes.Crashes, "unresolved", t.crashes.Unresolved, "counted", len(t.counted))
	s.close(js, job.Failed, "task "+t.name.String()+" crashed its runners", now)
	return true
}

// isGivenUp reports whether a long-running task is not started again, though its
// job goes on.
func (t *task) isGivenUp() bool {
	return t.step.spec.LongRunning && t.reserved == 0 && t.crashes.RestartsExhausted()
}

// awaitsStablePool reports whether a suspect is not started yet, because its pool loses
// runners that it may not have crashed, and its next start may be its last.
func (s *State) awaitsStablePool(t *task, now clock.BootTime) bool {
	c := t.crashes
	if t.reserved != 0 {
		c.Unresolved-- // the count of the start that would wait
	}
	if !t.step.spec.LongRunning && c.Unresolved == 0 {
		return false // it is given up for crashes that are certain
	}
	return c.NeedsStablePool() && !s.isStable(s.service(t.job), now)
}

// hasWorkingTask reports whether a long-running task of a job is at work on another
// runner than the given one, or has been in this term and may be started again.
func (js *jobState) hasWorkingTask(than *runnerState) bool {
	for _, o := range js.occs {
		for _, st := range o.steps {
			if !st.spec.LongRunning {
				continue
			}
			for _, t := range st.tasks {
				if t.proven && !t.isGivenUp() || slices.ContainsFunc(t.runs, func(r *run) bool { return r.phase == running && r.runner != than }) {
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
		t.counted = nil
		s.setCrashes(t, crash.Record{})
	}
}

// runResolved is startResolved for the start of a run. What the next incarnation
// does with a start that was sent to the previous one does not tell whether that one
// crashed after it.
func (s *State) runResolved(r *run) {
	if !r.unsettled {
		s.startResolved(r.task, r.attempt, r.runner)
	}
}

// suspects reports whether a job has suspects that wait for an isolated runner,
// and whether it has any.
func (s *State) suspects(js *jobState, now clock.BootTime) (waits, suspected bool) {
	for _, o := range js.occs {
		for _, st := range o.steps {
			for _, t := range st.tasks {
				if t.crashes.Suspect && !t.done {
					suspected = true
					waits = waits || !capped(st) && !st.spec.Gang && !t.live() && !t.isGivenUp() && !s.awaitsStablePool(t, now) && !s.awaitsSilentRunner(t)
				}
			}
		}
	}
	return waits, suspected
}

// inheritCrashes records whether a previous term stored a suspect of a job, and the
// runners that it counted starts for.
func (s *State) inheritCrashes(js *jobState) {
	for name, p := range js.storedTasks {
		if p.Done {
			continue
		}
		if p.Suspect {
			s.suspected[js] = true
		}
		for _, c := range p.Counted {
			id := runner.ID(c.Runner)
			s.countedOn[id] = append(s.countedOn[id], name)
		}
	}
}
