package sched

import (
	"fmt"
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
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

// TestCrashBeforeStartBlamed guards against a job that fails because runners had
// crashed silently before they received the start of its suspect.
func TestCrashBeforeStartBlamed(t *testing.T) {
	for name, lose := range map[string]func(*fixture, Command){
		"the start has no reply": func(f *fixture, c Command) { f.loseReply(c) },
		"the start is in flight": func(f *fixture, c Command) { f.s.Prepare(&c, f.now) },
		"the start is queued":    func(*fixture, Command) {},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.runner("a")
			id := f.job(1, job.Step{})
			f.suspect(job.Task{Job: id})
			var starts []Command
			for len(starts) == 0 {
				starts = ofKind(f.plan(), StartRun)
				f.flush()
				f.report("a")
			}
			lose(f, starts[0])
			f.now += second
			f.replaced("a", info("a", "pool").Addr)
			if got := f.outcome(id); got != job.Open {
				t.Errorf("outcome %v after one crash and one start that was not confirmed, want open", got)
			}
		})
	}
}

// TestSuspectStartedOnSilentRunner guards against a suspect that is sent to a runner
// which has been silent for a while, so that it may have crashed since, although
// another one has just replied.
func TestSuspectStartedOnSilentRunner(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a", "b")
	work := f.job(1, job.Step{})
	f.now += second
	f.report("b", runner.Run{Task: job.Task{Job: work}, Attempt: 1, Percent: 100}) // so that it has more runs
	x := f.suspect(job.Task{Job: f.job(2, job.Step{})})
	for range 30 {
		for _, c := range ofKind(f.plan(), StartRun) {
			if c.Task == x.name && c.To.ID == "a" {
				t.Fatalf("started on a runner that replied %v ago", f.now.Sub(f.s.runners["a"].lastReply))
			}
			f.accept([]Command{c})
		}
		f.flush()
		f.now = f.now.Add(70 * time.Millisecond)
		f.report("b", f.running(f.s.runners["b"])...)
	}
	if !x.live() {
		t.Error("the suspect has no run")
	}
}

// TestSuspectStartedBeforeReply guards against a suspect that is sent to the only
// runner, which may have crashed since its last reply, before it replies again.
func TestSuspectStartedBeforeReply(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a")
	x := f.suspect(job.Task{Job: f.job(1, job.Step{})})
	f.now += second
	for range 20 {
		if got := ofKind(f.plan(), StartRun); len(got) > 0 {
			t.Fatalf("started on a runner that replied %v ago", f.now.Sub(f.s.runners["a"].lastReply))
		}
		f.flush()
	}
	if got := f.s.NewlyIsolated(); len(got) != 1 || got[0] != "a" {
		t.Errorf("runners to poll at once %v, want a", got)
	}
	f.now += second / 100
	if !f.s.HandleReport(f.s.runners["a"].target(), f.now, f.now, &runner.Report{Incarnation: 1, Clock: clock.RunnerTime(f.now / clock.BootTime(time.Millisecond))}) {
		t.Error("the reply of the isolated runner does not lead to a planning pass, and it is outdated at the next one")
	}
	f.settle(3)
	if !x.live() {
		t.Error("the suspect has no run after the runner has replied")
	}
}

// TestUnsettledStartForgotten guards against a task that is started without limit
// on a runner that starts again under its ID: the stop that the next incarnation
// confirms does not tell whether the start crashed the previous one.
func TestUnsettledStartForgotten(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a")
	id := f.job(1, job.Step{})
	starts := 0
	present := runner.Incarnation(1)
	for n := 0; f.outcome(id) == job.Open; n++ {
		if n > 1000 {
			t.Fatalf("%d starts, and the job is open", starts)
		}
		commands := f.plan()
		f.accept(ofKind(commands, StopRun))
		for _, c := range ofKind(commands, StartRun) {
			starts++
			f.loseReply(c)
			f.now += second
			present++
			f.restart("a", present)
		}
		f.now = f.now.Add(50 * time.Millisecond)
		f.reportOf("a", present, f.now)
		f.s.RosterStored(f.s.Roster(f.now, false))
	}
	if starts > 5 {
		t.Errorf("%d starts, want at most two after the third crash", starts)
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
	want := crash.Record{Suspect: true, Unresolved: 1} // the start was not confirmed
	if c := f.s.jobs[id].occs[0].steps[0].tasks[0].crashes; c != want || f.outcome(id) != job.Open {
		t.Errorf("record %+v, outcome %v, want %+v, open", c, f.outcome(id), want)
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

// TestAdoptedRunSuspected guards against a task that is suspected because its runner
// crashed soon after a change of the leader, though it had run there for long.
func TestAdoptedRunSuspected(t *testing.T) {
	f := newFixture(t, 200)
	id := f.job(1, job.Step{LongRunning: true})
	f.s.InheritRoster(nil)
	f.s.SetRunner(info("a", "pool"), f.now)
	f.report("a", runner.Run{Task: job.Task{Job: id}, Attempt: 1, Percent: 100})
	f.s.RosterStored(f.s.Roster(f.now, false))
	f.now = f.now.Add(100 * time.Millisecond)
	f.replaced("a", info("a", "pool").Addr)
	if got, want := f.s.jobs[id].task(job.Task{Job: id}).crashes, (crash.Record{Crashes: 1}); got != want {
		t.Errorf("record %+v, want %+v", got, want)
	}
}
