package sched

import (
	"slices"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// applyEnds takes the runs that have ended on a runner.
func (s *State) applyEnds(n *node, ends []runner.RunResult, now clock.BootTime) {
	for i := range ends {
		e := &ends[i]
		if e.Seq <= n.applied {
			continue
		}
		n.applied = e.Seq
		w := s.applyEnd(n, e, now)
		mark := noted{n: e.Seq, task: e.Task, work: w}
		if w != nil {
			mark.version = w.version
		}
		n.ends = append(n.ends, mark)
	}
}

// applyEnd takes one end and returns the job whose progress it changed, or nil.
func (s *State) applyEnd(n *node, e *runner.RunResult, now clock.BootTime) *work {
	w := s.jobs[e.Task.Job]
	if w == nil {
		return nil
	}
	t := w.task(e.Task)
	if t == nil {
		return nil
	}
	if r := n.runs[e.Task]; r != nil && r.attempt <= e.Attempt {
		n.drop(r)
	}
	t.ended = now
	s.changed = true
	if e.Checkpoint != "" {
		t.saved = e.Checkpoint
	}
	s.Logger.Log("msg", "run has ended", "task", e.Task, "attempt", e.Attempt, "runner", n.ID, "cause", e.Cause, "n", e.Seq)
	if e.Cause == runner.Done {
		s.withhold(n, t, e)
		t.attempt = max(t.attempt, e.Attempt)
	}
	if !w.open() {
		return w
	}
	switch e.Cause {
	case runner.Done:
		n.health.succeeded()
		s.finish(t, now)
	case runner.Failed:
		t.attempt = max(t.attempt, e.Attempt)
		if n.health.failed(w.job.ID, now) {
			s.Logger.Log("msg", "runner is set aside", "runner", n.ID, "jobs", len(n.health.failing), "pause", n.health.pause)
		}
		s.failed(t, n.ID, e.Attempt, now)
	case runner.Stopped, runner.LeaseExpired, runner.GangBroken, runner.GangIncomplete:
		t.attempt = max(t.attempt, e.Attempt)
		s.touch(w)
	}
	return w
}

// withhold keeps an end as done from being noted if the task was started again
// since, after its lease had lapsed for all that was known here. Noted, it
// would make the later run one too many; not noted, it never counts. The runner
// is used no more in this life, as none of its later ends can be noted.
func (s *State) withhold(n *node, t *task, e *runner.RunResult) {
	if n.withheld != 0 || t.attempt <= e.Attempt || t.step.spec.Speculative || t.step.spec.LongRunning {
		return
	}
	n.withheld = e.Seq
	s.Logger.Log("msg", "end came after another start", "runner", n.ID, "task", t.name, "attempt", e.Attempt, "started", t.attempt, "n", e.Seq)
}

// finish takes that a task is done.
func (s *State) finish(t *task, now clock.BootTime) {
	w := t.work
	s.touch(w)
	if t.step.spec.LongRunning {
		return // runs again until its job is cancelled
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
		for _, r := range slices.Clone(x.runs) {
			if !x.step.spec.Gang {
				s.stop(r, "another copy is done")
			}
		}
	}
	// An end may be listed again, after a change of the leader for example.
	if fresh && t.step.complete() {
		t.step.occ.done++
		if t.step.occ.done == len(t.step.occ.steps) {
			w.finished++
		}
		s.conclude(w, now)
	}
}

// failed takes that a run of a task ended as failed, through its own fault or
// the runner's.
func (s *State) failed(t *task, on runner.ID, attempt int, now clock.BootTime) {
	w := t.work
	s.touch(w)
	if t.step.spec.Gang {
		t = t.step.tasks[0] // a gang fails as one
	}
	if !slices.Contains(t.failed, attempt) {
		t.failed = append(t.failed, attempt)
	}
	t.avoid = append(t.avoid, on)
	if t.step.spec.LongRunning || t.done {
		return
	}
	if len(t.failed) >= s.attempts(w) {
		s.close(w, job.Failed, "task "+t.name.String()+" failed too often", now)
	}
}
