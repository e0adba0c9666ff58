package sched

import (
	"slices"
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
	f.s.SetWave(machine.Wave{Number: 1, Machines: []machine.ID{"m-" + machine.ID(leaving)}, MaxUnavailable: 1, Within: time.Minute}, false, f.now, time.Unix(0, 0))
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

// TestEvacuationWaitsForPreviousLeader guards against more tasks of a step that
// are away than may be, because a new leader stops one while the stop of another
// by the previous leader takes effect: a run that is being stopped is reported
// as running. Seen on trouble-2 --seed 234658845198 of hinokage-kyushu (AVAIL).
func TestEvacuationWaitsForPreviousLeader(t *testing.T) {
	f := newFixture(t, 2)
	f.s.Limits.Settle = 2 * time.Second
	lasting := f.job(1, job.Step{Count: 2, LongRunning: true, MaxUnavailable: 1})
	task := func(i int) job.Task { return job.Task{Job: lasting, Index: i} }
	f.s.SetRunner(info("a", "pool"), f.now)
	f.s.SetRunner(info("b", "pool"), f.now)
	f.s.SetRunner(info("c", "pool"), f.now)
	report := func(stopped bool) {
		f.report("a", runner.Run{Task: task(0), Attempt: 1, Percent: 100})
		if stopped {
			f.report("b")
		} else {
			f.report("b", runner.Run{Task: task(1), Attempt: 1, Percent: 100})
		}
		f.report("c")
	}
	report(false)
	f.s.RosterStored(f.s.Roster(f.now, false))
	f.s.SetWave(machine.Wave{Number: 1, Machines: []machine.ID{"m-a"}, MaxUnavailable: 1, Within: time.Minute}, false, f.now, time.Unix(0, 0))
	for range 10 {
		if stops := ofKind(f.plan(), StopRun); len(stops) > 0 {
			t.Fatalf("%v stopped %v after the start of the term", stops[0].Task, f.now.Sub(f.s.startedAt))
		}
	}
	f.end("b", task(1), 1, runner.Stopped) // by the previous leader
	report(true)
	f.now = f.now.Add(f.s.Limits.Settle)
	f.accept(f.plan())
	for _, c := range ofKind(f.commands, StopRun) {
		t.Errorf("%v stopped while the other task of its step is away", c.Task)
	}
}

// TestEvacuatedToLeavingRunner guards against a long-running task that is stopped
// for the room on a runner that leaves, too.
func TestEvacuatedToLeavingRunner(t *testing.T) {
	for name, machines := range map[string][]machine.ID{"drained": {"m-b"}, "same wave": {"m-a", "m-b"}} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.runner("a")
			lasting := f.job(1, job.Step{LongRunning: true, MaxUnavailable: 1})
			f.settle(2)
			b := info("b", "pool")
			b.Capacity.CPU = 8000
			f.s.SetRunner(b, f.now)
			f.report("b")
			f.s.RosterStored(f.s.Roster(f.now, false))
			f.job(2, job.Step{Resources: job.Resources{CPU: 5000, Mem: 100}})
			f.settle(2)
			f.s.SetWave(machine.Wave{Number: 1, Machines: machines, MaxUnavailable: 2, Within: 5 * time.Second}, false, f.now, time.Unix(0, 0))
			f.plan() // both machines of the wave begin to leave
			if name == "drained" {
				a := info("a", "pool")
				a.Draining = true
				f.s.SetRunner(a, f.now)
			}
			for range 5 {
				for _, c := range ofKind(f.plan(), StopRun) {
					if c.Task.Job == lasting {
						t.Fatal("long-running task stopped, with room only on a runner that leaves")
					}
				}
			}
		})
	}
}

// evacuation returns a fixture in which the only long-running task of each of n
// jobs runs on runner a, which leaves for a wave, and runner b is empty.
func evacuation(t *testing.T, n int, room, demand job.Resources) *fixture {
	t.Helper()
	f := newFixture(t, 1)
	f.runner("a")
	for i := range n {
		f.job(i+1, job.Step{LongRunning: true, MaxUnavailable: 1, Resources: demand})
	}
	f.settle(2)
	b := info("b", "pool")
	b.Capacity = room
	f.s.SetRunner(b, f.now)
	f.report("b")
	f.s.RosterStored(f.s.Roster(f.now, false))
	f.s.SetWave(machine.Wave{Number: 1, Machines: []machine.ID{"m-a"}, MaxUnavailable: 1, Within: time.Minute}, false, f.now, time.Unix(0, 0))
	return f
}

// settleStops is settle with all stops carried out, too.
func (f *fixture) settleStops(passes int) {
	for range passes {
		commands := f.plan()
		f.accept(commands)
		for _, c := range ofKind(commands, StopRun) {
			f.end(c.To.ID, c.Task, c.Attempt, runner.Stopped)
		}
		f.flush()
		for id, rs := range f.s.runners {
			f.report(id, f.running(rs)...)
		}
	}
}

// TestEvacuationsCountSameRoom guards against long-running tasks that are stopped
// for the same room, of which all but one then wait without a run.
func TestEvacuationsCountSameRoom(t *testing.T) {
	demand := job.Resources{CPU: 1000, Mem: 100}
	f := evacuation(t, 3, demand, demand)
	f.settleStops(lostPasses)
	waits := 0
	for id := range f.s.jobs {
		waits += f.waitingTasks(id)
	}
	if waits > 0 {
		t.Errorf("%d of 3 long-running tasks have no run %v after they were evacuated to room for one", waits, lostBound)
	}
}

// TestRoomOfEvacuatedTaskTaken guards against batch tasks that take the room for
// which a long-running task is being stopped.
func TestRoomOfEvacuatedTaskTaken(t *testing.T) {
	demand := job.Resources{CPU: 2000, Mem: 100}
	f := evacuation(t, 1, demand, demand)
	for range 10 {
		if len(ofKind(f.plan(), StopRun)) == 0 {
			continue
		}
		f.job(10, job.Step{Count: 100})
		f.settle(3)
		if n := len(f.s.runners["b"].runs); n > 0 {
			t.Errorf("%d batch runs on the runner that the long-running task is to move to", n)
		}
		return
	}
	t.Error("the long-running task was not stopped, with room for it")
}

// TestRoomOfEvacuatedTaskMoved guards against a machine that moves to another pool
// while a long-running task is being stopped for the room on it.
func TestRoomOfEvacuatedTaskMoved(t *testing.T) {
	f := newPoolFixture(t)
	f.job(1, job.Step{LongRunning: true, MaxUnavailable: 1})
	on := f.settle(2)[0].To.ID
	f.s.SetWave(machine.Wave{Number: 1, Machines: []machine.ID{"m-" + machine.ID(on)}, MaxUnavailable: 1, Within: time.Minute}, false, f.now, time.Unix(0, 0))
	for range 10 {
		if len(ofKind(f.plan(), StopRun)) > 0 {
			break
		}
	}
	kept := 0
	for _, rs := range f.s.byPool["pool"] {
		if len(rs.keptFor) == 0 {
			continue
		}
		kept++
		for _, d := range f.s.poolDemands(f.now) {
			if slices.Contains(d.idle, rs) {
				t.Errorf("runner %s may move to another pool", rs.ID)
			}
		}
	}
	if kept != 1 {
		t.Errorf("%d runners keep room for the long-running task, want 1", kept)
	}
}

// TestLargeTaskBehindBatch guards against a long-running task that needs most of a
// machine and never finds it, because batch tasks use each capacity that becomes
// free.
func TestLargeTaskBehindBatch(t *testing.T) {
	f := newFixture(t, 1)
	ids := []runner.ID{"a", "b", "c"}
	f.runner(ids...)
	f.job(1, job.Step{Count: 10000})
	f.settle(3)
	lasting := f.job(2, job.Step{LongRunning: true, Resources: job.Resources{CPU: 3000, Mem: 100}})
	for i := range lostPasses {
		on := ids[i%len(ids)]
		if runs := f.running(f.s.runners[on]); len(runs) > 0 && i%4 == 0 {
			f.end(on, runs[0].Task, runs[0].Attempt, runner.Done)
			f.report(on, runs[1:]...)
		}
		f.settle(1)
		if f.waitingTasks(lasting) == 0 {
			return
		}
	}
	t.Errorf("long-running task not started in %v, while %d batch tasks ended", lostBound, lostPasses/4)
}

// whether the tasks of a job are started.
func (f *fixture) behindBatch(lasting job.ID, ids ...runner.ID) bool {
	for i := range lostPasses {
		on := ids[i%len(ids)]
		if runs := f.running(f.s.runners[on]); len(runs) > 0 && i%4 == 0 {
			for k, r := range runs {
				if r.Task.Job != lasting {
					f.end(on, r.Task, r.Attempt, runner.Done)
					runs = append(runs[:k:k], runs[k+1:]...)
					break
				}
			}
			f.report(on, runs...)
		}
		f.settle(1)
		if f.waitingTasks(lasting) == 0 {
			return true
		}
	}
	return false
}

// TestLargeSuspectBehindBatch guards against a suspect that needs much of a runner
// and never finds it, because runners are held for other tasks only.
func TestLargeSuspectBehindBatch(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a", "b", "c")
	f.job(1, job.Step{Count: 10000})
	f.settle(3)
	lasting := f.job(2, job.Step{LongRunning: true, Resources: job.Resources{CPU: 3000, Mem: 100}})
	f.suspect(job.Task{Job: lasting})
	if !f.behindBatch(lasting, "a", "b", "c") {
		t.Errorf("suspect not started in %v, while batch tasks ended", lostBound)
	}
}

// TestQuarantinedRunnerHidesNeed guards against a task for which no runner is held,
// because one in quarantine has room.
func TestQuarantinedRunnerHidesNeed(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a", "b", "c")
	f.job(1, job.Step{Count: 10000})
	f.settle(3)
	f.runner("d")
	d := f.s.runners["d"]
	d.health.probing, d.health.quarantinedUntil = true, f.now.Add(time.Minute)
	lasting := f.job(2, job.Step{LongRunning: true, Resources: job.Resources{CPU: 3000, Mem: 100}})
	if !f.behindBatch(lasting, "a", "b", "c") {
		t.Errorf("task not started in %v, while batch tasks ended", lostBound)
	}
}

// TestHeldOncePerTask guards against one runner that is held for tasks which do not
// fit beside each other, which then wait for each other.
func TestHeldOncePerTask(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a", "b", "c", "d")
	f.job(1, job.Step{Count: 16})
	f.settle(3)
	for n := range 4 {
		f.job(2+n, job.Step{LongRunning: true, Resources: job.Resources{CPU: 3000, Mem: 100}})
	}
	f.settle(1)
	held := 0
	for _, rs := range f.s.runners {
		if rs.heldUntil.After(f.now) {
			held++
		}
	}
	if held != 4 {
		t.Errorf("%d runners held, want 4", held)
	}
}

// TestBriefBlockReleasesRoom guards against kept room that is given up when its runner
// is blocked for a moment, and taken by batch tasks.
func TestBriefBlockReleasesRoom(t *testing.T) {
	demand := job.Resources{CPU: 2000, Mem: 100}
	f := evacuation(t, 1, demand, demand)
	for range 10 {
		if len(ofKind(f.plan(), StopRun)) > 0 {
			break
		}
	}
	b := f.s.runners["b"]
	if len(b.keptFor) == 0 {
		t.Fatal("no room kept")
	}
	b.blockedUntil = f.now.Add(rejectedDelay)
	f.job(10, job.Step{Count: 100})
	f.settle(8)
	if n := len(b.runs); n > 0 {
		t.Errorf("%d batch runs on the runner that the long-running task is to move to", n)
	}
}

// TestWaveTakesKeptRoom guards against a wave that takes the machine on which room is
// kept for a stopped task, with another one that is as cheap.
func TestWaveTakesKeptRoom(t *testing.T) {
	demand := job.Resources{CPU: 2000, Mem: 100}
	f := evacuation(t, 1, demand, demand)
	for range 10 {
		if len(ofKind(f.plan(), StopRun)) > 0 {
			break
		}
	}
	f.runner("c", "d", "e", "f", "g", "h")
	f.s.SetWave(machine.Wave{Number: 2, Machines: []machine.ID{"m-b", "m-c"}, MaxUnavailable: 1, Within: time.Minute}, false, f.now, time.Unix(0, 0))
	f.plan()
	if f.s.runners["b"].cordoned {
		t.Error("the machine with the kept room leaves first")
	}
}

// TestSuspectTakesKeptRoom guards against room that is kept on a runner
// that is isolated for a suspect, with another runner free.
func TestSuspectTakesKeptRoom(t *testing.T) {
	demand := job.Resources{CPU: 2000, Mem: 100}
	f := evacuation(t, 1, job.Resources{CPU: 4000, Mem: 8000}, demand)
	for range 10 {
		if len(ofKind(f.plan(), StopRun)) > 0 {
			break
		}
	}
	f.runner("c", "d")
	f.suspect(job.Task{Job: f.job(2, job1)})
	f.plan()
	if b := f.s.runners["b"]; len(b.keptFor) == 0 || b.isolated != nil {
		t.Errorf("room kept for %d tasks, isolated %t", len(b.keptFor), b.isolated != nil)
	}
}

// TestRoomKeptAfterPoolChange guards against room that is kept in a pool without end
// for a task whose queue moved to another one.
func TestRoomKeptAfterPoolChange(t *testing.T) {
	demand := job.Resources{CPU: 2000, Mem: 100}
	f := evacuation(t, 1, demand, demand)
	for range 10 {
		if len(ofKind(f.plan(), StopRun)) > 0 {
			break
		}
	}
	f.s.Configure(job.NewConfig(2, []*job.Queue{{Name: "work", Service: "other", MaxAttempts: 3, Stretch: 2, Target: time.Second}},
		[]*job.Service{{Name: "pool", EnforcesCapacity: true}, {Name: "other", EnforcesCapacity: true}}, job.Limits{}))
	f.settle(300)
	if n := len(f.s.runners["b"].keptFor); n > 0 {
		t.Errorf("room still kept for %d tasks of another pool", n)
	}
}
