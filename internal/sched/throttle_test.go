package sched

import (
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// startBestEffort starts a latency-sensitive and a best-effort task on one
// runner and returns their names.
func startBestEffort(t *testing.T) (f *fixture, latencySensitive, bestEffort job.Task) {
	t.Helper()
	f = newFixture(t, 1)
	f.runner("a")
	f.job(1, job.Step{LongRunning: true, TargetLatency: 100 * time.Millisecond})
	f.job(2, job.Step{BestEffort: true})
	starts := ofKind(f.plan(), StartRun)
	if len(starts) != 2 {
		t.Fatalf("%d starts, want 2", len(starts))
	}
	f.accept(starts)
	return f, starts[0].Task, starts[1].Task
}

// TestThrottleBestEffort guards against best-effort tasks that keep a
// latency-sensitive task above its target: they must be throttled until they
// are halted, within the four seconds that the contract allows, and sped up
// again when there is enough CPU.
func TestThrottleBestEffort(t *testing.T) {
	f, latencySensitive, bestEffort := startBestEffort(t)
	startedAt := f.now
	poll := func(tail int) {
		f.report("a",
			runner.Run{Task: latencySensitive, Attempt: 1, Percent: 100, Load: tail, ReportsLoad: true},
			runner.Run{Task: bestEffort, Attempt: 1, Percent: 100, Load: 500, ReportsLoad: true})
	}
	throttle := func() int { return f.s.runners["a"].runs[bestEffort].throttle }
	for throttle() > 0 {
		if f.now-startedAt > 4*second {
			t.Fatalf("best-effort task runs at %d%% after 4 s above the target", throttle())
		}
		f.now += second / 10
		poll(150)
		f.plan()
	}
	for throttle() < 100 {
		if f.now-startedAt > 20*second {
			t.Fatalf("best-effort task runs at %d%% though the latency is low", throttle())
		}
		f.now += second / 10
		poll(20)
		f.plan()
	}
}

// TestPolicy guards against a start on a runner that the queue's policy does
// not allow, or with a permit that has expired or is for an earlier
// incarnation.
func TestPolicy(t *testing.T) {
	f := newFixture(t, 1)
	f.s.Configure(job.NewConfig(2, []*job.Queue{{
		Name: "work", Service: "pool", MaxAttempts: 3, Stretch: 2, Target: time.Second,
		Policy: &job.Policy{PermitTTL: 3 * time.Second},
	}}, []*job.Service{{Name: "pool"}}, job.Limits{}))
	f.runner("a", "b")
	f.job(1, job.Step{Count: 2})
	if got := ofKind(f.plan(), StartRun); len(got) != 0 {
		t.Fatalf("started without a permit: %v", got)
	}
	qs := f.s.PolicyQueries()
	if len(qs) != 1 || len(qs[0].Runners) != 2 {
		t.Fatalf("policy queries %v, want one for both runners", qs)
	}
	f.plan()
	if got := f.s.PolicyQueries(); len(got) != 0 {
		t.Errorf("policy queried again while a query is pending: %v", got)
	}
	f.s.HandlePolicyReply(&qs[0], []AllowedRunner{{Runner: "b", Ticket: "ticket-b"}}, 3*time.Second, f.now, f.now)
	starts := ofKind(f.plan(), StartRun)
	if len(starts) != 2 {
		t.Fatalf("%d starts after the reply, want 2", len(starts))
	}
	for i := range starts {
		if starts[i].To.ID != "b" {
			t.Errorf("started on %s, which the policy does not allow", starts[i].To.ID)
		}
		if st, _ := f.s.Prepare(&starts[i], f.now); st.Permit != "ticket-b" {
			t.Errorf("permit %q in the start, want ticket-b", st.Permit)
		}
	}
	f.now += 4 * second
	f.job(2, job.Step{})
	f.report("b")
	if got := ofKind(f.plan(), StartRun); len(got) != 0 {
		t.Errorf("started without a permit for the step: %v", got)
	}
}

// TestStalledRun guards against a stalled run that delays its job, and against
// treating a run that uses CPU as stalled.
func TestStalledRun(t *testing.T) {
	for _, c := range []struct {
		name  string
		load  int
		stops int
	}{{"stands still", 0, 1}, {"works", 900, 0}} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.runner("a", "b")
			f.job(1, job1)
			starts := f.plan()
			f.accept(starts)
			stops := 0
			for range 40 {
				f.now += second / 10
				for _, id := range []runner.ID{"a", "b"} {
					if id == starts[0].To.ID {
						f.report(id, runner.Run{Task: starts[0].Task, Attempt: 1, Percent: 100, Load: c.load, ReportsLoad: true})
					} else {
						f.report(id)
					}
				}
				stops += len(ofKind(f.plan(), StopRun))
			}
			if stops != c.stops {
				t.Errorf("%d stops, want %d", stops, c.stops)
			}
		})
	}
}

// TestThrottleLost guards against a best-effort task that is slowed down without end
// by a former leader, or because the command that ends it was lost.
func TestThrottleLost(t *testing.T) {
	for name, start := range map[string]func(f *fixture) (job.Task, int){
		"former leader": func(f *fixture) (job.Task, int) {
			f.s.SetRunner(info("a", "pool"), f.now)
			return job.Task{Job: f.job(1, job.Step{LongRunning: true, BestEffort: true})}, 0
		},
		"lost command": func(f *fixture) (job.Task, int) {
			f.runner("a")
			f.job(1, job.Step{LongRunning: true, BestEffort: true})
			c := ofKind(f.plan(), StartRun)
			f.accept(c)
			return c[0].Task, 55
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2)
			task, percent := start(f)
			for range 100 {
				f.now += second / 10
				f.report("a", runner.Run{Task: task, Attempt: 1, Percent: percent, ReportsLoad: true})
				for _, c := range ofKind(f.plan(), ThrottleRun) {
					percent = c.Percent
				}
			}
			if percent != 100 {
				t.Errorf("the task runs at %d%% after 10 s without any latency-sensitive task", percent)
			}
		})
	}
}
