package fleet_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/fleet"
)

// drainingMap returns a map in whose last version h1 starts to drain. d1 and d2
// joined before that version, d3 with it.
func drainingMap(t testing.TB) *fleet.Map {
	m := &fleet.Map{Zone: "waco"}
	for _, events := range [][]fleet.Event{
		{fleet.HostAdded{Host: "h1", Rack: "r1", Spare: spare}, fleet.Join{Name: "d1", Incarnation: "d1.a"}, fleet.Join{Name: "d2", Incarnation: "d2.a"}},
		{fleet.Grant{Host: "h1", Pool: "crew", Slots: 8}},
		{fleet.Started{Host: "h1", Task: "h1.2", Addr: netip.MustParseAddrPort("10.0.0.1:80")}},
		{fleet.Drain{Host: "h1", Next: "beta"}, fleet.Join{Name: "d3", Incarnation: "d3.a"}},
	} {
		next, err := m.Apply(time.Unix(0, 0), "m", events...)
		if err != nil {
			t.Fatal(err)
		}
		m = next
	}
	return m
}

func ExampleConfirmations() {
	m := drainingMap(&testing.B{})
	var c fleet.Confirmations
	c.Confirm("d1.a", 4, map[string]int{"h1": 2})
	c.Confirm("d2.a", 3, nil)
	for _, w := range c.Waits(m, m.Host("h1")) {
		fmt.Println(w.Daemon, w.Reason)
	}
	// Output:
	// d1.a 2 requests outstanding
	// d2.a confirmed version 3, not 4
}

// TestConfirmOrder guards against messages that arrive out of order and make an
// incomplete drain look complete, or let a complete drain wait forever.
func TestConfirmOrder(t *testing.T) {
	m := drainingMap(t)
	var c fleet.Confirmations
	c.Confirm("d2.a", 4, nil)
	c.Confirm("d1.a", 4, map[string]int{"h1": 2})
	c.Confirm("d1.a", 3, nil)
	if w := c.Waits(m, m.Host("h1")); len(w) != 1 {
		t.Errorf("after an older version without counts: waits %v, want d1.a", w)
	}
	c.Confirm("d1.a", 4, map[string]int{"h1": 0})
	c.Confirm("d1.a", 4, map[string]int{"h1": 1})
	if w := c.Waits(m, m.Host("h1")); len(w) != 0 {
		t.Errorf("after a late count of the same version: waits %v, want none", w)
	}
}

// TestLeaves guards against daemons that leave the roster without proof that
// they send no more requests.
func TestLeaves(t *testing.T) {
	m := drainingMap(t)
	none := func(string) bool { return false }
	var c fleet.Confirmations
	c.RecordShutdown("d1.a") // without a confirmation
	c.Confirm("d2.a", 4, map[string]int{"h1": 1})
	c.RecordShutdown("d2.a")
	c.RecordIncarnation("d3", "d3.a")
	if p := c.Leaves(m, none); len(p) != 0 {
		t.Errorf("leaves %v without proof, want none", p)
	}
	c.Confirm("d2.a", 4, nil)
	c.RecordIncarnation("d1", "d1.10")
	want := []fleet.Leave{
		{Incarnation: "d1.a", Proof: fleet.Replaced, NewerIncarnation: "d1.10"},
		{Incarnation: "d2.a", Proof: fleet.ShutDown},
		{Incarnation: "d3.a", Proof: fleet.EntryGone},
	}
	if p := c.Leaves(m, func(n string) bool { return n == "d3" }); !slices.Equal(p, want) {
		t.Errorf("leaves %v, want %v", p, want)
	}
}

// TestApplyRejects guards against edits that break the map's invariants, and
// against edits in place, which readers of the previous map would see.
func TestApplyRejects(t *testing.T) {
	m := drainingMap(t)
	before := fmt.Sprint(*m)
	for _, e := range []fleet.Event{
		fleet.HostAdded{Host: "h1", Rack: "r1", Spare: spare},
		fleet.Grant{Host: "h1", Pool: "beta"},
		fleet.Started{Host: "h1", Task: "h1.2"},
		fleet.Drained{Host: "h1", Changed: 3},
		fleet.Drain{Host: "h2"},
		fleet.Stopped{Host: "h1", Task: "h1.2", Spare: spare},
		fleet.Join{Name: "d1", Incarnation: "d1.a"},
		fleet.Leave{Incarnation: "d1.a", Proof: fleet.Replaced, NewerIncarnation: "d1.9"},
	} {
		if next, err := m.Apply(time.Unix(1, 0), "m", e); err == nil {
			t.Errorf("event %T%v returned map %v, want an error", e, e, next)
		}
	}
	if _, err := m.Apply(time.Unix(1, 0), "m", fleet.Resume{Host: "h1"}); err != nil {
		t.Error(err)
	}
	if after := fmt.Sprint(*m); after != before {
		t.Errorf("map changed in place:\nbefore %s\nafter %s", before, after)
	}
}
