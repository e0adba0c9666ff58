package sched

import (
	"testing"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// TestCapacityOfPreviousIncarnation guards against starts by the capacity and
// the labels of an incarnation that has ended: a runner that starts again may be
// of another kind, and its reports name its start but not its capacity.
func TestCapacityOfPreviousIncarnation(t *testing.T) {
	forBoth(t, func(t *testing.T, f *fixture) {
		i := info("a", "pool")
		i.Labels = []string{"fast", "r"}
		f.s.SetRunner(i, f.now)
		f.runner("a")
		f.s.SetRunner(i, f.now)
		restarted := func() {
			f.s.HandleReport(f.s.runners["a"].target(), f.now, f.now, &runner.Report{Incarnation: 2, Clock: clock.RunnerTime(f.now / clock.BootTime(1e6))})
			f.s.RosterStored(f.s.Roster(f.now, false))
		}
		restarted()
		f.job(1, job.Step{Count: 3})
		f.job(2, job.Step{Label: "fast"})
		wantStarts(t, f.prepared(f.plan()), 0, "before the entry of the new incarnation is known")
		i.Incarnation, i.Labels, i.Capacity = 2, []string{"slow", "r"}, job.Resources{CPU: 2000, Mem: 8000}
		f.s.SetRunner(i, f.now)
		restarted()
		got := f.prepared(f.plan())
		wantStarts(t, got, 2, "by the entry of the new incarnation")
		for _, c := range got {
			if c.Task.Job != "0000000000000001" {
				t.Errorf("%v started without its label", c)
			}
		}
	})
}
