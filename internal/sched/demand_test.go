package sched

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/machine"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// surge adds batch jobs to the pool "idle" that need more than the whole fleet.
func (f *fixture) surge() {
	f.s.Configure(job.NewConfig(3, []*job.Queue{
		{Name: "work", Service: "pool", MaxAttempts: 3, Stretch: 2, Target: time.Second},
		{Name: "surge", Service: "idle", MaxAttempts: 3, Stretch: 2, Target: time.Second},
	}, []*job.Service{{Name: "pool"}, {Name: "idle"}, {Name: "off", Standby: true}}, job.Limits{}))
	f.surgeOf(40, job.Step{Count: 8, Resources: job.Resources{CPU: 1000, Mem: 100}, Estimate: 800 * time.Millisecond})
}

func (f *fixture) surgeOf(jobs int, step job.Step) {
	for range jobs {
		id := job.ID(fmt.Sprintf("5%015x", len(f.s.jobs)))
		f.s.AddJob(&job.Job{ID: id, Queue: "surge", Service: "idle", Accepted: time.Unix(0, 0), Steps: []job.Step{step}}, 100, nil, 0, f.now, time.Unix(0, 0))
	}
}

// TestSurgeTakesMachinesOfLongRunningTasks guards against a surge that takes the idle
// machines of another pool on which its long-running tasks are about to start.
func TestSurgeTakesMachinesOfLongRunningTasks(t *testing.T) {
	f := newPoolFixture(t)
	f.s.Term = 200
	f.s.InheritRoster([]RosterEntry{{ID: "previous"}})
	f.s.RosterStored(f.s.Roster(f.now, false))
	lasting := f.job(1, job.Step{LongRunning: true, Count: 7, PerRunner: 1, Resources: job.Resources{CPU: 100, Mem: 1}})
	f.surge()
	for id, to := range f.moves() {
		if rs := f.s.runnerOf(id); rs != nil && rs.Service == "pool" {
			t.Errorf("machine %s moves to %s, though 7 tasks of the pool of 8 need one each", id, to)
		}
	}
	delete(f.s.inherited, "previous")
	f.settle(2)
	if n := f.waitingTasks(lasting); n > 0 {
		t.Errorf("%d tasks wait", n)
	}
}

// TestMachinesOfWaitingTasksLeave guards against a pool that gives away the machines
// of tasks that may not be started yet, because it should need fewer: tasks that run
// leave no room for them on the others.
func TestMachinesOfWaitingTasksLeave(t *testing.T) {
	f := newPoolFixture(t)
	f.s.Term = 200
	const n = 4
	var names []string
	for i := range n {
		names = append(names, job.Task{Job: "0000000000000002", Index: i}.String())
	}
	f.s.InheritRoster([]RosterEntry{{ID: "previous", Closed: true, Remaining: 10 * time.Second, Tasks: names}})
	f.s.RosterStored(f.s.Roster(f.now, false))
	f.job(1, job.Step{LongRunning: true, Count: n, Resources: job.Resources{CPU: 100, Mem: 8000}})
	f.settle(2)
	lasting := f.job(2, job.Step{LongRunning: true, Count: n, PerRunner: 1, Resources: job.Resources{CPU: 100, Mem: 1}})
	f.settle(8) // until the runners to hold are chosen again
	f.surge()
	f.settle(2)
	f.s.inherited = make(map[runner.ID]*inherited)
	f.settle(2)
	if n := f.waitingTasks(lasting); n > 0 {
		t.Errorf("%d tasks wait", n)
	}
}

// TestLongRunningNeedsBeyondFleet guards against a pool that takes the machines of
// all others if the long-running tasks need more than the fleet.
func TestLongRunningNeedsBeyondFleet(t *testing.T) {
	s := newPoolFixture(t).s
	ds := []*poolDemand{{pool: "a", longRunning: 40, timely: 50}, {pool: "b", longRunning: 10, timely: 10}, {pool: "c", timely: 30}}
	s.scaleToFleet(ds)
	sum := 0
	for _, d := range ds {
		sum += d.timely
		if d.timely < baseMachines {
			t.Errorf("pool %s has %d machines, want the base at least", d.pool, d.timely)
		}
	}
	if sum > len(s.machineStates) {
		t.Errorf("%d machines needed after scaling, want at most %d", sum, len(s.machineStates))
	}
	if ds[0].timely <= ds[1].timely {
		t.Errorf("pools have %d and %d machines, want more for the larger need", ds[0].timely, ds[1].timely)
	}
}

// TestLongRunningTaskInFullFleet guards against a long-running task without a run,
// because batch work of another pool needs more machines than the fleet has: one of
// them is counted, and is unreachable.
func TestLongRunningTaskInFullFleet(t *testing.T) {
	f := newPoolFixture(t)
	f.s.SetMachines(slices.DeleteFunc(machinesOf(f.s), func(m machine.Machine) bool { return m.Pool == "off" }), f.now)
	f.job(1, job.Step{LongRunning: true, Count: 7, Resources: job.Resources{CPU: 100, Mem: 8000}})
	f.settle(2)
	f.s.PollFailed("idle7", f.now)
	f.surge()
	f.settle(2)
	lasting := f.job(2, job.Step{LongRunning: true, Count: 2, Resources: job.Resources{CPU: 100, Mem: 8000}})
	f.settle(2)
	if n := f.waitingTasks(lasting); n != 1 {
		t.Fatalf("%d tasks wait, want 1", n)
	}
	f.settle(2)
	if n := len(f.movingTo("pool")); n == 0 {
		t.Error("no machine moves to the pool in which a task fits nowhere")
	}
}

// movingTo returns the machines of which a move to a pool is planned.
func (f *fixture) movingTo(pool string) []machine.ID {
	var ids []machine.ID
	for id, ms := range f.s.machineStates {
		if ms.movingTo == pool {
			ids = append(ids, id)
		}
	}
	return ids
}

// TestMachineWithLongRunsTaken guards against a long-running task that waits for the
// runs of the machine that is moved for it, though those of another one end sooner.
func TestMachineWithLongRunsTaken(t *testing.T) {
	f := newPoolFixture(t)
	f.s.SetMachines(slices.DeleteFunc(machinesOf(f.s), func(m machine.Machine) bool { return m.Pool == "off" }), f.now)
	whole := job.Resources{CPU: 100, Mem: 8000}
	f.job(1, job.Step{LongRunning: true, Count: 7, Resources: whole})
	f.surgeOf(7, job.Step{Count: 1, Resources: whole, Estimate: 10 * time.Second})
	f.settle(2)
	f.surgeOf(1, job.Step{Count: 4, Resources: job.Resources{CPU: 1000, Mem: 100}, Estimate: time.Second})
	f.settle(2)
	f.job(2, job.Step{LongRunning: true, Count: 1, Resources: whole})
	f.settle(2)
	if n := len(f.movingTo("pool")); n != 1 {
		t.Fatalf("%d machines move to the pool, want 1", n)
	}
	for _, id := range f.movingTo("pool") {
		if n := len(f.s.runnerOf(id).runs); n != 4 {
			t.Errorf("machine %s moves with %d runs that take 10 s, want that with runs that take 1 s", id, n)
		}
	}
}

// TestIdleRunnerTakesNoTask guards against a long-running task that waits without a
// new machine, because its pool has an idle runner on which it may not be started.
func TestIdleRunnerTakesNoTask(t *testing.T) {
	for name, rule := range map[string]func(f *fixture, rs *runnerState){
		"quarantined": func(f *fixture, rs *runnerState) { rs.health.quarantinedUntil = f.now.Add(maxQuarantine) },
		"isolated":    func(f *fixture, rs *runnerState) { rs.isolated = f.s.jobs[f.job(9, job1)] },
	} {
		t.Run(name, func(t *testing.T) {
			f := newPoolFixture(t)
			f.job(1, job.Step{LongRunning: true, Count: 4, Resources: job.Resources{CPU: 100, Mem: 8000}})
			f.settle(2)
			rule(f, f.s.byPool["pool"][slices.IndexFunc(f.s.byPool["pool"], func(rs *runnerState) bool { return len(rs.runs) == 0 })])
			f.job(2, job.Step{LongRunning: true, Count: 4, PerRunner: 1, Resources: job.Resources{CPU: 100, Mem: 1}})
			f.settle(2)
			if n := len(f.movingTo("pool")); n != 1 {
				t.Errorf("%d machines move to the pool, want 1", n)
			}
		})
	}
}

// TestMachineOfTimelyWorkTaken guards against two moves in place of one: long-running
// tasks get an idle machine that timely work of its pool needs, which is replaced by one
// that is powered off.
func TestMachineOfTimelyWorkTaken(t *testing.T) {
	f := newPoolFixture(t)
	f.s.indexStandby()
	ds := f.s.poolDemands(f.now)
	for _, d := range ds {
		d.timely = d.machines
		if d.pool == "pool" {
			d.longRunning, d.timely = d.machines+1, d.machines+1
		}
		d.target = d.timely
	}
	for _, w := range []work{longRunningWork, timelyWork, allWork} {
		f.s.fill(ds, w, f.now)
	}
	for _, ms := range f.s.machineStates {
		if ms.movingTo != "" && ms.Pool != "off" {
			t.Errorf("machine %s moves from %s to %s, though one is powered off", ms.ID, ms.Pool, ms.movingTo)
		}
	}
	if n := len(f.movingTo("pool")); n != 1 {
		t.Errorf("%d machines move to the pool, want 1", n)
	}
}
