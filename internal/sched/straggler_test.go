package sched

import (
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/machine"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// stall reports runners for a time, on which the runs of a job use no CPU, and returns
// the stops.
func (f *fixture) stall(id job.ID, d time.Duration) []Command {
	var stops []Command
	for end := f.now.Add(d); f.now < end; f.now += second / 10 {
		for on, rs := range f.s.runners {
			runs := f.running(rs)
			for i := range runs {
				runs[i].ReportsLoad = true
				if runs[i].Task.Job != id {
					runs[i].Load = 900
				}
			}
			f.report(on, runs...)
		}
		commands := f.plan()
		f.accept(commands)
		for _, c := range ofKind(commands, StopRun) {
			f.end(c.To.ID, c.Task, c.Attempt, runner.Stopped)
			stops = append(stops, c)
		}
		f.flush()
	}
	return stops
}

// TestStalledRunOnLeavingRunner guards against a machine that does not leave for its
// maintenance because a run that uses no CPU never ends.
func TestStalledRunOnLeavingRunner(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a", "b")
	id := f.job(1, job1)
	starts := f.plan()
	f.accept(starts)
	f.s.SetWave(machine.Wave{Number: 1, Machines: []machine.ID{"m-" + machine.ID(starts[0].To.ID)}, MaxUnavailable: 1, Within: time.Minute}, false, f.now, time.Unix(0, 0))
	if stops := f.stall(id, 4*time.Second); len(stops) != 1 {
		t.Errorf("stops %v within 4 s, want that of the stalled run", stops)
	}
}
