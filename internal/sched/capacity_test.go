package sched

import (
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// forBoth runs a test with runners that enforce their capacity and with runners
// that start whatever they are told.
func forBoth(t *testing.T, test func(t *testing.T, f *fixture)) {
	for name, enforced := range map[string]bool{"enforced": true, "unenforced": false} {
		t.Run(name, func(t *testing.T) { test(t, newCapacityFixture(t, 1, enforced)) })
	}
}

func newCapacityFixture(t *testing.T, term runner.Term, enforced bool) *fixture {
	t.Helper()
	f := newFixture(t, term)
	f.s.Configure(job.NewConfig(1, []*job.Queue{{Name: "work", Service: "pool", MaxAttempts: 3, Stretch: 2, Target: time.Second}},
		[]*job.Service{{Name: "pool", EnforcesCapacity: enforced}}, job.Limits{}))
	return f
}

// resize changes the capacity in the entry of a runner, which the leader reads
// from the store.
func (f *fixture) resize(id runner.ID, cpu, mem int) {
	i := info(id, "pool")
	i.Capacity = job.Resources{CPU: cpu, Mem: mem}
	f.s.SetRunner(i, f.now)
	f.s.InputCurrent(0, f.now)
}

// prepared returns the commands that are still needed when they are sent.
func (f *fixture) prepared(commands []Command) []Command {
	var sent []Command
	for i := range commands {
		if _, needed := f.s.Prepare(&commands[i], f.now); needed {
			sent = append(sent, commands[i])
		}
	}
	return sent
}

// runAll starts all tasks that fit on a runner and reports them as running.
func (f *fixture) runAll(id runner.ID) []runner.Run {
	f.t.Helper()
	starts := f.prepared(ofKind(f.plan(), StartRun))
	f.accept(starts)
	var runs []runner.Run
	for _, c := range starts {
		runs = append(runs, runner.Run{Task: c.Task, Attempt: c.Attempt, Percent: 100})
	}
	f.report(id, runs...)
	return runs
}

func wantStarts(t *testing.T, got []Command, want int, when string) {
	t.Helper()
	if got = ofKind(got, StartRun); len(got) != want {
		t.Errorf("%d starts %s, want %d: %v", len(got), when, want, got)
	}
}

// TestShrunkRunner guards against a start on a runner whose capacity has shrunk
// below what runs there, and against one that stays unused after its capacity
// has grown again, for every kind of task.
func TestShrunkRunner(t *testing.T) {
	for name, waiting := range map[string]job.Step{
		"batch":        {Count: 1},
		"best-effort":  {Count: 1, BestEffort: true},
		"gang":         {Count: 1, Gang: true},
		"long-running": {Count: 1, LongRunning: true},
	} {
		t.Run(name, func(t *testing.T) {
			forBoth(t, func(t *testing.T, f *fixture) {
				f.runner("a")
				f.job(1, job.Step{Count: 3})
				if n := len(f.runAll("a")); n != 3 {
					t.Fatalf("%d runs, want 3", n)
				}
				f.resize("a", 2000, 8000)
				f.job(2, waiting)
				wantStarts(t, f.plan(), 0, "below what runs")
				f.resize("a", 3000, 8000)
				if !waiting.BestEffort {
					wantStarts(t, f.plan(), 0, "at what runs")
				}
				f.resize("a", 4000, 300)
				wantStarts(t, f.plan(), 0, "without memory")
				f.resize("a", 4000, 8000)
				wantStarts(t, f.prepared(f.plan()), 1, "after the capacity has grown again")
			})
		})
	}
}

// TestShrunkBetweenFullPlans guards against a planning pass that places tasks by
// what the last full pass knew of the capacity, and against two jobs that one
// pass places in the same capacity.
func TestShrunkBetweenFullPlans(t *testing.T) {
	forBoth(t, func(t *testing.T, f *fixture) {
		f.runner("a")
		f.plan()
		f.resize("a", 2000, 8000)
		f.job(1, job1)
		f.job(2, job.Step{Count: 2})
		f.s.Plan(f.now, time.Unix(0, 0))
		wantStarts(t, f.prepared(f.s.Commands()), 2, "in a pass that is not full")
		f.resize("a", 3000, 8000)
		f.s.Plan(f.now, time.Unix(0, 0))
		wantStarts(t, f.prepared(f.s.Commands()), 1, "in a pass that is not full, with more capacity")
	})
}

// TestStoppingRunUsesShrunkCapacity guards against a start in the capacity of a
// run that is being stopped, on a runner that has shrunk meanwhile.
func TestStoppingRunUsesShrunkCapacity(t *testing.T) {
	forBoth(t, func(t *testing.T, f *fixture) {
		f.runner("a")
		id := f.job(1, job.Step{Resources: job.Resources{CPU: 2000, Mem: 1}})
		runs := f.runAll("a")
		f.s.CancelJob(id, f.now)
		f.accept(ofKind(f.plan(), StopRun))
		f.resize("a", 2500, 8000)
		f.job(2, job1)
		f.now += second
		f.report("a", runs...)
		wantStarts(t, f.plan(), 0, "beside a run that is being stopped")
		f.end("a", runs[0].Task, 1, runner.Stopped)
		f.report("a")
		wantStarts(t, f.plan(), 1, "after the result was reported")
	})
}

// TestAdoptedRunsOnShrunkRunner guards against a new leader that starts tasks on
// a runner that has shrunk below the runs of the previous leader.
func TestAdoptedRunsOnShrunkRunner(t *testing.T) {
	for name, enforced := range map[string]bool{"enforced": true, "unenforced": false} {
		t.Run(name, func(t *testing.T) {
			f := newCapacityFixture(t, 1, enforced)
			f.runner("a")
			f.job(1, job.Step{Count: 3, LongRunning: true})
			runs := f.runAll("a")

			next := newCapacityFixture(t, 200, enforced)
			next.now = f.now
			next.resize("a", 2000, 8000)
			next.job(1, job.Step{Count: 3, LongRunning: true})
			next.job(2, job1)
			next.report("a", runs...)
			next.s.RosterStored(next.s.Roster(next.now, false))
			if got := next.plan(); len(got) != 0 {
				t.Errorf("commands %v on a runner that is over its capacity", got)
			}
			for _, r := range runs {
				next.end("a", r.Task, 1, runner.Stopped)
			}
			next.report("a")
			wantStarts(t, next.prepared(next.plan()), 2, "after the runs have ended")
		})
	}
}

// TestDemandOfShrunkPool guards against a pool whose runners have all shrunk and
// that is still counted on for its former capacity.
func TestDemandOfShrunkPool(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a", "b")
	f.job(1, job.Step{Count: 34, Resources: job.Resources{CPU: 1000, Mem: 1}})
	f.plan()
	before := f.s.poolDemands(f.now)[0].timely
	f.resize("a", 1000, 8000)
	f.resize("b", 1000, 8000)
	if after := f.s.poolDemands(f.now)[0].timely; after != 4*before {
		t.Errorf("%d machines needed with a quarter of the capacity, %d before", after, before)
	}
}

// TestShrunkBeforeStartIsSent guards against a start that is sent though the
// runner has shrunk since it was scheduled, and against a task that then waits
// for that runner while another one has capacity.
func TestShrunkBeforeStartIsSent(t *testing.T) {
	forBoth(t, func(t *testing.T, f *fixture) {
		f.runner("a")
		f.job(1, job.Step{Count: 2})
		runs := f.runAll("a")
		f.job(2, job.Step{Count: 2})
		starts := ofKind(f.plan(), StartRun)
		f.now += 10 * second
		f.resize("a", 3000, 8000)
		f.report("a", runs...)
		sent := f.prepared(starts)
		wantStarts(t, sent, 1, "at 3 of 4 cores")
		f.accept(sent)
		f.runner("b")
		commands := f.plan()
		if got := ofKind(commands, StopRun); len(got) != 0 {
			t.Errorf("stops %v of a run of which no start was sent", got)
		}
		if got := f.prepared(ofKind(commands, StartRun)); len(got) != 1 || got[0].To.ID != "b" {
			t.Errorf("starts %v, want the other task on the other runner", got)
		}
	})
}

// TestGangOnShrunkRunner guards against a gang of which some members are started
// and others are not, because a runner has shrunk since they were scheduled.
func TestGangOnShrunkRunner(t *testing.T) {
	forBoth(t, func(t *testing.T, f *fixture) {
		f.runner("a", "b")
		f.job(1, job.Step{Count: 3, Gang: true, Resources: job.Resources{CPU: 2000, Mem: 1}})
		starts := ofKind(f.plan(), StartRun)
		if len(starts) != 3 {
			t.Fatalf("%d starts, want 3", len(starts))
		}
		f.resize("a", 1000, 8000)
		f.resize("b", 1000, 8000)
		if got := f.prepared(starts); len(got) != 0 {
			t.Errorf("%v sent to runners on which they do not fit", got)
		}
		f.accept(f.prepared(ofKind(f.plan(), StopRun)))
		f.now += second
		f.report("a")
		f.report("b")
		f.runner("c", "d")
		again := f.prepared(ofKind(f.plan(), StartRun))
		if len(again) != 3 {
			t.Fatalf("%d starts on other runners, want all 3 members", len(again))
		}
		for _, c := range again {
			if c.Attempt < 2 || c.Attempt != again[0].Attempt {
				t.Errorf("attempt numbers differ or are reused: %v", again)
			}
		}
	})
}
