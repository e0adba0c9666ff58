package sched

import (
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
)

// TestWaveCordonsPoolOfLongRunningTasks guards against a wave that cordons all runners
// of a pool for good, since the long-running tasks on them fit on no other runner: no
// batch job of the pool was started any more, and no machine had its maintenance. Seen
// as review/7 (LOST).
func TestWaveCordonsPoolOfLongRunningTasks(t *testing.T) {
	for name, c := range map[string]struct {
		step    job.Step
		upkeeps int
	}{
		"limit of tasks per runner": {job.Step{Count: 6, LongRunning: true, MaxUnavailable: 1, PerRunner: 1}, 6},
		"size":                      {job.Step{Count: 6, LongRunning: true, MaxUnavailable: 1, Resources: job.Resources{CPU: 2500, Mem: 10}}, 6},
		"two at once":               {job.Step{Count: 6, LongRunning: true, MaxUnavailable: 2, PerRunner: 1}, 6},
		// The task without room leaves no other one that may be away as well.
		"one task too many": {job.Step{Count: 7, LongRunning: true, MaxUnavailable: 1, PerRunner: 1}, 0},
		// Both tasks of a machine would be away at once.
		"two of a step": {job.Step{Count: 12, LongRunning: true, MaxUnavailable: 1, PerRunner: 2}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 6)
			f.submit(c.step)
			f.run(2 * time.Second)
			f.wave(1, 6, 26*time.Second, f.machines...)
			if d := f.run(40 * time.Second); d > 3*time.Second {
				t.Errorf("no batch task was started for %v", d)
			}
			if n := f.upkeeps(1); n != c.upkeeps {
				t.Errorf("%d machines had their maintenance, want %d", n, c.upkeeps)
			}
			for _, x := range f.faults {
				t.Error(x)
			}
		})
	}
}

// TestBlockedDrainGivenBack guards against a runner that stays cordoned for a wave after
// the only room for its long-running task was lost.
func TestBlockedDrainGivenBack(t *testing.T) {
	f := newFleet(t, 3)
	f.submit(job.Step{Count: 2, LongRunning: true, MaxUnavailable: 1, PerRunner: 1})
	f.run(2 * time.Second)
	f.s.Limits.Settle = time.Second // the task does not leave before
	f.changeLeader()
	f.pass()
	var leaving, room *fleetMachine
	for _, m := range f.machines {
		if rs := f.s.runners[m.id]; rs.longRunning > 0 {
			leaving = m
		} else {
			room = m
		}
	}
	f.wave(1, 1, time.Minute, leaving)
	f.pass()
	if !f.s.runners[leaving.id].cordoned {
		t.Fatal("the machine is not drained while another runner has room")
	}
	room.silentUntil = f.now.Add(time.Minute)
	f.s.PollFailed(room.id, f.now)
	f.run(drainTimeout + time.Second)
	if f.s.runners[leaving.id].cordoned {
		t.Error("the runner is still cordoned")
	}
	room.silentUntil = 0
	f.run(3 * time.Second)
	if n := f.upkeeps(1); n != 1 {
		t.Errorf("%d machines had their maintenance once there was room again, want 1", n)
	}
}

// TestTasksMovedToAndFro guards against a wave that takes two machines in turn, again and
// again, for tasks that fit on the other one singly but not together: one task of a
// machine moves each time, and the machine is given back for the others.
func TestTasksMovedToAndFro(t *testing.T) {
	f := newFleet(t, 3)
	for _, cpu := range []int{3900, 2500, 1300, 1300} {
		f.submit(job.Step{LongRunning: true, Resources: job.Resources{CPU: cpu, Mem: 10}})
		f.run(time.Second)
	}
	f.wave(1, 2, 2*time.Minute, f.machines[1], f.machines[2])
	stops := 0
	for end := f.now + 60*second; f.now < end; {
		f.pass()
		stops += len(ofKind(f.commands, StopRun))
	}
	if stops > len(f.machines) {
		t.Errorf("long-running tasks are moved %d times in a minute, and no machine has its maintenance", stops)
	}
}
