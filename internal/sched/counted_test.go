package sched

import (
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/crash"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/kv"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// nextTerm returns the next leader, which finds the stored progress of a job, and the
// given runners in an incarnation.
func (f *fixture) nextTerm(id job.ID, in runner.Incarnation, runners ...runner.ID) *fixture {
	f.t.Helper()
	next := newFixture(f.t, f.s.Term+100)
	next.s.InheritRoster(nil)
	old := f.s.jobs[id]
	next.s.AddJob(old.def, kv.Revision(100), old.progress(), 1, next.now, time.Unix(0, 0))
	next.incarnation = in
	next.runner(runners...)
	return next
}

// planUntil runs planning passes until a condition holds, with all progress stored and
// reports of all runners, and reports whether it did.
func (f *fixture) planUntil(passes int, cond func() bool) bool {
	for range passes {
		f.plan()
		f.flush()
		if cond() {
			return true
		}
		for id, rs := range f.s.runners {
			if rs.replied && !rs.ended {
				f.report(id, f.running(rs)...)
			}
		}
	}
	return false
}

// suspected returns a term that knows one crash under the task of a job.
func suspected(t *testing.T, step job.Step) (*fixture, job.ID) {
	f := newFixture(t, 200)
	f.runner("a", "b")
	id := f.job(1, step)
	f.s.setCrashes(f.s.jobs[id].task(job.Task{Job: id}), crash.Record{Crashes: 1, Immediate: 1, Suspect: true})
	return f, id
}

// startWithoutEnd starts a suspect until no leader starts it any more; next lets its runner
// crash and returns the leader that follows. The test fails after more starts than a
// task that crashes its runners may have.
func startWithoutEnd(t *testing.T, step job.Step, next func(f *fixture, x *task, in runner.Incarnation) *fixture) {
	const allowed = 5
	f, id := suspected(t, step)
	starts := 1
	for in := runner.Incarnation(1); ; in++ {
		x := f.s.jobs[id].task(job.Task{Job: id})
		if !f.planUntil(200, x.live) {
			return
		}
		if starts++; starts > allowed {
			t.Fatalf("started %d times, record %+v", starts, x.crashes)
		}
		f = next(f, x, in)
	}
}

// TestUnsentStartsEndTask guards against a task that is given up because leaders ended
// after they had counted a start of it, and before they sent it, while the runners that
// it was counted for go on.
func TestUnsentStartsEndTask(t *testing.T) {
	for name, step := range map[string]job.Step{"batch": {}, "long-running": {LongRunning: true}} {
		t.Run(name, func(t *testing.T) {
			f, id := suspected(t, step)
			for range 6 {
				x := f.s.jobs[id].task(job.Task{Job: id})
				if !f.planUntil(200, func() bool { return x.reserved != 0 || x.live() }) {
					t.Fatalf("no start is counted with record %+v, outcome %v", x.crashes, f.outcome(id))
				}
				f = f.nextTerm(id, 1, "a", "b")
			}
			x := f.s.jobs[id].task(job.Task{Job: id})
			if !f.planUntil(200, x.live) {
				t.Errorf("no start, record %+v, outcome %v", x.crashes, f.outcome(id))
			}
		})
	}
}

// TestStartOfEndedRunnerForgotten guards against a task that is started without limit by
// leaders that end at once, while it crashes each runner.
func TestStartOfEndedRunnerForgotten(t *testing.T) {
	for name, step := range map[string]job.Step{"batch": {}, "long-running": {LongRunning: true}} {
		t.Run(name, func(t *testing.T) {
			startWithoutEnd(t, step, func(f *fixture, x *task, in runner.Incarnation) *fixture {
				return f.nextTerm(x.name.Job, in+1, "a", "b")
			})
		})
	}
}

// TestCountMovesToOtherRunner guards against a count that stays with a runner which was
// lost before the start was sent, so that the next leader takes the end of that runner
// for one after the start.
func TestCountMovesToOtherRunner(t *testing.T) {
	f, id := suspected(t, job.Step{})
	x := f.s.jobs[id].task(job.Task{Job: id})
	if !f.planUntil(200, func() bool { return x.reserved != 0 }) {
		t.Fatal("no start is counted")
	}
	lost := x.counted[0].on
	f.s.PollFailed(lost, f.now)
	if !f.planUntil(200, x.live) || len(x.counted) != 1 || x.counted[0].on != x.runs[0].runner.ID {
		t.Errorf("counted starts %+v, runs %d, want one on the runner of the run, which is not %s", x.counted, len(x.runs), lost)
	}
}

// TestSilentRunnerEndsTask guards against a job that fails for starts whose runners the
// new leader has not reached yet, and which may have gone on.
func TestSilentRunnerEndsTask(t *testing.T) {
	f, id := suspected(t, job.Step{})
	f.s.PollFailed("b", f.now)
	var x *task
	for _, on := range []runner.ID{"a", "b", "c"} {
		if on != "a" {
			f = f.nextTerm(id, 1, on)
			for _, silent := range []runner.ID{"a", "b"} {
				if f.s.runners[silent] == nil {
					f.s.SetRunner(info(silent, "pool"), f.now)
				}
			}
		}
		x = f.s.jobs[id].task(job.Task{Job: id})
		counted := f.planUntil(100, func() bool { return x.reserved != 0 })
		if counted != (on != "c") || f.outcome(id) != job.Open {
			t.Fatalf("start counted on %s: %t, record %+v, outcome %v", on, counted, x.crashes, f.outcome(id))
		}
	}
	f.report("a")
	if !f.planUntil(100, x.live) {
		t.Errorf("no start after a runner has gone on, record %+v, outcome %v", x.crashes, f.outcome(id))
	}
}

// TestAdoptedSuspectForgotten guards against a task that is started without limit while
// it crashes each runner, because a leader that ends before the crash has taken the first
// report of its run as evidence that the runner went on.
func TestAdoptedSuspectForgotten(t *testing.T) {
	for name, step := range map[string]job.Step{"batch": {}, "long-running": {LongRunning: true}} {
		t.Run(name, func(t *testing.T) {
			startWithoutEnd(t, step, func(f *fixture, x *task, in runner.Incarnation) *fixture {
				on, run := x.runs[0].runner.ID, runner.Run{Task: x.name, Attempt: x.runs[0].attempt, Percent: 100}
				f = f.nextTerm(x.name.Job, in)
				for _, r := range []runner.ID{"a", "b"} {
					i := info(r, "pool")
					i.Incarnation = in
					f.s.SetRunner(i, f.now)
					if r == on {
						f.report(r, run)
					} else {
						f.report(r)
					}
				}
				f.plan() // it ends before it sees the crash
				return f.nextTerm(x.name.Job, in+1, "a", "b")
			})
		})
	}
}

// TestRunnerIsolatedForSilentOne guards against runners that are kept from other work
// for suspects which are not started until a runner that is silent replies.
func TestRunnerIsolatedForSilentOne(t *testing.T) {
	f, id := suspected(t, job.Step{})
	f.s.PollFailed("b", f.now)
	for _, on := range []runner.ID{"b", "c"} {
		x := f.s.jobs[id].task(job.Task{Job: id})
		if !f.planUntil(100, func() bool { return x.reserved != 0 }) {
			t.Fatal("no start is counted")
		}
		f = f.nextTerm(id, 1, on)
		for _, silent := range []runner.ID{"a", "b"} {
			if f.s.runners[silent] == nil {
				f.s.SetRunner(info(silent, "pool"), f.now)
			}
		}
	}
	f.planUntil(100, func() bool { return false })
	if f.planUntil(200, func() bool { return f.s.runners["c"].isolated != nil }) {
		t.Error("the only runner that replies is isolated")
	}
	f.report("a")
	if !f.planUntil(100, f.s.jobs[id].task(job.Task{Job: id}).live) {
		t.Error("no start after the silent runner has replied")
	}
}

// TestUnsentGangStartsEndTask guards against a gang that is given up because leaders
// ended after they had counted its start, and before they sent it, while all runners go on.
func TestUnsentGangStartsEndTask(t *testing.T) {
	for name, step := range map[string]job.Step{"batch": {Gang: true, Count: 2}, "long-running": {Gang: true, Count: 2, LongRunning: true}} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 200)
			f.runner("a", "b")
			id := f.job(1, step)
			for i := range 2 {
				f.s.setCrashes(f.s.jobs[id].task(job.Task{Job: id, Index: i}), crash.Record{Crashes: 1, Immediate: 1, Suspect: true})
			}
			for range 6 {
				x := f.s.jobs[id].task(job.Task{Job: id})
				if !f.planUntil(200, func() bool { return x.reserved != 0 || x.live() }) {
					t.Fatalf("no start is counted with record %+v, outcome %v", x.crashes, f.outcome(id))
				}
				f = f.nextTerm(id, 1, "a", "b")
			}
		})
	}
}
