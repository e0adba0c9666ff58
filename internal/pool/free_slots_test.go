package pool

import (
	"fmt"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/fleet"
	"gypsumtrestle.example/gypsumtrestle/internal/peer"
	"gypsumtrestle.example/gypsumtrestle/internal/route"
	"gypsumtrestle.example/gypsumtrestle/internal/state"
	"gypsumtrestle.example/gypsumtrestle/pkg/text"
)

const self, zone, service = "d1.1", "a", "ascent"

// TestFreeSlotsOnDemand guards against control traffic beyond its bound, and
// against requests that are sent from a full zone to another full zone. Free
// slots must be advertised only for a pool that another zone wants, only while
// it wants them, and only if there are any.
func TestFreeSlotsOnDemand(t *testing.T) {
	now := time.Now()
	m := &fleet.Map{Zone: zone, Version: 1, Roster: []fleet.Member{{Incarnation: self}}}
	for i := range 2 {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(i+1))
		m.Hosts = append(m.Hosts, fleet.Host{Name: fmt.Sprint("h", i), Pool: service, State: fleet.Serving, Task: "t", Addr: addr, Slots: 1})
	}
	p := &Table{Zone: zone, Self: self, Picker: &route.Picker{Zone: zone}}
	p.Set(&state.View{PlanVersion: 1, Text: &text.Text{Services: []text.Service{{Name: service}}}, Maps: map[string]*fleet.Map{zone: m}}, now)
	setDemand := func(n int) {
		load := &peer.Load{Pools: []peer.PoolLoad{{Pool: service, Demand: [text.Classes]int{n}}}}
		p.SetRemoteLoad(peer.Daemon{Zone: zone, Incarnation: "d2.1"}, load, now)
	}
	wanted := peer.FreeSlots{Full: []string{service}}
	for _, step := range []struct {
		name string
		do   func()
		want peer.FreeSlots
	}{
		{"nobody wants", func() {}, peer.FreeSlots{}},
		{"wanted", func() { p.SetRemoteFreeSlots("b", wanted, 0, 1, now) }, peer.FreeSlots{Free: map[string]int{service: 2}}},
		{"one taken", func() { setDemand(1) }, peer.FreeSlots{Free: map[string]int{service: 1}}},
		{"full", func() { setDemand(2) }, peer.FreeSlots{Full: []string{service}}},
		{"free again", func() { setDemand(0) }, peer.FreeSlots{Free: map[string]int{service: 2}}},
		{"wanted no longer", func() { now = now.Add(freeSlotsTTL) }, peer.FreeSlots{}},
	} {
		step.do()
		if got := p.FreeSlots(now); !reflect.DeepEqual(got, step.want) {
			t.Errorf("%s: got %+v, want %+v", step.name, got, step.want)
		}
	}
}
