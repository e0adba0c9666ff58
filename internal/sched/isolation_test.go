package sched

import (
	"testing"

	"gypsumtrestle.example/gypsumtrestle/internal/crash"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// suspect makes a task a suspect of one crash, and stores that.
func (f *fixture) suspect(name job.Task) *task {
	t := f.s.jobs[name.Job].task(name)
	f.s.setCrashes(t, crash.Record{Crashes: 1, Suspect: true})
	f.flush()
	return t
}

// TestSuspectBehindWaitingTask guards against a suspect that is never started on
// the runner isolated for it, because a task before it in its step fits nowhere.
func TestSuspectBehindWaitingTask(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a", "b")
	f.job(1, job.Step{Resources: job.Resources{CPU: 4000, Mem: 100}})
	f.settle(1)
	id := f.job(2, job.Step{Count: 2})
	x := f.suspect(job.Task{Job: id, Index: 1})
	f.settle(200)
	if !x.live() {
		t.Error("the suspect has no run")
	}
}

// TestIsolatedRunnerNotAllowed guards against a runner that is isolated again and
// again for a suspect that may not be started there.
func TestIsolatedRunnerNotAllowed(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a", "b")
	id := f.job(1, job.Step{Count: 2, LongRunning: true, PerRunner: 1})
	other := f.job(2, job.Step{Count: 2, LongRunning: true})
	x := f.suspect(job.Task{Job: id, Index: 1})
	f.report("a", runner.Run{Task: job.Task{Job: id}, Attempt: 1, Percent: 100})
	f.report("b", runner.Run{Task: job.Task{Job: other}, Attempt: 1, Percent: 100}, runner.Run{Task: job.Task{Job: other, Index: 1}, Attempt: 1, Percent: 100})
	f.settle(200)
	if !x.live() {
		t.Error("the suspect has no run")
	}
}

// TestSuspectBehindUnplaceable guards against a suspect that waits for a runner
// while another suspect of its job fits nowhere.
func TestSuspectBehindUnplaceable(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a", "b")
	id := f.job(1, job.Step{Label: "gpu"}, job.Step{})
	f.suspect(job.Task{Job: id})
	x := f.suspect(job.Task{Job: id, Step: 1})
	f.settle(200)
	if !x.live() {
		t.Error("the suspect has no run")
	}
}

// TestRunnerIsolatedTooEarly guards against a runner that is isolated for a
// suspect which must not be started yet.
func TestRunnerIsolatedTooEarly(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a")
	x := f.suspect(job.Task{Job: f.job(1, job.Step{})})
	x.notBefore = f.now + 2*second
	f.settle(5)
	if rs := f.s.runners["a"]; rs.isolated != nil {
		t.Error("the runner is isolated")
	}
}
