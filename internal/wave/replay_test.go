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
	staleness = time.Minute // of the other zones' maps
	horizon   = 24 * time.Hour
)

var start = time.Date(2026, 3, 2, 1, 0, 0, 0, time.UTC)

// newText returns a fleet of the given services: floor, then runners by zone.
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

// user returns a user's text with another weighting.
func user(t testing.TB, src []byte, weigh text.Weigh) *text.Text {
	tx, err := text.Parse(src)
	if err != nil {
		t.Fatal(err)
	}
	tx.Weigh = weigh
	return tx
}

// kisla has the pools of a user's text, with floors that leave slack.
func kisla(weigh text.Weigh) *text.Text {
	return newText(weigh, []string{"bezigrad", "moste", "vic"}, []string{"cenik", "narocila", "etikete", "racuni", "ostalo"},
		[][]int{{5, 3, 3, 3}, {6, 3, 3, 3}, {6, 4, 4, 3}, {8, 4, 4, 4}, {2, 3, 2, 3}})
}

// cost is what a replay measures.
type cost struct {
	wave                        time.Duration
	spare, below, exposed, rack time.Duration // summed over hosts, then over services
	moves, plans                int
	done                        bool
}

// replay runs a fleet in virtual time.
type replay struct {
	*text.Text
	r      *rand.Rand
	now    time.Time
	maps   map[string]*fleet.Map
	old    map[string][]*fleet.Map // by zone, one per tick
	hosts  []etcd.Host
	until  map[string]time.Time // when a host's present step ends
	step   map[string]uint64    // the version that began that step
	served map[string]string    // the pool that a host last served
	bad    string               // a worker that fails every start
	faults bool
	// zoneLoss tells by service whether its wanted runners can keep the floor
	// under the loss of a zone.
	zoneLoss []bool
	base     *baseline
	cost
}

func newReplay(t testing.TB, tx *text.Text, seed uint64, faults bool) *replay {
	w := &replay{Text: tx, r: rand.New(rand.NewPCG(seed, 1)), now: start, maps: make(map[string]*fleet.Map), faults: faults}
	w.old, w.until, w.step = make(map[string][]*fleet.Map), make(map[string]time.Time), make(map[string]uint64)
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
		var pools []string // runners of a pool next to each other are on different racks
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
			w.edit(t, m, fleet.HostAdded{Host: h.Name, Rack: h.Rack, Spare: "none", Maintained: start.Add(-every / 8 * 7).Add(-time.Duration(w.r.IntN(3600)) * time.Second)})
			m = w.maps[zone]
			w.edit(t, m, fleet.Grant{Host: h.Name, Pool: pool, Slots: 8})
			m = w.maps[zone]
			w.edit(t, m, fleet.Started{Host: h.Name, Task: m.Host(h.Name).Task, Addr: netip.AddrPortFrom(h.Addr, 80)})
			m = w.maps[zone]
			w.served[h.Name] = pool
		}
	}
	if faults {
		w.bad = w.hosts[w.r.IntN(len(w.hosts))].Name
	}
	return w
}

func (w *replay) edit(t testing.TB, m *fleet.Map, e fleet.Event) {
	next, err := m.Apply(w.now, "m", e)
	if err != nil {
		t.Fatal(err)
	}
	w.maps[m.Zone] = next
}

func (w *replay) exp(mean time.Duration) time.Duration {
	return time.Duration(w.r.ExpFloat64() * float64(mean))
}

// advance moves each host that has finished its present step.
func (w *replay) advance(t testing.TB, zone string) {
	for _, h := range w.maps[zone].Hosts {
		if w.step[h.Name] != h.Changed {
			w.step[h.Name] = h.Changed
			w.until[h.Name] = w.now.Add(map[fleet.State]time.Duration{
				fleet.Starting: 20 * time.Second, fleet.Draining: w.exp(time.Minute),
				fleet.Maintenance: 3*time.Minute + time.Duration(w.r.IntN(180))*time.Second,
			}[h.State])
		}
		if w.now.Before(w.until[h.Name]) {
			continue
		}
		spare := w.Services[len(w.Services)-1].Name
		l := w.host(h.Name)
		switch {
		case h.State == fleet.Starting && h.Name == w.bad:
			w.edit(t, w.maps[zone], fleet.StartFailed{Host: h.Name, Task: h.Task, Spare: spare})
		case h.State == fleet.Starting:
			w.edit(t, w.maps[zone], fleet.Started{Host: h.Name, Task: h.Task, Addr: netip.AddrPortFrom(l.Addr, 80)})
			if w.served[h.Name] != h.Pool {
				w.moves++
			}
			w.served[h.Name] = h.Pool
		case h.State == fleet.Draining:
			w.edit(t, w.maps[zone], fleet.Drained{Host: h.Name, Changed: h.Changed})
			if h := w.maps[zone].Host(h.Name); h != nil {
				w.edit(t, w.maps[zone], fleet.Stopped{Host: h.Name, Task: h.Task, Spare: spare, Booted: l.Booted})
			}
		case h.State == fleet.Maintenance:
			l.Booted = w.now
			w.edit(t, w.maps[zone], fleet.Maintained{Host: h.Name, Spare: spare})
		}
	}
}

func (w *replay) host(name string) *etcd.Host {
	i := slices.IndexFunc(w.hosts, func(h etcd.Host) bool { return h.Name == name })
	return &w.hosts[i]
}

// fail breaks hosts: single ones at random, and one rack 20 minutes into the
// wave. A host is replaced after 30 minutes by a new one of the same name, and
// one that was set aside is taken away by the platform after 2 hours.
func (w *replay) fail(t testing.TB) {
	since := w.now.Sub(start)
	rack := w.hosts[0].Rack
	for i := range w.hosts {
		h := &w.hosts[i]
		m := w.maps[h.Zone]
		f := m.Host(h.Name)
		dies := f != nil && f.State == fleet.Failed && w.now.Sub(f.Since) >= 2*time.Hour || since == 20*time.Minute && h.Rack == rack || w.r.Float64() < tick.Hours()/200
		switch {
		case h.State == etcd.Live && dies:
			h.State = etcd.Gone
			w.until["new "+h.Name] = w.now.Add(30 * time.Minute)
			if h.Name == w.bad {
				w.bad = ""
			}
			if f != nil {
				w.edit(t, m, fleet.HostGone{Host: h.Name})
			}
		case h.State == etcd.Gone && m.Host(h.Name) == nil && !w.now.Before(w.until["new "+h.Name]):
			h.State, h.Booted = etcd.Live, w.now
			w.edit(t, m, fleet.HostAdded{Host: h.Name, Rack: h.Rack, Spare: w.Services[len(w.Services)-1].Name, Maintained: w.now})
		}
	}
}

// view is what a zone's manager holds: its own map and older ones of others.
func (w *replay) view(zone string) map[string]*fleet.Map {
	v := map[string]*fleet.Map{zone: w.maps[zone]}
	for _, z := range w.Zones {
		if old := w.old[z]; z != zone {
			v[z] = old[max(0, len(old)-1-int(staleness/tick))]
		}
	}
	return v
}

func (w *replay) plan(t testing.TB, zone string) {
	in := wave.Input{Now: w.now, Text: w.Text, Zone: zone, Maps: w.view(zone), Hosts: w.hosts}
	var actions []wave.Action
	if w.base != nil {
		actions = w.base.plan(in)
	} else {
		actions = wave.Plan(in)
	}
	w.plans++
	for _, a := range actions {
		if e := a.Event(); e != nil {
			w.edit(t, w.maps[zone], e)
		}
	}
}

// measure adds one tick to the costs. A service is exposed while its floor
// would break with the loss of one zone. If its wanted runners cannot keep the
// floor then, the loss of one rack is counted instead, apart.
func (w *replay) measure() {
	live, useful := 0, 0
	for i := range w.hosts {
		if w.hosts[i].State == etcd.Live {
			live++
		}
	}
	for i := range w.Services {
		s := &w.Services[i]
		total, worst := 0, 0
		for _, z := range w.Zones {
			n, racks := 0, make(map[string]int)
			for h := range w.maps[z].In(s.Name, fleet.Serving) {
				n++
				racks[h.Rack]++
				if !w.zoneLoss[i] {
					worst = max(worst, racks[h.Rack])
				}
			}
			useful += min(n, s.Runners[z])
			if total += n; w.zoneLoss[i] {
				worst = max(worst, n)
			}
		}
		if total < s.Floor {
			w.below += tick
		}
		switch {
		case total-worst >= s.Floor:
		case w.zoneLoss[i]:
			w.exposed += tick
		default:
			w.rack += tick
		}
	}
	w.spare += time.Duration(live-useful) * tick
}

func (w *replay) finished() bool {
	for _, m := range w.maps {
		for i := range m.Hosts {
			if m.Hosts[i].Maintained.Before(start) && m.Hosts[i].State != fleet.Failed {
				return false
			}
		}
	}
	return true
}

func (w *replay) run(t testing.TB) cost {
	for ; w.now.Sub(start) < horizon; w.now = w.now.Add(tick) {
		for _, z := range w.Zones {
			w.old[z] = append(w.old[z], w.maps[z])
		}
		if w.faults {
			w.fail(t)
		}
		for _, z := range w.Zones {
			w.advance(t, z)
			w.plan(t, z)
		}
		w.measure()
		if w.finished() {
			w.done = true
			break
		}
	}
	w.wave = w.now.Sub(start)
	return w.cost
}

// baseline maintains one rack of the whole fleet at a time and leaves the
// grants of free hosts to the planner.
type baseline struct {
	w    *replay
	rack string
}

func (b *baseline) plan(in wave.Input) []wave.Action {
	if b.rack == "" || b.racked(func(h *fleet.Host) bool { return h.Maintained.Before(start) || h.State != fleet.Serving }) == 0 {
		b.rack = ""
		for _, h := range b.w.hosts {
			if m := b.w.maps[h.Zone].Host(h.Name); m != nil && m.Maintained.Before(start) && m.State == fleet.Serving {
				b.rack = h.Rack
				break
			}
		}
	}
	quiet := *in.Text
	quiet.Maintenance = text.Maintenance{}
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
	in.Text = &quiet
	return slices.DeleteFunc(wave.Plan(in), func(a wave.Action) bool { return a.Kind != wave.Grant && a.Kind != wave.Quarantine })
}

func (b *baseline) racked(f func(*fleet.Host) bool) int {
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
