package quota

import (
	"testing"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
)

// TestCapOfRemovedWorkspace guards against a cap of an old record that replaces a later
// one, or that of a configuration.
func TestCapOfRemovedWorkspace(t *testing.T) {
	var l Ledger
	a := l.Open("w")
	for i, set := range []func(job.Resources){
		func(r job.Resources) { a.Recorded(r, 5) },
		func(r job.Resources) { a.Recorded(r, 4) }, // an older record
		func(r job.Resources) { a.Recorded(r, 6) },
		a.Configure,
		func(r job.Resources) { a.Recorded(r, 9) }, // a configuration has precedence
	} {
		set(job.Resources{CPU: i + 1})
		if got, want := a.Limit().CPU, []int{1, 1, 3, 4, 4}[i]; got != want {
			t.Errorf("cap %d after step %d, want %d", got, i, want)
		}
	}
}

// TestDivision guards against more demand of waiting work than the cap allows, and against
// none while it allows one more task.
func TestDivision(t *testing.T) {
	var l Ledger
	a := l.Open("w")
	a.Configure(job.Resources{CPU: 10})
	a.Add(job.Resources{CPU: 3, Mem: 9})
	var d Demand
	for range 4 {
		d.Add(job.Resources{CPU: 2}, 5)
	}
	l.SetDemand(map[*Account]*Demand{a: &d})
	n := 0
	for _, w := range a.Demand().Work {
		n += w.Startable
	}
	if n != 3 {
		t.Errorf("%d tasks of 2 startable with 7 left, want 3", n)
	}
	l.Release(a)
	if l.Sweep(); l.Empty() {
		t.Error("account of a run dropped")
	}
	a.Remove(job.Resources{CPU: 3, Mem: 9})
	if l.Sweep(); !l.Empty() {
		t.Error("account without jobs and runs kept")
	}
}
