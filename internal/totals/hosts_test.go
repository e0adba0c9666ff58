package totals_test

import (
	"net/netip"
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/fleet"
	"gypsumtrestle.example/gypsumtrestle/internal/totals"
)

// TestHosts guards against transitions that are counted by two managers or by
// none, and against a move that is counted although the host returned to its own
// pool.
func TestHosts(t *testing.T) {
	start := time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)
	addr := netip.MustParseAddrPort("127.0.0.1:1")
	steps := []struct {
		writer string
		events []fleet.Event
	}{
		{"a", []fleet.Event{fleet.HostAdded{Host: "h", Spare: "desk", Maintained: start}}},
		{"a", []fleet.Event{fleet.Grant{Host: "h", Pool: "ascent", Slots: 8}}}, // the first runner is not a move
		{"a", []fleet.Event{fleet.Started{Host: "h", Task: "h.2", Addr: addr}}},
		{"a", []fleet.Event{fleet.Drain{Host: "h", Next: "crew"}}},
		{"a", []fleet.Event{fleet.Drained{Host: "h", Changed: 4}}},
		{"b", []fleet.Event{fleet.Stopped{Host: "h", Task: "h.2", Spare: "desk"}}}, // the manager changes here
		{"b", []fleet.Event{fleet.Grant{Host: "h", Pool: "crew", Slots: 8}}},       // crew: 1 move
		{"b", []fleet.Event{fleet.Started{Host: "h", Task: "h.7", Addr: addr}}},
		{"b", []fleet.Event{fleet.Lost{Host: "h", Task: "h.7"}}}, // restarts in its pool
		{"b", []fleet.Event{fleet.Drain{Host: "h"}}},
		{"a", []fleet.Event{fleet.Drained{Host: "h", Changed: 10}}},
		{"a", []fleet.Event{fleet.Stopped{Host: "h", Task: "h.9", Spare: "desk"}}},
		// crew: 1 maintained, and returned to its own pool in the same version.
		{"a", []fleet.Event{fleet.Maintained{Host: "h", Spare: "desk"}, fleet.Grant{Host: "h", Pool: "crew", Slots: 8}}},
		{"a", []fleet.Event{fleet.Join{Name: "b", Incarnation: "b.2"}}},
	}
	daemons := map[string]*totals.Hosts{}
	for _, self := range []string{"a", "b"} {
		daemons[self] = &totals.Hosts{
			Counter: new(totals.Counter), Zone: "z", Self: self, Clock: func() *time.Location { return nil },
		}
	}
	m := &fleet.Map{Zone: "z"}
	for i, s := range steps {
		now := start.Add(time.Duration(i+1) * time.Minute)
		next, err := m.Apply(now, s.writer, s.events[0])
		if err != nil {
			t.Fatal(err)
		}
		if len(s.events) > 1 { // all events of one write make one version
			next.Version--
			if next, err = next.Apply(now, s.writer, s.events[1]); err != nil {
				t.Fatal(err)
			}
		}
		m = next
		for _, d := range daemons {
			d.CountTransitions(m)
		}
		daemons[m.Writer].CountIdle(m, now)
	}
	for self, want := range map[string]map[string]totals.Count{
		"a": {"desk": {Buffer: 1}, "ascent": {Buffer: 3}, "crew": {Maintained: 1, Buffer: 4}},
		"b": {"desk": {Buffer: 1}, "crew": {Moves: 1, Buffer: 3}},
	} {
		for pool, w := range want {
			if got := *daemons[self].Counter.Of("2026-12-04", pool); got != w {
				t.Errorf("%s counts for %s: %+v, want %+v", self, pool, got, w)
			}
		}
	}
}
