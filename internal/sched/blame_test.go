package sched

import (
	"fmt"
	"testing"

	"gypsumtrestle.example/gypsumtrestle/internal/crash"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// TestUnsentStartBlamed guards against a job that fails for crashes of runners
// that never received a start of its suspect.
func TestUnsentStartBlamed(t *testing.T) {
	for _, expired := range []bool{false, true} {
		f := newFixture(t, 1)
		f.runner("a")
		id := f.job(1, job.Step{})
		x := f.suspect(job.Task{Job: id})
		var starts []Command
		for len(starts) == 0 {
			starts = ofKind(f.plan(), StartRun)
			f.flush()
			f.report("a")
		}
		f.s.PollFailed("a", f.now)
		f.s.HandleReply(&starts[0], runner.Reply{}, false, false, f.now)
		f.now += second
		if expired {
			f.now += 8 * second
			f.plan()
			f.now += second
			f.s.ConfirmTerm(f.now)
			f.plan()
		}
		f.replaced("a", info("a", "pool").Addr)
		if want := (crash.Record{Crashes: 1, Suspect: true}); x.crashes != want || f.outcome(id) != job.Open {
			t.Errorf("lease expired %t: record %+v, outcome %v, want %+v, open", expired, x.crashes, f.outcome(id), want)
		}
	}
}

// TestRunnerCrashesTwice guards against a job that fails because its runner
// crashes again before it has confirmed the stop of the earlier run.
func TestRunnerCrashesTwice(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a")
	id := f.job(1, job.Step{})
	starts := ofKind(f.plan(), StartRun)
	f.s.HandleReply(&starts[0], runner.Reply{}, false, true, f.now)
	f.now += second
	f.restart("a", 2)
	f.now += second
	f.restart("a", 3)
	if c := f.s.jobs[id].occs[0].steps[0].tasks[0].crashes.Crashes; c != 1 || f.outcome(id) != job.Open {
		t.Errorf("%d crashes, outcome %v, want 1, open", c, f.outcome(id))
	}
}

// TestRunnerRemovedBeforeCrashKnown guards against a task that is started without
// limit because the entry and the lease of each runner that it crashes have expired
// when the runner comes back.
func TestRunnerRemovedBeforeCrashKnown(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a")
	id := f.job(1, job.Step{})
	starts := 0
	for n := 0; f.outcome(id) == job.Open; {
		if n++; n > 1000 {
			t.Fatalf("%d starts, and the job is open", starts)
		}
		for other, rs := range f.s.runners {
			if !rs.unreachable {
				f.report(other)
			}
		}
		for _, c := range ofKind(f.plan(), StartRun) {
			starts++
			f.loseReply(c)
			f.s.PollFailed(c.To.ID, f.now)
			f.s.DeregisterRunner(c.To.ID, f.now)
			f.now += 8 * second
			f.plan()
			f.now += second
			f.s.ConfirmTerm(f.now)
			f.plan()
			f.runner(runner.ID(fmt.Sprint("b", starts)))
		}
	}
	if starts > 5 {
		t.Errorf("%d starts, want at most two after the third crash", starts)
	}
}

// TestRunnerRemovedOnOrderBlamed guards against a task that is suspected because
// its runner was drained and removed.
func TestRunnerRemovedOnOrderBlamed(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a")
	id := f.job(1, job.Step{})
	f.accept(f.plan())
	i := info("a", "pool")
	i.Draining = true
	f.s.SetRunner(i, f.now)
	f.s.PollFailed("a", f.now)
	f.s.DeregisterRunner("a", f.now)
	f.now += 8 * second
	f.plan()
	f.now += second
	f.s.ConfirmTerm(f.now)
	f.plan()
	if c := f.s.jobs[id].task(job.Task{Job: id}).crashes; c != (crash.Record{}) || f.s.runners["a"] != nil {
		t.Errorf("record %+v, runner known %t, want none", c, f.s.runners["a"] != nil)
	}
}
