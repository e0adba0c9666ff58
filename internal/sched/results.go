package sched

import (
	"fmt"
	"slices"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// applyResults records the runs that have ended on a runner.
func (s *State) applyResults(rs *runnerState, results []runner.RunResult, now clock.BootTime) {
	var group ended
	for i := range results {
		res := &results[i]
		if res.Seq <= rs.applied {
			continue
		}
		if !group.extend(res) {
			s.logEnded(&group, rs)
			group = ended{first: res}
		}
		rs.applied = res.Seq
		js := s.applyResult(rs, res, now)
		a := pendingAck{seq: res.Seq, task: res.Task, job: js}
		if js != nil {
			a.version = js.version
		}
		rs.unacked = append(rs.unacked, a)
	}
	s.logEnded(&group, rs)
}

// ended is a group of results of one step with the same attempt and cause, which
// a runner reported together.
type ended struct {
	first *runner.RunResult
	also  []int // indexes of the other tasks
}

// extend adds a result to the group if it is alike, and reports whether it is.
func (g *ended) extend(res *runner.RunResult) bool {
	if g.first == nil || g.first.Cause != res.Cause || g.first.Attempt != res.Attempt {
		return false
	}
	a, b := g.first.Task, res.Task
	if a.Job != b.Job || a.Occ != b.Occ || a.Step != b.Step {
		return false
	}
	g.also = append(g.also, b.Index)
	return true
}

func (s *State) logEnded(g *ended, rs *runnerState) {
	if g.first == nil {
		return
	}
	kv := []any{"msg", "run ended", "task", g.first.Task, "attempt", g.first.Attempt, "runner", rs.ID, "cause", g.first.Cause, "n", g.first.Seq}
	if len(g.also) > 0 {
		kv = append(kv, "also", fmt.Sprint(g.also))
	}
	s.Logger.Log(kv...)
}

// applyResult records one result and returns the job whose progress it changed,
// or nil.
func (s *State) applyResult(rs *runnerState, res *runner.RunResult, now clock.BootTime) *jobState {
	js := s.jobs[res.Task.Job]
	if js == nil {
		return nil
	}
	t := js.task(res.Task)
	if t == nil {
		if attempt, ok := js.retried[res.Task]; ok && res.Cause == runner.Done && !js.def.Steps[res.Task.Step].Speculative {
			s.withhold(rs, res, attempt)
		}
		return nil
	}
	r := rs.runs[res.Task]
	if r != nil {
		s.learnRunTime(r, res, now)
		s.recordPast(r, now)
	}
	if r != nil && r.attempt <= res.Attempt {
		rs.remove(r)
	}
	t.endedAt = now
	js.begun = true
	if res.Checkpoint != "" {
		t.checkpoint = res.Checkpoint
	}
	if res.Cause == runner.Done {
		if !t.step.spec.Speculative && !t.step.spec.LongRunning {
			t.dropReservation(res.Attempt)
			s.withhold(rs, res, t.attempt)
		}
		t.sawAttempt(res.Attempt)
	}
	if !js.open() {
		return js
	}
	if (res.Cause == runner.Done || res.Cause == runner.Failed) && res.Attempt >= t.attempt {
		s.clearCrashes(t) // an earlier run, whose result is reported again, tells nothing of later ones
	} else if r == nil || !r.unsettled {
		s.startResolved(t, res.Attempt, rs)
	}
	switch res.Cause {
	case runner.Done:
		rs.health.recordSuccess()
		s.recordDone(t, now)
	case runner.Failed:
		t.sawAttempt(res.Attempt)
		if rs.health.recordFailure(js.def.ID, now) {
			s.Logger.Log("msg", "runner quarantined", "runner", rs.ID, "jobs", len(rs.health.failing), "pause", rs.health.quarantine)
		}
		s.recordFailure(t, rs.ID, res.Attempt, now)
	case runner.Stopped, runner.LeaseExpired, runner.GangBroken, runner.GangIncomplete:
		t.sawAttempt(res.Attempt)
		s.markChanged(js)
	}
	return js
}

// withhold prevents the acknowledgment of a result as done if the task was
// started again since, with the attempt started, because the lease of the run had
// expired as far as this leader could tell. If the result were acknowledged, the
// later run would break the rule that a task that is done does not run again;
// unacknowledged, the result never counts. The runner is given no batch tasks again in
// this incarnation, because none of its later results can be acknowledged.
func (s *State) withhold(rs *runnerState, res *runner.RunResult, started int) {
	if rs.withheld != 0 || started <= res.Attempt {
		return
	}
	rs.withheld = res.Seq
	s.Logger.Log("msg", "result withheld, task was started again", "runner", rs.ID, "task", res.Task, "attempt", res.Attempt, "started", started, "n", res.Seq)
}

// recordDone records that a task is done.
func (s *State) recordDone(t *task, now clock.BootTime) {
	js := t.job
	s.markChanged(js)
	if t.step.spec.LongRunning {
		return // it is run again until its job is cancelled
	}
	ts := []*task{t}
	if t.step.spec.Gang {
		ts = t.step.tasks
	}
	fresh := false
	for _, x := range ts {
		if x.done {
			continue
		}
		x.done, fresh = true, true
		x.step.done++
		if len(x.runs) == 0 {
			x.step.idle--
		}
		for _, r := range slices.Clone(x.runs) {
			if !x.step.spec.Gang {
				s.stop(r, "another copy is done")
			}
		}
	}
	// A result may be reported again, for example after a change of leader.
	if fresh && t.step.complete() {
		t.step.occ.done++
		if t.step.occ.done == len(t.step.occ.steps) {
			js.finished++
		}
		s.closeIfDone(js, now)
	}
}

// recordFailure records a failed run of a task, whether the task or the runner
// caused the failure.
func (s *State) recordFailure(t *task, on runner.ID, attempt int, now clock.BootTime) {
	js := t.job
	s.markChanged(js)
	if t.step.spec.Gang {
		t = t.step.tasks[0] // the failures of a gang are counted on its first task
	}
	t.avoidRunner(on)
	if t.step.spec.LongRunning {
		return // it is run again however often it fails
	}
	if !slices.Contains(t.failed, attempt) {
		t.failed = append(t.failed, attempt)
	}
	if t.done {
		return
	}
	if js.terms == nil {
		s.Logger.Log("msg", "run failed, the attempts of its queue are not known", "task", t.name, "queue", js.def.Queue, "failed", len(t.failed), "waits", s.awaitsTerms(t))
	}
	if s.failedTooOften(t) {
		s.close(js, job.Failed, "task "+t.name.String()+" failed too often", now)
	}
}
