package sched

import (
	"fmt"
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/runner"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
)

// TestPermitOfRunnerThatCannotRun guards against tasks that wait until a permit
// expires because the permitted runner has room but may not take them, while no
// permit is requested for the others.
func TestPermitOfRunnerThatCannotRun(t *testing.T) {
	const valid = time.Minute
	for name, c := range map[string]struct {
		step       job.Step
		quarantine bool
	}{
		"limit":       {job.Step{LongRunning: true, Count: 2, PerRunner: 1}, false},
		"quarantined": {job.Step{LongRunning: true, Count: 2}, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.s.Configure(job.NewConfig(2, []*job.Queue{{Name: "work", Service: "pool", MaxAttempts: 3, Stretch: 2, Target: time.Second, Policy: &job.Policy{}}},
				[]*job.Service{{Name: "pool", EnforcesCapacity: true}}, job.Limits{}))
			f.runner("a")
			lasting := f.job(1, c.step)
			allow := func() {
				for _, q := range f.s.PolicyQueries() {
					var allowed []AllowedRunner
					for _, id := range q.Runners {
						allowed = append(allowed, AllowedRunner{Runner: id, Ticket: "t"})
					}
					f.s.HandlePolicyReply(&q, allowed, valid, f.now, f.now)
				}
			}
			f.plan()
			allow()
			if c.quarantine {
				f.fail("a", 10)
				f.s.runners["a"].health.quarantinedUntil = f.now.Add(2 * lostBound)
			} else {
				f.settle(2)
			}
			f.runner("b", "c")
			for range lostPasses {
				f.settle(1)
				allow()
			}
			if n := f.waitingTasks(lasting); n > 0 {
				t.Errorf("%d long-running tasks wait after %v, with two free runners without a permit", n, lostBound)
			}
		})
	}
}

// TestDeniedRunnersAskedAgain guards against tasks that wait without end because
// permits are requested again and again for the runners that were denied.
func TestDeniedRunnersAskedAgain(t *testing.T) {
	f := newFixture(t, 1)
	f.s.Configure(job.NewConfig(2, []*job.Queue{{Name: "work", Service: "pool", MaxAttempts: 3, Stretch: 2, Target: time.Second, Policy: &job.Policy{}}},
		[]*job.Service{{Name: "pool", EnforcesCapacity: true}}, job.Limits{}))
	allowed := make(map[runner.ID]bool)
	for i := range 3 * permitRunners {
		id := runner.ID(fmt.Sprintf("r%03d", i))
		f.runner(id)
		allowed[id] = i%2 == 0
	}
	lasting := f.job(1, job.Step{LongRunning: true, Count: len(allowed) / 2, PerRunner: 1})
	for range lostPasses {
		f.settle(1)
		for _, q := range f.s.PolicyQueries() {
			var as []AllowedRunner
			for _, id := range q.Runners {
				if allowed[id] {
					as = append(as, AllowedRunner{Runner: id, Ticket: "t"})
				}
			}
			f.s.HandlePolicyReply(&q, as, time.Minute, f.now, f.now)
		}
	}
	if n := f.waitingTasks(lasting); n > 0 {
		t.Errorf("%d long-running tasks wait after %v, with as many free runners that would be allowed", n, lostBound)
	}
}

// TestDeniedRunnerHidesNeed guards against a task for which no runner is held, because
// one that the policy denies has room.
func TestDeniedRunnerHidesNeed(t *testing.T) {
	f := newFixture(t, 1)
	f.s.Configure(job.NewConfig(2, []*job.Queue{{Name: "work", Service: "pool", MaxAttempts: 3, Stretch: 2, Target: time.Second, Policy: &job.Policy{}}},
		[]*job.Service{{Name: "pool", EnforcesCapacity: true}}, job.Limits{}))
	allow := func() {
		for _, q := range f.s.PolicyQueries() {
			var as []AllowedRunner
			for _, id := range q.Runners {
				if id != "d" {
					as = append(as, AllowedRunner{Runner: id, Ticket: "t"})
				}
			}
			f.s.HandlePolicyReply(&q, as, time.Minute, f.now, f.now)
		}
	}
	f.runner("a", "b", "c")
	f.job(1, job.Step{Count: 10000})
	for range 5 {
		f.settle(1)
		allow()
	}
	f.runner("d")
	lasting := f.job(2, job.Step{LongRunning: true, Resources: job.Resources{CPU: 3000, Mem: 100}})
	ids := []runner.ID{"a", "b", "c"}
	for i := range lostPasses {
		on := ids[i%len(ids)]
		if runs := f.running(f.s.runners[on]); len(runs) > 0 && i%4 == 0 {
			f.end(on, runs[0].Task, runs[0].Attempt, runner.Done)
			f.report(on, runs[1:]...)
		}
		f.settle(1)
		allow()
		if f.waitingTasks(lasting) == 0 {
			return
		}
	}
	t.Errorf("task not started in %v, while batch tasks ended", lostBound)
}

// TestPolicyQueriesOfBatch guards against a long-running task that waits until the
// policy service has decided on all batch tasks that wait.
func TestPolicyQueriesOfBatch(t *testing.T) {
	f := newFixture(t, 1)
	f.s.Configure(job.NewConfig(2, []*job.Queue{{Name: "work", Service: "pool", MaxAttempts: 3, Stretch: 2, Target: time.Second, Policy: &job.Policy{}}},
		[]*job.Service{{Name: "pool", EnforcesCapacity: true}}, job.Limits{}))
	f.runner("a")
	for n := range 200 {
		f.job(n+1, job1)
	}
	f.plan()
	queued := f.s.PolicyQueries()
	lasting := f.job(1000, job.Step{LongRunning: true})
	for decided := range 200 {
		f.plan()
		queued = append(queued, f.s.PolicyQueries()...)
		q := queued[0]
		if queued = queued[1:]; q.step.occ.job.def.ID == lasting {
			if decided > 20 {
				t.Errorf("the policy service decides on %d batch tasks first", decided)
			}
			return
		}
		f.s.HandlePolicyReply(&q, nil, 0, f.now, f.now)
	}
	t.Error("no query for the long-running task within 200 decisions")
}
