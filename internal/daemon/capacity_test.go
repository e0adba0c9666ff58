package daemon

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/fleet"
	"gypsumtrestle.example/gypsumtrestle/internal/peer"
	"gypsumtrestle.example/gypsumtrestle/internal/pool"
	"gypsumtrestle.example/gypsumtrestle/internal/route"
	"gypsumtrestle.example/gypsumtrestle/internal/state"
	"gypsumtrestle.example/gypsumtrestle/pkg/text"
)

// fleetSize is the size of a fleet. The benchmarks measure how costs grow with
// it for docs/CAPACITY.md.
type fleetSize struct{ hosts, pools, zones, daemons int }

var fleetSizes = []fleetSize{{49, 5, 3, 9}, {300, 50, 6, 18}, {1100, 201, 9, 27}}

func (s fleetSize) String() string {
	return fmt.Sprintf("hosts=%d/pools=%d/zones=%d", s.hosts, s.pools, s.zones)
}

func (s fleetSize) zone(i int) string { return fmt.Sprintf("zone-%d", i%s.zones) }

// text returns a configuration text of this size.
func (s fleetSize) text() []byte {
	var b strings.Builder
	var zones []string
	for i := range s.zones {
		zones = append(zones, fmt.Sprintf("%q", s.zone(i)))
	}
	fmt.Fprintf(&b, "zones = [%s]\nweigh = \"rollout\"\n", strings.Join(zones, ", "))
	for i := range s.pools {
		fmt.Fprintf(&b, "[[service]]\nname = \"service-%d\"\nrunners = %d\nlimit = \"2s\"\nbudget = 0.999\nspare = %t\n", i, s.hosts/s.pools, i == 0)
		if i > 1 {
			fmt.Fprintf(&b, "needs = [\"service-%d\"]\n", i-1)
		}
	}
	return []byte(b.String())
}

// maps returns the zones' maps with every host serving.
func (s fleetSize) maps() []*fleet.Map {
	out := make([]*fleet.Map, s.zones)
	for i := range out {
		out[i] = &fleet.Map{Zone: s.zone(i), Version: 1, Writer: "zone-1-entry1.mx8vp91s"}
		for d := range s.daemons {
			name := fmt.Sprintf("%s-entry%d", s.zone(d), d)
			out[i].Roster = append(out[i].Roster, fleet.Member{Name: name, Zone: s.zone(d), Incarnation: name + ".mx8vp91s", Joined: 1})
		}
	}
	for i := range s.hosts {
		m := out[i%s.zones]
		name := fmt.Sprintf("%s-w%04d", m.Zone, i)
		m.Hosts = append(m.Hosts, fleet.Host{
			Name: name, Rack: fmt.Sprintf("%s-r%03d", m.Zone, i/4), Pool: fmt.Sprintf("service-%d", i/s.zones%s.pools),
			State: fleet.Serving, Task: name + ".17", Slots: 8, Changed: 17, Since: time.Unix(1764800000, 0), Maintained: time.Unix(1764800000, 0),
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 8000),
		})
	}
	return out
}

// list returns the platform's host list.
func (s fleetSize) list() []etcd.Host {
	var out []etcd.Host
	for _, m := range s.maps() {
		for _, h := range m.Hosts {
			out = append(out, etcd.Host{
				Name: h.Name, Zone: m.Zone, Rack: h.Rack, Role: "worker", State: etcd.Live,
				Addr: h.Addr.Addr(), Cores: 16, Memory: 64, Accelerators: 2, Booted: h.Since,
			})
		}
	}
	return out
}

// eachSize runs a benchmark at every size.
func eachSize(b *testing.B, f func(b *testing.B, s fleetSize)) {
	for _, s := range fleetSizes {
		b.Run(s.String(), func(b *testing.B) {
			b.ReportAllocs()
			f(b, s)
		})
	}
}

// BenchmarkText measures what one configuration change costs a daemon.
func BenchmarkText(b *testing.B) {
	eachSize(b, func(b *testing.B, s fleetSize) {
		src := s.text()
		for b.Loop() {
			if _, err := text.Parse(src); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(src)), "text-bytes")
	})
}

// BenchmarkMap measures what one new version of a zone's map costs a daemon:
// decoding it and activating its routes.
func BenchmarkMap(b *testing.B) {
	eachSize(b, func(b *testing.B, s fleetSize) {
		all := s.maps()
		k := new(state.Tracker)
		if _, err := k.UpdatePlan(1, s.text()); err != nil {
			b.Fatal(err)
		}
		for _, m := range all {
			k.UpdateMap(m)
		}
		p := &pool.Table{Zone: s.zone(0), Self: all[0].Roster[0].Incarnation, Picker: &route.Picker{Zone: s.zone(0)}}
		src, err := json.Marshal(all[0])
		if err != nil {
			b.Fatal(err)
		}
		for version := uint64(2); b.Loop(); version++ {
			m := new(fleet.Map)
			if err := json.Unmarshal(src, m); err != nil {
				b.Fatal(err)
			}
			m.Version = version
			k.UpdateMap(m)
			p.Set(k.View(), time.Now())
		}
		b.ReportMetric(float64(len(src)), "map-bytes")
	})
}

// BenchmarkHostList measures decoding the platform's host list, without the
// call itself.
func BenchmarkHostList(b *testing.B) {
	eachSize(b, func(b *testing.B, s fleetSize) {
		src, err := json.Marshal(s.list())
		if err != nil {
			b.Fatal(err)
		}
		for b.Loop() {
			var hosts []etcd.Host
			if err := json.Unmarshal(src, &hosts); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(src)), "list-bytes")
	})
}

// BenchmarkHeap measures the memory of the active state and its routes.
func BenchmarkHeap(b *testing.B) {
	eachSize(b, func(b *testing.B, s fleetSize) {
		var total uint64
		n := 0
		for b.Loop() {
			before := heap()
			k := new(state.Tracker)
			if _, err := k.UpdatePlan(1, s.text()); err != nil {
				b.Fatal(err)
			}
			for _, m := range s.maps() {
				k.UpdateMap(m)
			}
			p := &pool.Table{Zone: s.zone(0), Self: k.View().Maps[s.zone(0)].Roster[0].Incarnation, Picker: &route.Picker{Zone: s.zone(0)}}
			p.Set(k.View(), time.Now())
			total += heap() - before
			n++
			runtime.KeepAlive(k)
			runtime.KeepAlive(p)
		}
		b.ReportMetric(float64(total)/float64(n), "heap-bytes")
	})
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkLoad measures the work that a daemon does ten times a second: its
// load report with requests in a tenth of the pools, the report of another
// daemon, and the division of the slots.
func BenchmarkLoad(b *testing.B) {
	eachSize(b, func(b *testing.B, s fleetSize) {
		k := new(state.Tracker)
		if _, err := k.UpdatePlan(1, s.text()); err != nil {
			b.Fatal(err)
		}
		for _, m := range s.maps() {
			k.UpdateMap(m)
		}
		p := &pool.Table{Zone: s.zone(0), Self: k.View().Maps[s.zone(0)].Roster[0].Incarnation, Picker: &route.Picker{Zone: s.zone(0)}}
		p.Set(k.View(), time.Now())
		other := peer.Daemon{Name: "other", Zone: s.zone(0), Incarnation: "other.mx8vp91s"}
		for n := 0; b.Loop(); n++ {
			load := new(peer.Load)
			for i := 0; i < s.pools; i += 10 {
				name := fmt.Sprintf("service-%d", i)
				load.Pools = append(load.Pools, peer.PoolLoad{Pool: name, Demand: [text.Classes]int{n % 7, 2, 1}, Running: p.Picker.Running(name)})
			}
			now := time.Now()
			p.Expire(now)
			p.Load()
			p.SetOwnLoad(load, now)
			p.SetRemoteLoad(other, load, now)
		}
	})
}
