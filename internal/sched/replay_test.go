package sched

import (
	"fmt"
	"testing"

	"github.com/go-kit/log"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// replay is runners of 32 cores that carry out starts, and are polled every few passes.
type replay struct {
	*fixture
	ids   []runner.ID
	every int // passes between two polls of a runner
	// declared makes all runs count as resumed from a checkpoint, so that no run times are
	// learned.
	declared bool
	passes   int
	left     map[runner.ID]map[job.Task]float64                // seconds of work that the runs need
	work     func(t job.Task) float64                          // seconds of work of a task
	speed    func(t job.Task, on map[job.Task]float64) float64 // of a run beside others
}

func newReplay(t *testing.T, runners, every int) *replay {
	t.Helper()
	f := &replay{fixture: newFixture(t, 1), every: every, left: make(map[runner.ID]map[job.Task]float64)}
	f.s.Logger = log.NewNopLogger()
	f.speed = func(job.Task, map[job.Task]float64) float64 { return 1 }
	for i := range runners {
		in := info(runner.ID(fmt.Sprint("r", i)), "pool")
		in.Capacity = job.Resources{CPU: 32000, Mem: 64000}
		f.s.SetRunner(in, f.now)
		f.ids, f.left[in.ID] = append(f.ids, in.ID), make(map[job.Task]float64)
		f.report(in.ID)
	}
	f.s.RosterStored(f.s.Roster(f.now, false))
	return f
}

// pass lets the leader plan and the runners work, and returns the number of runs.
func (f *replay) pass() int {
	f.t.Helper()
	for _, c := range f.plan() {
		if c.Kind != StartRun {
			f.t.Fatalf("command %v, want starts alone", c)
		}
		f.left[c.To.ID][c.Task] = f.work(c.Task)
		f.accept([]Command{c})
	}
	f.passes++
	total := 0
	for i, id := range f.ids {
		for t := range f.left[id] {
			f.left[id][t] -= f.speed(t, f.left[id]) * fullPlanInterval.Seconds()
		}
		total += len(f.left[id])
		if f.passes%f.every != i%f.every {
			continue
		}
		for _, r := range f.s.runners[id].runs {
			r.resumed = f.declared
		}
		var runs []runner.Run
		var results []runner.RunResult
		for _, t := range sortedTasks(f.left[id]) {
			if f.left[id][t] > 0 {
				runs = append(runs, runner.Run{Task: t, Attempt: 1, Percent: 50})
				continue
			}
			results = append(results, runner.RunResult{Seq: f.s.runners[id].applied + 1 + len(results), Task: t, Attempt: 1})
			delete(f.left[id], t)
		}
		f.results[id] = results
		f.report(id, runs...)
	}
	f.flush()
	return total
}
