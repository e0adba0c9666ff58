package sched

import (
	"testing"

	"gypsumtrestle.example/gypsumtrestle/internal/crash"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
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
