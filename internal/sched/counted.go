package sched

import (
	"slices"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/crash"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// countedStart is a start of a suspect that is in the Unresolved of its record since
// before it was sent. Only the runner that it was counted for can have crashed under
// it: once that incarnation has gone on for a later term, whose commands alone it
// accepts, the start is resolved, whether or not it was sent.
type countedStart struct {
	attempt     int
	on          runner.ID
	incarnation runner.Incarnation
}

// isFor reports whether a start was counted for the present incarnation of a runner.
func (c countedStart) isFor(rs *runnerState) bool {
	return c.on == rs.ID && c.incarnation == rs.Incarnation
}

// countStart counts the next start of a suspect, on a runner. A start that is
// reserved for another runner or attempt has not been sent, and this one replaces it.
func (t *task) countStart(attempt int, rs *runnerState) {
	c := countedStart{attempt: attempt, on: rs.ID, incarnation: rs.Incarnation}
	if i := t.countedAs(t.reserved); t.reserved != 0 && i >= 0 {
		t.counted[i] = c
		return
	}
	t.crashes.Unresolved++
	t.counted = append(t.counted, c)
}

// countedAs returns the index of a counted start, or -1.
func (t *task) countedAs(attempt int) int {
	return slices.IndexFunc(t.counted, func(c countedStart) bool { return c.attempt == attempt })
}

// isCounted reports whether an attempt is counted as a start on the present incarnation
// of a runner.
func (t *task) isCounted(attempt int, rs *runnerState) bool {
	i := t.countedAs(attempt)
	return i >= 0 && t.counted[i].isFor(rs)
}

// forgetStart removes a counted start whose runner can no longer tell anything of it, or
// has told it. What it adds to the record stays.
func (t *task) forgetStart(attempt int) {
	if i := t.countedAs(attempt); i >= 0 {
		t.counted = slices.Delete(t.counted, i, i+1)
	}
}

// startResolved records that a counted start did not crash its runner: the runner went
// on after it, or rejected it, or the run ended. This alone does not clear the task.
func (s *State) startResolved(t *task, attempt int, rs *runnerState) {
	if t.isCounted(attempt, rs) {
		t.forgetStart(attempt)
		r := t.crashes
		r.Unresolved--
		s.setCrashes(t, r)
	}
}

// wentOn records that the runner of a suspect has gone on after a start apart from other
// jobs.
func (s *State) wentOn(r *run) {
	t := r.task
	c := t.crashes
	if t.isCounted(r.attempt, r.runner) {
		t.forgetStart(r.attempt)
		c = c.WentOn()
	} else {
		c.Immediate = 0
	}
	s.setCrashes(t, c)
}

// settleCounted resolves the starts that previous terms counted for an incarnation of a
// runner which replies in this one, unless it reports their runs: a run may have begun
// just before, and crash the runner yet.
func (s *State) settleCounted(rs *runnerState, reported []runner.Run) {
	names := s.countedOn[rs.ID]
	if len(names) == 0 || !rs.isConfirmed() {
		return
	}
	delete(s.countedOn, rs.ID)
	for _, name := range names {
		js := s.jobs[name.Job]
		if js == nil || !js.open() {
			continue
		}
		t := js.task(name)
		if t == nil {
			continue
		}
		for _, c := range slices.Clone(t.counted) {
			if c.on != rs.ID || c.incarnation != rs.Incarnation {
				continue
			}
			if slices.ContainsFunc(reported, func(r runner.Run) bool { return r.Task == name && r.Attempt == c.attempt }) {
				s.countedOn[rs.ID] = append(s.countedOn[rs.ID], name)
			} else {
				s.startResolved(t, c.attempt, rs)
				s.Logger.Log("msg", "counted start resolved: its runner went on", "task", t.name, "attempt", c.attempt, "runner", rs.ID,
					"crashes", t.crashes.Crashes, "unresolved", t.crashes.Unresolved)
			}
		}
	}
}

// mayResolve reports whether a start that a previous term counted may still be resolved:
// its runner has not replied in this term, and is registered.
func (s *State) mayResolve(t *task) bool {
	return slices.ContainsFunc(t.counted, func(c countedStart) bool {
		rs := s.runners[c.on]
		return rs != nil && rs.registered && !rs.replied && rs.Incarnation == c.incarnation && rs.announced == nil
	})
}

// awaitsSilentRunner reports whether a suspect that may not be started again could be,
// once a runner that is silent has replied. No runner is isolated for it until then.
func (s *State) awaitsSilentRunner(t *task) bool {
	return t.crashes.Suspect && !t.step.spec.LongRunning && t.reserved == 0 && t.crashes.Exhausted() && s.mayResolve(t)
}

// inheritCounted loads the starts that previous terms counted for a task.
func (t *task) inheritCounted(p *job.TaskProgress) {
	for _, c := range p.Counted {
		t.counted = append(t.counted, countedStart{attempt: c.Attempt, on: runner.ID(c.Runner), incarnation: runner.Incarnation(c.Incarnation)})
	}
}

// storedCounted returns the counted starts in their stored form.
func (t *task) storedCounted() []job.CountedStart {
	var cs []job.CountedStart
	for _, c := range t.counted {
		cs = append(cs, job.CountedStart{Attempt: c.attempt, Runner: string(c.on), Incarnation: int64(c.incarnation)})
	}
	return cs
}

// endCounted settles the counted starts of the runs on a runner whose incarnation has
// ended. Those after which it went on are resolved; of the others nothing more can be
// known.
func (s *State) endCounted(r *run) {
	if r.unsettled {
		return
	}
	if !r.mayHaveBegun() || !crash.IsFresh(r.confirmedAt, r.runner.lastReply) {
		s.startResolved(r.task, r.attempt, r.runner)
	}
	r.task.forgetStart(r.attempt)
}

// countedRunner returns the runner that the next start of a task is counted for, or nil.
func (s *State) countedRunner(t *task) *runnerState {
	i := t.countedAs(t.reserved)
	if t.reserved == 0 || i < 0 {
		return nil
	}
	if rs := s.runners[t.counted[i].on]; rs != nil && t.counted[i].isFor(rs) {
		return rs
	}
	return nil
}

// isolatedFor returns the isolated runner that the next start of a task is counted for,
// if it can still be sent there, or nil.
func (s *State) isolatedFor(t *task, now clock.BootTime) *runnerState {
	rs := s.countedRunner(t)
	if rs == nil || rs.isolated != t.job || !s.eligible(rs, t, now) {
		return nil
	}
	return rs
}
