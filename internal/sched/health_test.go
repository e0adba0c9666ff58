package sched

import (
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// lostBound is how long a long-running task may be without a run while there is
// room for it: after that it counts as lost.
const lostBound = 9 * time.Second

// lostPasses is how many passes of plan take lostBound.
const lostPasses = int(lostBound / fullPlanInterval)

// waitingTasks returns how many tasks of a job have no run.
func (f *fixture) waitingTasks(id job.ID) int {
	n := 0
	for _, st := range f.s.jobs[id].occurrence(0).steps {
		n += st.idle
	}
	return n
}

// fail makes one run of each of two jobs fail on a runner, so that it is
// quarantined.
func (f *fixture) fail(on runner.ID, first int) {
	var failed []job.ID
	for n := first; n < first+quarantineJobs; n++ {
		failed = append(failed, f.job(n, job1))
		f.end(on, job.Task{Job: failed[n-first]}, 1, runner.Failed)
	}
	f.report(on, f.running(f.s.runners[on])...)
	for _, id := range failed {
		f.s.CancelJob(id, f.now)
	}
}

// TestQuarantineHeldByLongRunningTask guards against a runner that takes no other
// run after its quarantine while a long-running task runs there, which never ends
// as done: there the others find no room.
func TestQuarantineHeldByLongRunningTask(t *testing.T) {
	for name, before := range map[string]int{"started before": 1, "started after": 0} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.runner("a")
			if before > 0 {
				f.job(1, job.Step{LongRunning: true})
				f.settle(2)
			}
			f.fail("a", 10)
			lasting := f.job(2, job.Step{LongRunning: true, Count: 3})
			f.settle(int(minQuarantine/fullPlanInterval) + lostPasses)
			if n := f.waitingTasks(lasting); n > 0 {
				t.Errorf("%d long-running tasks wait %v after the quarantine, with room for them", n, lostBound)
			}
		})
	}
}

// TestQuarantineHeldByBatch guards against a runner that takes no long-running task after
// its quarantine for as long as a batch task takes there.
func TestQuarantineHeldByBatch(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a")
	f.fail("a", 10)
	f.job(1, job.Step{Estimate: time.Minute})
	f.now = f.now.Add(minQuarantine)
	f.settle(2)
	lasting := f.job(2, job.Step{LongRunning: true, Count: 2})
	f.settle(lostPasses)
	if n := f.waitingTasks(lasting); n > 0 {
		t.Errorf("%d long-running tasks wait after %v, with room for them", n, lostBound)
	}
}

// TestProbedByOneRun guards against a runner that fails whatever it starts and is
// given many runs after its quarantine.
func TestProbedByOneRun(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a")
	f.job(1, job.Step{LongRunning: true})
	f.settle(2)
	f.fail("a", 10)
	f.now = f.now.Add(minQuarantine)
	f.job(2, job.Step{Count: 3})
	starts := f.settle(3)
	if len(starts) != 1 {
		t.Fatalf("%d runs started after the quarantine, want 1", len(starts))
	}
	f.end("a", starts[0].Task, starts[0].Attempt, runner.Failed)
	f.report("a")
	if f.s.runners["a"].health.quarantine != 2*minQuarantine {
		t.Error("not quarantined again after the failure of its only new run")
	}
}

// TestPoolQuarantinedByFailingJobs guards against a long-running task that finds
// each runner of its pool quarantined for the faults of jobs that always fail.
func TestPoolQuarantinedByFailingJobs(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a", "b")
	for n := range 5 {
		f.fail("a", 10*n+10)
		f.fail("b", 10*n+15)
		f.now = max(f.s.runners["a"].health.quarantinedUntil, f.s.runners["b"].health.quarantinedUntil)
	}
	f.fail("a", 100)
	f.fail("b", 105)
	lasting := f.job(1, job.Step{LongRunning: true, Count: 3})
	f.settle(lostPasses)
	if n := f.waitingTasks(lasting); n > 0 {
		t.Errorf("%d long-running tasks wait after %v, with both runners empty", n, lostBound)
	}
}

// TestFailuresOfLongRunningTask guards against a long-running job that ends because the
// list of its failed runs outgrows its record.
func TestFailuresOfLongRunningTask(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a")
	id := f.job(1, job.Step{LongRunning: true})
	for range 50 {
		for _, c := range f.settle(1) {
			f.end("a", c.Task, c.Attempt, runner.Failed)
			f.report("a")
		}
	}
	task := f.s.jobs[id].occurrence(0).steps[0].tasks[0]
	if p := f.s.jobs[id].progress(); len(p.Tasks) != 1 || len(p.Tasks[0].Failed) > 1 || len(task.avoid) > 1 {
		t.Errorf("progress %+v, runners to avoid %v after %d runs; want no entry for each run", p.Tasks, task.avoid, task.attempt)
	}
}
