package sched

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/machine"
)

// surge adds batch jobs to the pool "idle" that need more than the whole fleet.
func (f *fixture) surge() {
	f.s.Configure(job.NewConfig(3, []*job.Queue{
		{Name: "work", Service: "pool", MaxAttempts: 3, Stretch: 2, Target: time.Second},
		{Name: "surge", Service: "idle", MaxAttempts: 3, Stretch: 2, Target: time.Second},
	}, []*job.Service{{Name: "pool"}, {Name: "idle"}, {Name: "off", Standby: true}}, job.Limits{}))
	for n := range 40 {
		f.s.AddJob(&job.Job{ID: job.ID(fmt.Sprintf("5%015x", n)), Queue: "surge", Service: "idle", Accepted: time.Unix(0, 0), Steps: []job.Step{
			{Count: 8, Resources: job.Resources{CPU: 1000, Mem: 100}, Estimate: 800 * time.Millisecond},
		}}, 100, nil, 0, f.now, time.Unix(0, 0))
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
	n := 0
	for _, ms := range f.s.machineStates {
		if ms.movingTo == "pool" {
			n++
		}
	}
	if n == 0 {
		t.Error("no machine moves to the pool in which a task fits nowhere")
	}
}
