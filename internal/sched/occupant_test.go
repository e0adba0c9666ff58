package sched

import (
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/machine"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// TestOddEntryHidesRunnerOfMachine guards against a wave that ends what runs on a machine
// at once, because an entry of another writer has taken the place of its runner. Seen as
// review/10 (AVAIL).
func TestOddEntryHidesRunnerOfMachine(t *testing.T) {
	for name, odd := range map[string]func(i *runner.Info){
		"unknown service": func(i *runner.Info) { i.ID, i.Service, i.Incarnation = "odd-"+i.ID, "warehouse", 99 },
		"known service":   func(i *runner.Info) { i.ID, i.Incarnation = "odd-"+i.ID, 99 },
		"no machine":      func(i *runner.Info) { i.Machine = "" },
		"another machine": func(i *runner.Info) { i.Machine = "m-x" },
	} {
		for _, change := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				f := newFleet(t, 6)
				f.submit(job.Step{Count: 3, LongRunning: true, MaxUnavailable: 1, PerRunner: 1})
				f.run(2 * time.Second)
				var listed []machine.Machine
				var leaving []*fleetMachine
				for _, m := range f.machines {
					i := info(m.id, "pool")
					listed = append(listed, machine.Machine{ID: machine.ID(i.Machine), Pool: "pool", Runner: m.id})
					if f.s.runners[m.id].longRunning > 0 {
						leaving = append(leaving, m)
						odd(&i)
						f.odd = append(f.odd, i)
					}
				}
				if change {
					f.changeLeader()
				}
				f.s.SetMachines(listed, f.now)
				f.run(time.Second)
				f.wave(1, 3, 10*time.Second, leaving...)
				f.run(20 * time.Second)
				if n := f.upkeeps(1); n != 3 {
					t.Errorf("%d machines had their maintenance, want 3", n)
				}
				for _, x := range f.faults {
					t.Error(x)
				}
			})
		}
	}
}

// TestSilentRunnerOfNewTerm guards against a new leader that takes a machine down whose
// runner has not replied to it, though what runs there is not known.
func TestSilentRunnerOfNewTerm(t *testing.T) {
	f := newFleet(t, 3)
	f.submit(job.Step{Count: 1, LongRunning: true, MaxUnavailable: 1})
	f.run(2 * time.Second)
	f.changeLeader()
	for _, m := range f.machines {
		if len(m.runs) > 0 {
			f.s.PollFailed(m.id, f.now)
			m.silentUntil = f.now + 2*second // it is cut off, and its task goes on
		}
	}
	f.wave(1, 3, time.Second, f.machines...)
	f.run(20 * time.Second)
	for _, x := range f.faults {
		t.Error(x)
	}
	if n := f.upkeeps(1); n != 3 {
		t.Errorf("%d machines had their maintenance, want 3", n)
	}
}
