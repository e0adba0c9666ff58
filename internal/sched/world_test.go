package sched

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/go-kit/log"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// world drives a State by hand: one service "pool" with one queue "work".
type world struct {
	t      *testing.T
	s      *State
	now    clock.BootTime
	ends   map[runner.ID][]runner.RunResult
	orders []Command
}

const second = clock.BootTime(time.Second)

func newWorld(t *testing.T, term runner.Term) *world {
	t.Helper()
	w := &world{t: t, now: 1000 * second, ends: make(map[runner.ID][]runner.RunResult)}
	w.s = New(term, w.now, Limits{MaxRunnerLease: 6 * time.Second, OutcomeRetention: time.Minute, RunnerTakeover: 15 * time.Second}, testLogger(t))
	w.s.Configure(job.NewConfig(1, []*job.Queue{{Name: "work", Service: "pool", MaxAttempts: 3, Stretch: 2, Target: time.Second}},
		[]*job.Service{{Name: "pool", EnforcesCapacity: true}}, job.Limits{}))
	return w
}

func info(id runner.ID, service string) runner.Info {
	return runner.Info{
		ID: id, Incarnation: 1, Machine: "m-" + string(id), Service: service, Addr: netip.MustParseAddrPort("127.0.0.1:9"),
		Zone: "z", Rack: "r", Capacity: job.Resources{CPU: 4000, Mem: 8000},
	}
}

// runner lists a runner that has answered a look.
func (w *world) runner(ids ...runner.ID) {
	for _, id := range ids {
		w.s.SetRunner(info(id, "pool"), w.now)
	}
	for _, id := range ids {
		w.report(id)
	}
	w.s.RosterStored(w.s.Roster(w.now, false))
}

// job accepts a job with one task a step, each after the one before.
func (w *world) job(n int, steps ...job.Step) job.ID {
	id := job.ID(fmt.Sprintf("%016x", n))
	for i := range steps {
		steps[i].Count = max(steps[i].Count, 1)
		if steps[i].Resources == (job.Resources{}) {
			steps[i].Resources = job.Resources{CPU: 1000, Mem: 100}
		}
		if steps[i].Estimate == 0 {
			steps[i].Estimate = time.Second
		}
	}
	j := &job.Job{ID: id, Queue: "work", Service: "pool", Spec: "s", Steps: steps, Accepted: time.Unix(0, 0)}
	w.s.AddJob(j, 100, nil, 0, w.now, time.Unix(0, 0))
	return id
}

// plan returns the orders of one whole plan.
func (w *world) plan() []Command {
	w.now = w.now.Add(slowPlan)
	w.s.InputCurrent(w.now)
	w.s.Plan(w.now, time.Unix(0, 0))
	w.orders = w.s.Commands()
	return w.orders
}

// report lets a runner list the given runs, and all its ends.
func (w *world) report(id runner.ID, runs ...runner.Run) {
	w.s.HandleReport(id, w.now, w.now, &runner.Report{
		Incarnation: 1, Clock: clock.RunnerTime(w.now / clock.BootTime(time.Millisecond)), Running: runs, Results: w.ends[id],
	})
}

// end adds an end to a runner's list.
func (w *world) end(id runner.ID, task job.Task, attempt int, c runner.Cause) {
	w.ends[id] = append(w.ends[id], runner.RunResult{Seq: len(w.ends[id]) + 1, Task: task, Attempt: attempt, Cause: c})
}

// flush stores all progress.
func (w *world) flush() {
	for rows := w.s.DirtyProgress(100); len(rows) > 0; rows = w.s.DirtyProgress(100) {
		w.s.ProgressStored(rows, 200)
	}
}

func (w *world) outcome(id job.ID) job.Outcome {
	w.flush()
	return w.s.Query(id).Outcome
}

// accept confirms starts.
func (w *world) accept(orders []Command) {
	for i := range orders {
		w.s.HandleReply(&orders[i], runner.Reply{}, true, true, w.now)
	}
}

func ofKind(orders []Command, k Kind) []Command {
	var r []Command
	for _, o := range orders {
		if o.Kind == k {
			r = append(r, o)
		}
	}
	return r
}

// job1 is a step with one task.
var job1 = job.Step{Count: 1}

// testLogger writes log lines to the test's output.
func testLogger(t *testing.T) log.Logger {
	return log.LoggerFunc(func(kv ...any) error {
		t.Log(kv...)
		return nil
	})
}
