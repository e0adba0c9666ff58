package sched

import (
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/machine"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// upkeeps plans and stores intents until the plan is stable, and returns the
// orders to machines.
func (w *world) upkeeps() []Command {
	var all []Command
	for range 5 {
		all = append(all, ofKind(w.plan(), MaintainMachine)...)
		m, _ := w.s.Intents(w.now)
		w.s.IntentsStored(m)
	}
	return all
}

// TestCapAcrossTerms guards against a new leader that takes machines down
// beside those that its predecessor has just taken down, whose runners the
// store still lists.
func TestCapAcrossTerms(t *testing.T) {
	w := newWorld(t, 1)
	w.s.Limits.MaintenanceTime = 2 * time.Second
	w.runner("a", "b", "c", "d")
	wv := machine.Wave{Number: 1, Machines: []machine.ID{"m-a", "m-b", "m-c", "m-d"}, MaxUnavailable: 2, Within: time.Minute}
	w.s.SetWave(wv, false, w.now)
	first := w.upkeeps()
	if len(first) != 2 {
		t.Fatalf("first term ordered %d machines, want 2", len(first))
	}
	for i := range first {
		w.s.HandleMachineReply(&first[i], machine.Accepted, true, w.now)
	}
	intents, _ := w.s.Intents(w.now)

	next := newWorld(t, 2)
	next.s.Limits.MaintenanceTime = 2 * time.Second
	next.now = w.now
	next.s.IntentsStored(intents)
	next.runner("a", "b", "c", "d")
	next.s.SetWave(wv, false, next.now)
	if got := next.upkeeps(); len(got) != 0 {
		t.Errorf("second term ordered %v while two machines are down", got)
	}
	next.now += 3 * second
	for _, id := range []runner.ID{"a", "b", "c", "d"} {
		next.report(id)
	}
	got := next.upkeeps()
	if len(got) != 2 {
		t.Errorf("second term ordered %d machines after the others were back, want 2", len(got))
	}
	for _, o := range got {
		if o.Machine == first[0].Machine || o.Machine == first[1].Machine {
			t.Errorf("machine %s is ordered again", o.Machine)
		}
	}
}

// TestMachinesAfterWave guards against a new leader that keeps machines from
// their pools for an upkeep that an earlier leader has completed, of a wave that
// is over or of one that still runs.
func TestMachinesAfterWave(t *testing.T) {
	for _, completed := range []bool{true, false} {
		w := newWorld(t, 2)
		w.s.Limits.MaintenanceTime = 2 * time.Second
		w.s.IntentsStored(map[machine.ID]Intent{"m-a": {AcceptedWave: 1}, "m-b": {AcceptedWave: 1}})
		w.runner("a", "b")
		ms := []machine.Machine{{ID: "m-a", Pool: "pool", Runner: "a"}, {ID: "m-b", Pool: "pool", Runner: "b", State: machine.Maintenance}}
		w.s.SetMachines(ms, w.now)
		w.s.SetWave(machine.Wave{Number: 1, Machines: []machine.ID{"m-a", "m-b"}, MaxUnavailable: 2, Within: time.Minute}, completed, w.now)
		w.plan()
		w.plan()
		if !w.s.movable(w.s.hosts["m-a"], "other", w.now) || !w.s.usable(w.s.nodes["a"], w.now) {
			t.Errorf("wave completed %v: a machine that is up after its upkeep is not used", completed)
		}
		if !completed && w.s.usable(w.s.nodes["b"], w.now) {
			t.Error("the runner of a machine in upkeep is used")
		}
	}
}

// TestUpkeepWaitsForRuns guards against an upkeep that ends a task on a runner
// that has only fallen silent.
func TestUpkeepWaitsForRuns(t *testing.T) {
	w := newWorld(t, 1)
	w.runner("a")
	w.job(1, job1)
	w.accept(w.plan())
	w.s.PollFailed("a", w.now)
	w.s.SetWave(machine.Wave{Number: 1, Machines: []machine.ID{"m-a"}, MaxUnavailable: 1, Within: time.Second}, false, w.now)
	if got := w.upkeeps(); len(got) != 0 {
		t.Errorf("orders %v while the runner may run a task", got)
	}
}

// TestIntentsReleased guards against a new leader that waits for machines that
// no one has ordered for a while, and against one that does not wait for those
// that its predecessor may just have ordered.
func TestIntentsReleased(t *testing.T) {
	for _, c := range []struct {
		name  string
		after clock.BootTime
		want  int
	}{{"just ordered", second, 0}, {"long ago", 10 * second, 1}} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, 1)
			w.s.Limits.MachineTakeover = 5 * time.Second
			w.runner("a")
			w.s.SetWave(machine.Wave{Number: 1, Machines: []machine.ID{"m-a"}, MaxUnavailable: 1, Within: time.Minute}, false, w.now)
			first := w.upkeeps()
			if len(first) != 1 {
				t.Fatalf("%d orders, want 1", len(first))
			}
			w.s.HandleMachineReply(&first[0], machine.Refused, true, w.now)
			w.now += c.after
			intents, _ := w.s.Intents(w.now)

			next := newWorld(t, 2)
			next.now = w.now
			next.s.began = w.now
			next.s.Limits.MachineTakeover = 5 * time.Second
			next.s.IntentsStored(intents)
			next.runner("a")
			next.s.SetWave(machine.Wave{Number: 1, Machines: []machine.ID{"m-a"}, MaxUnavailable: 1, Within: time.Minute}, false, next.now)
			if got := next.upkeeps(); len(got) != c.want {
				t.Errorf("orders %v, want %d", got, c.want)
			}
		})
	}
}
