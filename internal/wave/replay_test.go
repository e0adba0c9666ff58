package wave_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/fleet"
	"gypsumtrestle.example/gypsumtrestle/internal/wave"
	"gypsumtrestle.example/gypsumtrestle/pkg/text"
)

const (
	tick      = 10 * time.Second
	every     = 14 * 24 * time.Hour
	staleness = time.Minute // age of the other zones' maps
	horizon   = 24 * time.Hour
)

var start = time.Date(2026, 3, 2, 1, 0, 0, 0, time.UTC)

// newText returns the text of a fleet. Each row has the floor of a service,
// then its runners by zone.
func newText(weigh text.Weigh, zones []string, names []string, rows [][]int) *text.Text {
	t := &text.Text{Zones: zones, Weigh: weigh, Maintenance: text.Maintenance{Every: every, Hold: 3}}
	for i, row := range rows {
		s := text.Service{Name: names[i], Floor: row[0], Slots: 8, Cores: 4, Memory: 8, Spare: i == len(rows)-1, Runners: make(map[string]int)}
		for j, z := range zones {
			s.Runners[z] = row[1+j]
		}
		if i > 0 {
			s.Needs = names[i-1 : i]
		}
		t.Services = append(t.Services, s)
	}
	return t
}

// parseText parses a text and replaces its weighting.
func parseText(t testing.TB, src []byte, weigh text.Weigh) *text.Text {
	tx, err := text.Parse(src)
	if err != nil {
		t.Fatal(err)
	}
	tx.Weigh = weigh
	return tx
}

// kisla returns a text with the pools of the Kisla example and floors that
// leave slack.
func kisla(weigh text.Weigh) *text.Text {
	return newText(weigh, []string{"bezigrad", "moste", "vic"}, []string{"cenik", "narocila", "etikete", "racuni", "ostalo"},
		[][]int{{5, 3, 3, 3}, {6, 3, 3, 3}, {6, 4, 4, 3}, {8, 4, 4, 4}, {2, 3, 2, 3}})
}

// cost holds the measurements of a replay.
type cost struct {
	wave                        time.Duration
	spare, below, exposed, rack time.Duration // spare is summed over hosts, the others over services
	moves, plans                int
	done                        bool
}

// replay simulates a fleet in virtual time.
type replay struct {
	*text.Text
	rng         *rand.Rand
	now         time.Time
	maps        map[string]*fleet.Map
	history     map[string][]*fleet.Map // by zone, one map per tick
	hosts       []etcd.Host
	stepEnd     map[string]time.Time // when a host's current step ends
	stepVersion map[string]uint64    // the map version that started that step
	served      map[string]string    // the pool that a host served last
	faultyHost  string               // a host on which every start fails
	faults      bool
	// zoneLoss reports by service whether its wanted runners can keep the floor
	// under the loss of a zone.
	zoneLoss []bool
	base     *baseline
	cost
}

func newReplay(t testing.TB, tx *text.Text, seed uint64, faults bool) *replay {
	w := &replay{Text: tx, rng: rand.New(rand.NewPCG(seed, 1)), now: start, maps: make(map[string]*fleet.Map), faults: faults}
	w.history, w.stepEnd, w.stepVersion = make(map[string][]*fleet.Map), make(map[string]time.Time), make(map[string]uint64)
	w.served = make(map[string]string)
	for _, s := range tx.Services {
		worst := 0
		for _, n := range s.Runners {
			worst = max(worst, n)
		}
		w.zoneLoss = append(w.zoneLoss, s.Total()-worst >= s.Floor)
	}
	for z, zone := range tx.Zones {
		m := &fleet.Map{Zone: zone}
		w.maps[zone] = m
		n := 0
		for _, s := range tx.Services {
			n += s.Runners[zone]
		}
		var pools []string // runners that are adjacent in pools are on different racks
		for _, s := range tx.Services {
			for range s.Runners[zone] {
				pools = append(pools, s.Name)
			}
		}
		racks := (n + 3) / 4
		for i, pool := range pools {
			h := etcd.Host{
				Name: fmt.Sprintf("%s-%03d", zone, i), Zone: zone, Rack: fmt.Sprintf("%s-r%02d", zone, i%racks),
				Role: "worker", State: etcd.Live, Cores: 16, Memory: 32, Booted: start.Add(-every),
				Addr: netip.AddrFrom4([4]byte{10, byte(z), byte(i / 250), byte(i % 250)}),
			}
			w.hosts = append(w.hosts, h)
			w.edit(t, m, fleet.HostAdded{Host: h.Name, Rack: h.Rack, Spare: "none", Maintained: start.Add(-every / 8 * 7).Add(-time.Duration(w.rng.IntN(3600)) * time.Second)})
			m = w.maps[zone]
			w.edit(t, m, fleet.Grant{Host: h.Name, Pool: pool, Slots: 8})
			m = w.maps[zone]
			w.edit(t, m, fleet.Started{Host: h.Name, Task: m.Host(h.Name).Task, Addr: netip.AddrPortFrom(h.Addr, 80)})
			m = w.maps[zone]
			w.served[h.Name] = pool
		}
	}
	if faults {
		w.faultyHost = w.hosts[w.rng.IntN(len(w.hosts))].Name
	}
	return w
}

func (r *replay) edit(t testing.TB, m *fleet.Map, e fleet.Event) {
	next, err := m.Apply(r.now, "m", e)
	if err != nil {
		t.Fatal(err)
	}
	r.maps[m.Zone] = next
}

func (r *replay) exp(mean time.Duration) time.Duration {
	return time.Duration(r.rng.ExpFloat64() * float64(mean))
}

// advance applies the next step of each host that has finished its current
// step.
func (r *replay) advance(t testing.TB, zone string) {
	for _, h := range r.maps[zone].Hosts {
		if r.stepVersion[h.Name] != h.Changed {
			r.stepVersion[h.Name] = h.Changed
			r.stepEnd[h.Name] = r.now.Add(map[fleet.State]time.Duration{
				fleet.Starting: 20 * time.Second, fleet.Draining: r.exp(time.Minute),
				fleet.Maintenance: 3*time.Minute + time.Duration(r.rng.IntN(180))*time.Second,
			}[h.State])
		}
		if r.now.Before(r.stepEnd[h.Name]) {
			continue
		}
		spare := r.Services[len(r.Services)-1].Name
		l := r.host(h.Name)
		switch {
		case h.State == fleet.Starting && h.Name == r.faultyHost:
			r.edit(t, r.maps[zone], fleet.StartFailed{Host: h.Name, Task: h.Task, Spare: spare})
		case h.State == fleet.Starting:
			r.edit(t, r.maps[zone], fleet.Started{Host: h.Name, Task: h.Task, Addr: netip.AddrPortFrom(l.Addr, 80)})
			if r.served[h.Name] != h.Pool {
				r.moves++
			}
			r.served[h.Name] = h.Pool
		case h.State == fleet.Draining:
			r.edit(t, r.maps[zone], fleet.Drained{Host: h.Name, Changed: h.Changed})
			if h := r.maps[zone].Host(h.Name); h != nil {
				r.edit(t, r.maps[zone], fleet.Stopped{Host: h.Name, Task: h.Task, Spare: spare, Booted: l.Booted})
			}
		case h.State == fleet.Maintenance:
			l.Booted = r.now
			r.edit(t, r.maps[zone], fleet.Maintained{Host: h.Name, Spare: spare})
		}
	}
}

func (r *replay) host(name string) *etcd.Host {
	i := slices.IndexFunc(r.hosts, func(h etcd.Host) bool { return h.Name == name })
	return &r.hosts[i]
}

// fail injects host failures: single hosts at random, and one rack 20 minutes
// into the wave. A failed host is replaced by a new one of the same name after
// 30 minutes. The platform removes a quarantined host after 2 hours.
func (r *replay) fail(t testing.TB) {
	since := r.now.Sub(start)
	rack := r.hosts[0].Rack
	for i := range r.hosts {
		h := &r.hosts[i]
		m := r.maps[h.Zone]
		f := m.Host(h.Name)
		fails := f != nil && f.State == fleet.Failed && r.now.Sub(f.Since) >= 2*time.Hour || since == 20*time.Minute && h.Rack == rack || r.rng.Float64() < tick.Hours()/200
		switch {
		case h.State == etcd.Live && fails:
			h.State = etcd.Gone
			r.stepEnd["new "+h.Name] = r.now.Add(30 * time.Minute)
			if h.Name == r.faultyHost {
				r.faultyHost = ""
			}
			if f != nil {
				r.edit(t, m, fleet.HostGone{Host: h.Name})
			}
		case h.State == etcd.Gone && m.Host(h.Name) == nil && !r.now.Before(r.stepEnd["new "+h.Name]):
			h.State, h.Booted = etcd.Live, r.now
			r.edit(t, m, fleet.HostAdded{Host: h.Name, Rack: h.Rack, Spare: r.Services[len(r.Services)-1].Name, Maintained: r.now})
		}
	}
}

// view returns the maps that a zone's manager has: its own current map and
// older maps of the other zones.
func (r *replay) view(zone string) map[string]*fleet.Map {
	v := map[string]*fleet.Map{zone: r.maps[zone]}
	for _, z := range r.Zones {
		if old := r.history[z]; z != zone {
			v[z] = old[max(0, len(old)-1-int(staleness/tick))]
		}
	}
	return v
}

func (r *replay) plan(t testing.TB, zone string) {
	in := wave.Input{Now: r.now, Text: r.Text, Zone: zone, Maps: r.view(zone), Hosts: r.hosts}
	var actions []wave.Action
	if r.base != nil {
		actions = r.base.plan(in)
	} else {
		actions = wave.Plan(in)
	}
	r.plans++
	for _, a := range actions {
		if e := a.Event(); e != nil {
			r.edit(t, r.maps[zone], e)
		}
	}
}

// measure adds one tick to the costs. A service is exposed while its floor
// would break with the loss of one zone. If its wanted runners cannot keep the
// floor under that loss, the loss of one rack is measured instead, in a
// separate figure.
func (r *replay) measure() {
	live, useful := 0, 0
	for i := range r.hosts {
		if r.hosts[i].State == etcd.Live {
			live++
		}
	}
	for i := range r.Services {
		s := &r.Services[i]
		total, worst := 0, 0
		for _, z := range r.Zones {
			n, racks := 0, make(map[string]int)
			for h := range r.maps[z].In(s.Name, fleet.Serving) {
				n++
				racks[h.Rack]++
				if !r.zoneLoss[i] {
					worst = max(worst, racks[h.Rack])
				}
			}
			useful += min(n, s.Runners[z])
			if total += n; r.zoneLoss[i] {
				worst = max(worst, n)
			}
		}
		if total < s.Floor {
			r.below += tick
		}
		switch {
		case total-worst >= s.Floor:
		case r.zoneLoss[i]:
			r.exposed += tick
		default:
			r.rack += tick
		}
	}
	r.spare += time.Duration(live-useful) * tick
}

func (r *replay) finished() bool {
	for _, m := range r.maps {
		for i := range m.Hosts {
			if m.Hosts[i].Maintained.Before(start) && m.Hosts[i].State != fleet.Failed {
				return false
			}
		}
	}
	return true
}

func (r *replay) run(t testing.TB) cost {
	for ; r.now.Sub(start) < horizon; r.now = r.now.Add(tick) {
		for _, z := range r.Zones {
			r.history[z] = append(r.history[z], r.maps[z])
		}
		if r.faults {
			r.fail(t)
		}
		for _, z := range r.Zones {
			r.advance(t, z)
			r.plan(t, z)
		}
		r.measure()
		if r.finished() {
			r.done = true
			break
		}
	}
	r.wave = r.now.Sub(start)
	return r.cost
}

// baseline is a plan for comparison. It maintains one rack of the whole fleet
// at a time and leaves the grants of free hosts to the planner.
type baseline struct {
	w    *replay
	rack string
}

func (b *baseline) plan(in wave.Input) []wave.Action {
	if b.rack == "" || b.countOnRack(func(h *fleet.Host) bool { return h.Maintained.Before(start) || h.State != fleet.Serving }) == 0 {
		b.rack = ""
		for _, h := range b.w.hosts {
			if m := b.w.maps[h.Zone].Host(h.Name); m != nil && m.Maintained.Before(start) && m.State == fleet.Serving {
				b.rack = h.Rack
				break
			}
		}
	}
	noMaintenance := *in.Text
	noMaintenance.Maintenance = text.Maintenance{}
	var actions []wave.Action
	for i := range in.Maps[in.Zone].Hosts {
		h := &in.Maps[in.Zone].Hosts[i]
		if h.Rack == b.rack && h.Maintained.Before(start) && h.State == fleet.Serving {
			actions = append(actions, wave.Action{Kind: wave.Drain, Host: h.Name})
		}
	}
	if len(actions) > 0 {
		return actions
	}
	in.Text = &noMaintenance
	return slices.DeleteFunc(wave.Plan(in), func(a wave.Action) bool { return a.Kind != wave.Grant && a.Kind != wave.Quarantine })
}

func (b *baseline) countOnRack(f func(*fleet.Host) bool) int {
	n := 0
	for _, m := range b.w.maps {
		for i := range m.Hosts {
			if h := &m.Hosts[i]; h.Rack == b.rack && h.State != fleet.Failed && f(h) {
				n++
			}
		}
	}
	return n
}
