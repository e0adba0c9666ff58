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

// fixture drives a State directly: one service "pool" with one queue "work".
type fixture struct {
	t        *testing.T
	s        *State
	now      clock.BootTime
	results  map[runner.ID][]runner.RunResult
	commands []Command
	// incarnation is that of the runners.
	incarnation runner.Incarnation
}

const second = clock.BootTime(time.Second)

func newFixture(t *testing.T, term runner.Term) *fixture {
	t.Helper()
	f := &fixture{t: t, now: 1000 * second, incarnation: 1, results: make(map[runner.ID][]runner.RunResult)}
	f.s = New(term, f.now, Limits{MaxRunnerLease: 6 * time.Second, OutcomeRetention: time.Minute, RunnerTakeover: 15 * time.Second}, testLogger(t))
	f.s.Configure(job.NewConfig(1, []*job.Queue{{Name: "work", Service: "pool", MaxAttempts: 3, Stretch: 2, Target: time.Second}},
		[]*job.Service{{Name: "pool", EnforcesCapacity: true}}, job.Limits{}))
	return f
}

func info(id runner.ID, service string) runner.Info {
	return runner.Info{
		ID: id, Incarnation: 1, Machine: "m-" + string(id), Service: service, Addr: netip.MustParseAddrPort("127.0.0.1:9"),
		Zone: "z", Rack: "r", Capacity: job.Resources{CPU: 4000, Mem: 8000},
	}
}

// runner registers runners that have replied to a poll.
func (f *fixture) runner(ids ...runner.ID) {
	for _, id := range ids {
		i := info(id, "pool")
		i.Incarnation = f.incarnation
		f.s.SetRunner(i, f.now)
	}
	for _, id := range ids {
		f.report(id)
	}
	f.s.RosterStored(f.s.Roster(f.now, false))
}

// job adds a job. Each step has one task unless its Count is set.
func (f *fixture) job(n int, steps ...job.Step) job.ID {
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
	f.s.AddJob(j, 100, nil, 0, f.now, time.Unix(0, 0))
	return id
}

// plan returns the commands of a full planning pass.
func (f *fixture) plan() []Command {
	f.now = f.now.Add(fullPlanInterval)
	f.s.InputCurrent(0, f.now)
	f.s.Plan(f.now, time.Unix(0, 0))
	f.commands = f.s.Commands()
	return f.commands
}

// report lets a runner report the given runs and all its results.
func (f *fixture) report(id runner.ID, runs ...runner.Run) {
	f.s.HandleReport(f.s.runners[id].target(), f.now, f.now, &runner.Report{
		Incarnation: f.incarnation, Clock: clock.RunnerTime(f.now / clock.BootTime(time.Millisecond)), Running: runs, Results: f.results[id],
	})
}

// end adds a result to a runner.
func (f *fixture) end(id runner.ID, task job.Task, attempt int, c runner.Cause) {
	f.results[id] = append(f.results[id], runner.RunResult{Seq: len(f.results[id]) + 1, Task: task, Attempt: attempt, Cause: c})
}

// flush stores all progress.
func (f *fixture) flush() {
	for rows := f.s.DirtyProgress(100); len(rows) > 0; rows = f.s.DirtyProgress(100) {
		f.s.ProgressStored(rows, 200)
	}
}

func (f *fixture) outcome(id job.ID) job.Outcome {
	f.flush()
	return f.s.Query(id).Outcome
}

// accept confirms commands.
func (f *fixture) accept(commands []Command) {
	for i := range commands {
		f.s.HandleReply(&commands[i], runner.Reply{}, true, true, f.now)
	}
}

func ofKind(commands []Command, k Kind) []Command {
	var r []Command
	for _, c := range commands {
		if c.Kind == k {
			r = append(r, c)
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
