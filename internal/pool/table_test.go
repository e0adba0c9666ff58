package pool

import (
	"net/netip"
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/fleet"
	"gypsumtrestle.example/gypsumtrestle/internal/route"
	"gypsumtrestle.example/gypsumtrestle/internal/state"
	"gypsumtrestle.example/gypsumtrestle/pkg/text"
)

// TestRoster guards against a daemon that sends requests by a map that does not
// list it, because the manager does not wait for such a daemon when a host
// leaves its pool.
func TestRoster(t *testing.T) {
	now := time.Now()
	host := fleet.Host{Name: "h1", Pool: service, State: fleet.Serving, Task: "t", Addr: netip.MustParseAddrPort("127.0.0.1:1"), Slots: 1}
	for _, listed := range []string{self, "d2.1"} {
		p := &Table{Zone: zone, Self: self, Picker: &route.Picker{Zone: zone}}
		m := &fleet.Map{Zone: zone, Version: 1, Hosts: []fleet.Host{host}, Roster: []fleet.Member{{Incarnation: listed}}}
		p.Set(&state.View{PlanVersion: 1, Text: &text.Text{Services: []text.Service{{Name: service}}}, Maps: map[string]*fleet.Map{zone: m}}, now)
		c := p.Picker.Pick(route.Query{Pool: service, Now: now})
		if want := listed == self; (c.Member != nil) != want || p.Listed() != want {
			t.Errorf("roster with %s: pick reason %v, listed %t", listed, c.Reason, p.Listed())
		}
	}
}
