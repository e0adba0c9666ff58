package sched

import (
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/machine"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// TestReturnedMachineUnused guards against a machine that the next leader keeps out of
// use though it has returned from its maintenance, while no machines can be listed.
func TestReturnedMachineUnused(t *testing.T) {
	for name, in := range map[string]Intent{"accepted": {AcceptedWave: 1}, "without a reply": {Term: 1, PendingWave: 1}} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2)
			f.s.Limits.MaintenanceTime = 4 * time.Second
			f.s.IntentsStored(map[machine.ID]Intent{"m-a": in})
			f.runner("a")
			f.s.SetWave(machine.Wave{Number: 1, Machines: []machine.ID{"m-a"}, MaxUnavailable: 1, Within: time.Minute}, false, f.now, time.Unix(0, 0))
			lasting := f.job(1, job.Step{LongRunning: true})
			for begin := f.now; f.now.Sub(begin) < 2*time.Second; f.now += second / 10 {
				f.report("a", f.running(f.s.runners["a"])...)
				for _, c := range f.maintenances() {
					f.s.HandleMachineReply(&c, machine.Accepted, true, f.now)
				}
			}
			if f.waitingTasks(lasting) > 0 {
				t.Error("a long-running task waits for 2 s, while the runner of the machine replies")
			}
		})
	}
}

// TestIntentOfEarlierTermKept guards against leaders that each wait for a machine to
// which only one long before them had sent a command.
func TestIntentOfEarlierTermKept(t *testing.T) {
	for name, in := range map[string]Intent{"move": {Term: 1}, "accepted": {Term: 1, AcceptedWave: 1, PendingWave: 1}} {
		f := newFixture(t, 2)
		f.s.Limits.MachineTakeover = 5 * time.Second
		f.s.IntentsStored(map[machine.ID]Intent{"m-a": in})
		f.now += 4 * second
		if got, _ := f.s.Intents(f.now); got["m-a"] != in {
			t.Errorf("%s: intent %+v while a command of the previous leader may arrive, want %+v", name, got["m-a"], in)
		}
		f.now += 2 * second
		if got, _ := f.s.Intents(f.now); got["m-a"].Term != 0 || got["m-a"].AcceptedWave != in.AcceptedWave {
			t.Errorf("%s: intent %+v after that, want only the accepted wave", name, got["m-a"])
		}
	}
	pending := Intent{Term: 1, PendingWave: 2, AcceptedWave: 1}
	f := newFixture(t, 2)
	f.s.IntentsStored(map[machine.ID]Intent{"m-a": pending})
	f.now += second
	if got, _ := f.s.Intents(f.now); got["m-a"] != pending {
		t.Errorf("intent %+v of a maintenance that may be under way, want %+v", got["m-a"], pending)
	}
}

// TestRestartBeforeMaintenance guards against more machines down than a wave allows: a
// runner that started again before its machine accepted the command counts as the one
// that returned from the maintenance.
func TestRestartBeforeMaintenance(t *testing.T) {
	f := newFixture(t, 1)
	f.s.Limits.MaintenanceTime = 4 * time.Second
	f.runner("a", "b", "c", "d")
	f.s.SetWave(machine.Wave{Number: 1, Machines: []machine.ID{"m-a", "m-b"}, MaxUnavailable: 1, Within: time.Minute}, false, f.now, time.Unix(0, 0))
	c := f.maintenances()
	f.s.HandleMachineReply(&c[0], machine.Busy, true, f.now)
	f.now += second
	id := c[0].Machine[len("m-"):]
	f.restart(runner.ID(id), 2)
	if c = f.maintenances(); len(c) != 1 {
		t.Fatalf("commands %v, want the maintenance again", c)
	}
	f.s.HandleMachineReply(&c[0], machine.Accepted, true, f.now)
	if got := f.maintenances(); len(got) != 0 {
		t.Errorf("commands %v while machine %s is down", got, c[0].Machine)
	}
}

// TestRejectedCommandKeepsCordon guards against a runner that is given no tasks for as long
// as the commands to its machine are rejected.
func TestRejectedCommandKeepsCordon(t *testing.T) {
	for v, want := range map[machine.Verdict]int{machine.Rejected: 1, machine.Fenced: 1, machine.Busy: 1, machine.Accepted: 0} {
		f := newFixture(t, 1)
		f.runner("a")
		f.s.SetWave(machine.Wave{Number: 1, Machines: []machine.ID{"m-a"}, MaxUnavailable: 1, Within: time.Minute}, false, f.now, time.Unix(0, 0))
		for _, c := range f.maintenances() {
			f.s.HandleMachineReply(&c, v, v != machine.Accepted, f.now) // accepted without a reply
		}
		f.job(1, job1)
		if got := len(ofKind(f.plan(), StartRun)); got != want {
			t.Errorf("%v: %d tasks started, want %d", v, got, want)
		}
	}
}

// TestDownMachineLeftOut guards against an overdue wave that is completed without a
// machine which is down for a while, and against one that waits for it with its other
// machines. Seen as review/10 of commit 60a2672 (MIXED).
func TestDownMachineLeftOut(t *testing.T) {
	f := newFixture(t, 1)
	f.s.Limits.MaintenanceTime = 4 * time.Second
	f.runner("a", "b")
	f.s.SetWave(machine.Wave{Number: 1, Machines: []machine.ID{"m-a", "m-b"}, MaxUnavailable: 1, Within: time.Second}, false, f.now, time.Unix(0, 0))
	accepted := make(map[machine.ID]int)
	for n := range 300 {
		f.now += second / 10
		f.s.SetMachines([]machine.Machine{{ID: "m-a", Pool: "pool", Runner: "a", State: machine.Down}, {ID: "m-b", Pool: "pool", Runner: "b"}}, f.now)
		f.report("a")
		f.report("b")
		for _, c := range f.maintenances() {
			v := machine.Accepted
			if c.Machine == "m-a" && n < 200 {
				v = machine.Busy
			} else {
				accepted[c.Machine] = n
			}
			f.s.HandleMachineReply(&c, v, true, f.now)
		}
		if f.s.waves[1].completed && n < 200 {
			t.Fatalf("completed after %d tenths of a second, maintenances %v", n, accepted)
		}
	}
	if accepted["m-a"] == 0 || accepted["m-b"] == 0 || accepted["m-b"] > 100 || !f.s.waves[1].completed {
		t.Errorf("completed %t, maintenances begun %v", f.s.waves[1].completed, accepted)
	}
}

// TestBusyMachineLeftOut guards against an overdue wave that is completed without a
// machine that was busy for a moment, and against one that waits for ever for a machine
// that stays busy.
func TestBusyMachineLeftOut(t *testing.T) {
	for name, stays := range map[string]bool{"for a moment": false, "stays busy": true} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.s.Limits.MaintenanceTime = 4 * time.Second
			f.runner("a")
			f.s.SetWave(machine.Wave{Number: 1, Machines: []machine.ID{"m-a"}, MaxUnavailable: 1, Within: time.Second}, false, f.now, time.Unix(0, 0))
			f.now += 10 * second
			accepted := false
			for n := range 300 {
				f.now += second / 10
				f.report("a")
				for _, c := range f.maintenances() {
					v := machine.Busy
					if !stays && n > 5 {
						v, accepted = machine.Accepted, true
					}
					f.s.HandleMachineReply(&c, v, true, f.now)
				}
			}
			if completed := f.s.waves[1].completed; !completed || accepted == stays {
				t.Errorf("completed %t, maintenance accepted %t", completed, accepted)
			}
		})
	}
}
