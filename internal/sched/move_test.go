package sched

import (
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/machine"
)

// TestMoveOfLongRunningTasks guards against a runner that is out of use, and a machine
// that counts for the pool that it never joins, for as long as the long-running tasks
// last that were started there while no machines could be listed.
func TestMoveOfLongRunningTasks(t *testing.T) {
	f := newPoolFixture(t)
	f.s.Limits.MachineTakeover = time.Second
	f.s.Configure(job.NewConfig(3, []*job.Queue{{Name: "work", Service: "pool", MaxAttempts: 3, Stretch: 2, Target: time.Second}, {Name: "other", Service: "idle", MaxAttempts: 3}},
		[]*job.Service{{Name: "pool"}, {Name: "idle"}, {Name: "off", Standby: true}}, job.Limits{}))
	for n := 1; n <= 20; n++ {
		f.job(n, job.Step{Count: 8})
	}
	moves := 0
	for id, to := range f.moves() {
		f.s.HandleMachineReply(&Command{Kind: MoveMachine, Machine: id, Pool: to}, 0, false, f.now)
		if f.s.runnerOf(id) != nil {
			moves++
		}
	}
	if moves == 0 {
		t.Fatal("no machine of the idle pool moves")
	}
	f.now = f.now.Add(2 * maxListAge)
	lasting := job.Job{ID: "00000000000000ff", Queue: "other", Service: "idle", Accepted: time.Unix(0, 0), Steps: []job.Step{{Count: 8, LongRunning: true, PerRunner: 1, Resources: job.Resources{CPU: 1000, Mem: 1}}}}
	f.s.AddJob(&lasting, 100, nil, 0, f.now, time.Unix(0, 0))
	f.settle(5)
	if n := f.waitingTasks(lasting.ID); n > 0 {
		t.Fatalf("%d long-running tasks are not started while no machines can be listed", n)
	}
	f.s.SetMachines(machinesOf(f.s), f.now)
	f.settle(int(2 * time.Second / fullPlanInterval))
	for _, rs := range f.s.byPool["idle"] {
		if ms := f.s.machineStates[machine.ID(rs.Machine)]; ms.movingTo != "" || rs.cordoned {
			t.Errorf("runner %s with %d runs is cordoned for a move of its machine to %s", rs.ID, len(rs.runs), ms.movingTo)
		}
	}
}
