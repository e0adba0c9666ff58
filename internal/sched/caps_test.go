package sched

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
)

// capConfig returns a configuration with one workspace that may use some CPU.
func capConfig(cpu int) *job.Config {
	return job.NewConfig(3, []*job.Queue{
		{Name: "work", Service: "pool", MaxAttempts: 3, Stretch: 2, Target: time.Second},
		{Name: "surge", Service: "idle", MaxAttempts: 3, Stretch: 2, Target: time.Second},
	}, []*job.Service{{Name: "pool"}, {Name: "idle"}, {Name: "off", Standby: true}}, job.Limits{}, &job.Workspace{Name: "w", Cap: job.Resources{CPU: cpu}})
}

// jobOf adds a job of a workspace.
func (f *fixture) jobOf(workspace, queue, service string, n int, steps ...job.Step) {
	f.s.AddJob(&job.Job{ID: job.ID(fmt.Sprintf("%016x", n)), Queue: queue, Service: service, Workspace: workspace, Accepted: time.Unix(0, 0), Steps: steps}, 100, nil, 0, f.now, time.Unix(0, 0))
}

// TestCapInPlanning guards against starts above a cap, in full for best-effort tasks;
// against a cap that holds back other jobs, stops runs when it is lowered, or is not used
// when it is raised; and against a job that can never start without one line that tells so.
func TestCapInPlanning(t *testing.T) {
	f := newFixture(t, 1)
	tooLarge := 0
	f.s.Logger = log.LoggerFunc(func(kv ...any) error {
		if strings.Contains(fmt.Sprint(kv...), "exceeds the cap") {
			tooLarge++
		}
		return nil
	})
	f.s.Configure(capConfig(2000))
	f.runner("a", "b")
	one := job.Resources{CPU: 1000, Mem: 1}
	f.jobOf("w", "work", "pool", 1, job.Step{Count: 1, Resources: one, BestEffort: true, Estimate: time.Second})
	f.jobOf("w", "work", "pool", 2, job.Step{Count: 4, Resources: one, Estimate: time.Second})
	f.jobOf("w", "work", "pool", 3, job.Step{Count: 3, Resources: one, Estimate: time.Second, Gang: true})
	f.jobOf("", "work", "pool", 4, job.Step{Count: 2, Resources: one, Estimate: 9 * time.Second})
	check := func(what string, starts, stops int) {
		t.Helper()
		commands := f.plan()
		got := ofKind(commands, StartRun)
		if len(got) != starts || len(ofKind(commands, StopRun)) != stops {
			t.Errorf("%s: %d starts and %d stops, want %d and %d", what, len(got), len(ofKind(commands, StopRun)), starts, stops)
		}
		f.accept(got)
	}
	check("at first", 4, 0)
	check("at the cap", 0, 0)
	if n := f.s.Stats().Capped; n != 1 {
		t.Errorf("%d workspaces at their cap, want 1", n)
	}
	f.s.Configure(capConfig(1000))
	check("lowered", 0, 0)
	f.s.Configure(capConfig(3000))
	check("raised", 1, 0)
	f.s.Configure(capConfig(2000))
	if tooLarge != 1 {
		t.Errorf("%d lines on the gang of 3 tasks, want 1", tooLarge)
	}
}

// TestCappedWorkNeedsNoMachines guards against machines that are moved to a pool for work
// that the cap of a workspace keeps from starting.
func TestCappedWorkNeedsNoMachines(t *testing.T) {
	for _, c := range []struct {
		workspace   string
		longRunning bool
		moves       bool
	}{{"", false, true}, {"w", false, false}, {"", true, true}, {"w", true, false}} {
		f := newPoolFixture(t)
		f.s.Configure(capConfig(1000))
		f.settle(1)
		for n := range 40 {
			f.jobOf(c.workspace, "surge", "idle", 100+n, job.Step{Count: 8, Resources: job.Resources{CPU: 1000, Mem: 100}, Estimate: 800 * time.Millisecond, LongRunning: c.longRunning})
		}
		f.settle(12)
		moves := 0
		for _, to := range f.moves() {
			if to == "idle" {
				moves++
			}
		}
		if moves > 0 != c.moves {
			t.Errorf("workspace %q, long-running %t: %d machines move to the pool, want some: %t", c.workspace, c.longRunning, moves, c.moves)
		}
	}
}

// TestTooLargeTasksLeaveDemand guards against a job that can never start below the cap and
// takes from the demand of the other work of its workspace, which the cap allows to start.
func TestTooLargeTasksLeaveDemand(t *testing.T) {
	f := newFixture(t, 1)
	f.s.Configure(capConfig(10000))
	f.runner("a")
	f.jobOf("w", "work", "pool", 1, job.Step{Count: 100, Resources: job.Resources{CPU: 12000, Mem: 1}, Estimate: time.Second})
	f.jobOf("w", "surge", "idle", 2, job.Step{Count: 8, Resources: job.Resources{CPU: 1000, Mem: 1}, Estimate: time.Second})
	f.plan()
	st := f.s.jobs["0000000000000002"].occs[0].steps[0]
	if st.startable != 8 {
		t.Errorf("%d of 8 tasks count as demand of their pool, want all", st.startable)
	}
	if d := st.occ.job.account.Demand(); d.Held != 100 || d.Tasks != 108 {
		t.Errorf("%d of %d waiting tasks are held, want 100 of 108", d.Held, d.Tasks)
	}
}

// TestReserveAfterRaisedCap guards against a long-running task that loses its precedence
// within its workspace for good because its cap was once lower than the task.
func TestReserveAfterRaisedCap(t *testing.T) {
	f := newFixture(t, 1)
	f.s.Configure(capConfig(1000))
	f.jobOf("w", "work", "pool", 1, job.Step{Count: 1, Resources: job.Resources{CPU: 2000, Mem: 1}, LongRunning: true})
	f.plan()
	f.s.Configure(capConfig(3000))
	f.now += second / 10
	f.plan()
	if got := f.s.jobs["0000000000000001"].account.Demand().LongRunning.CPU; got != 2000 {
		t.Errorf("%d thousandths of a core are left for the long-running task, want 2000", got)
	}
}

// TestStalledCopyAtCap guards against a workspace at its cap whose speculative runs use no
// CPU and go on for ever, since there is no room below the cap for copies of them.
func TestStalledCopyAtCap(t *testing.T) {
	f := newFixture(t, 1)
	f.s.Configure(capConfig(1000))
	f.runner("a", "b")
	f.jobOf("w", "work", "pool", 1, job.Step{Count: 1, Resources: job.Resources{CPU: 1000, Mem: 1}, Speculative: true, Estimate: time.Second})
	f.accept(f.plan())
	if stops := f.stall("0000000000000001", 4*time.Second); len(stops) != 1 {
		t.Errorf("stops %v within 4 s, want that of the stalled run", stops)
	}
}
