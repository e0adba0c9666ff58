package sched

import (
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
