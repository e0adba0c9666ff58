package sched

import (
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/machine"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// TestEvacuationFromFullPool guards against a machine that never leaves for its
// maintenance because waiting batch tasks use all capacity that becomes free, so
// that its long-running task fits nowhere. Seen as one machine of 539 that was
// late on quiet-1 of bvc-routelog-large.
func TestEvacuationFromFullPool(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a", "b")
	lasting := f.job(1, job.Step{LongRunning: true, MaxUnavailable: 1})
	starts := ofKind(f.plan(), StartRun)
	if len(starts) != 1 {
		t.Fatalf("%d starts of the long-running task, want 1", len(starts))
	}
	leaving, other := starts[0].To.ID, runner.ID("b")
	if leaving == other {
		other = "a"
	}
	f.job(2, job.Step{Count: 1000})
	running := func(id runner.ID) []runner.Run {
		var runs []runner.Run
		for _, r := range runsOf(f.s.runners[id]) {
			runs = append(runs, runner.Run{Task: r.task.name, Attempt: r.attempt, Percent: 100})
		}
		return runs
	}
	f.accept(f.plan())
	f.report(leaving, running(leaving)...)
	f.s.SetWave(machine.Wave{Number: 1, Machines: []machine.ID{"m-" + machine.ID(leaving)}, MaxUnavailable: 1, Within: time.Minute}, false, f.now)
	for range 40 {
		if runs := running(other); len(runs) > 0 {
			f.end(other, runs[0].Task, runs[0].Attempt, runner.Done)
			f.report(other, runs[1:]...)
		}
		f.s.Plan(f.now.Add(5*time.Millisecond), time.Unix(0, 0)) // not a full pass
		f.accept(f.s.Commands())
		commands := f.plan()
		f.accept(commands)
		for _, c := range ofKind(commands, StopRun) {
			if c.Task.Job == lasting {
				return
			}
		}
	}
	t.Error("the long-running task was not evacuated while 40 batch tasks ended on the other runner")
}
