package wave_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gypsumtrestle.example/gypsumtrestle/examples"
	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/fleet"
	"gypsumtrestle.example/gypsumtrestle/internal/wave"
	"gypsumtrestle.example/gypsumtrestle/pkg/text"
)

var seeds = flag.Int("seeds", 3, "replays of each row of TestWave")

// TestWave prints the table of docs/waves.md and guards against planned work
// that breaks floors: without faults no service may be below its floor, or
// exposed to the loss of a zone.
func TestWave(t *testing.T) {
	t.Log("fleet  faults plan      wave worst spare moves below exposed rack")
	for _, src := range [][]byte{examples.Brazos, examples.Kisla} {
		for _, faults := range []bool{false, true} {
			for _, plan := range []text.Weigh{text.Buffer, text.Rollout, "baseline"} {
				replayRow(t, parseText(t, src, plan), plan, faults)
			}
		}
	}
}

// replayRow runs the replays of one row of the table.
func replayRow(t *testing.T, tx *text.Text, plan text.Weigh, faults bool) {
	var all cost
	worst := time.Duration(0)
	for seed := range uint64(*seeds) {
		w := newReplay(t, tx, seed, faults)
		if plan == "baseline" {
			w.base = &baseline{w: w}
		}
		c := w.run(t)
		if !c.done {
			t.Errorf("%s %s seed %d: not finished in %s", tx.Zones[0], plan, seed, horizon)
		}
		if !faults && w.base == nil && (c.below > 0 || c.exposed > 0) {
			t.Errorf("%s %s seed %d: below the floor for %s, exposed for %s", tx.Zones[0], plan, seed, c.below, c.exposed)
		}
		worst = max(worst, c.wave)
		all.wave, all.spare, all.moves = all.wave+c.wave, all.spare+c.spare, all.moves+c.moves
		all.below, all.exposed, all.rack = all.below+c.below, all.exposed+c.exposed, all.rack+c.rack
	}
	n := float64(*seeds)
	t.Logf("%-8s %-5v %-8s %5.0f %5.0f %5.0f %5.1f %5.1f %5.1f %5.1f", tx.Zones[0], faults, plan, all.wave.Minutes()/n,
		worst.Minutes(), all.spare.Minutes()/n, float64(all.moves)/n, all.below.Minutes()/n, all.exposed.Minutes()/n, all.rack.Minutes()/n)
}

func (r *replay) input(zone string) wave.Input {
	return wave.Input{Now: r.now, Text: r.Text, Zone: zone, Maps: r.view(zone), Hosts: r.hosts}
}

// servingFleet returns a fleet with all hosts serving and none due.
func servingFleet(t testing.TB, tx *text.Text) *replay {
	w := newReplay(t, tx, 1, false)
	w.now = w.now.Add(-every / 2)
	for _, z := range tx.Zones {
		w.history[z] = []*fleet.Map{w.maps[z]}
	}
	return w
}

func find(actions []wave.Action, k wave.Kind) []wave.Action {
	return slices.DeleteFunc(slices.Clone(actions), func(a wave.Action) bool { return a.Kind != k })
}

// TestWeigh guards against a weighting that has no effect on the plan: after
// the loss of a host, rollout refills the pool and buffer waits for the host to
// return.
func TestWeigh(t *testing.T) {
	for weigh, want := range map[text.Weigh]int{text.Rollout: 1, text.Buffer: 0} {
		tx := kisla(weigh)
		tx.Services[2].Floor = 4 // each zone keeps two of these
		w := servingFleet(t, tx)
		w.edit(t, w.maps["vic"], fleet.Drain{Host: "vic-006"}) // one of three hosts
		if drains := find(wave.Plan(w.input("vic")), wave.Drain); len(drains) != want {
			t.Errorf("weigh %s: drains %v, want %d", weigh, drains, want)
		}
	}
}

// TestSpentBudget guards against planned work on the hosts of a service
// that has used up its availability budget, or of a service that it needs.
// Hosts that the platform is about to stop must drain nevertheless.
func TestSpentBudget(t *testing.T) {
	for _, tc := range []struct {
		spent, pool string
		leaving     bool
		want        bool
	}{
		{"", "etikete", false, true},
		{"etikete", "etikete", false, false},
		{"racuni", "etikete", false, false}, // racuni needs etikete
		{"narocila", "etikete", false, true},
		{"etikete", "etikete", true, true},
		{"", "ostalo", false, true}, // the spare pool drains without a replacement
		{"ostalo", "ostalo", false, false},
		{"racuni", "ostalo", false, true},
	} {
		tx := kisla(text.Rollout)
		w := servingFleet(t, tx)
		for i := range w.maps["vic"].Hosts {
			if h := &w.maps["vic"].Hosts[i]; h.Pool == tc.pool {
				h.Maintained = w.now.Add(-every)
				if tc.leaving {
					w.host(h.Name).State = etcd.Leaving
				}
			}
		}
		in := w.input("vic")
		in.ExhaustedBudgets = map[string]bool{tc.spent: true}
		if got := len(find(wave.Plan(in), wave.Drain)) > 0; got != tc.want {
			t.Errorf("%+v: drains %t", tc, got)
		}
	}
}

// TestCeiling guards against replacements for maintenance that exceed the
// operators' ceiling: a pool at its floor gets one only if the ceiling allows
// it.
func TestCeiling(t *testing.T) {
	for ceiling, want := range map[int]bool{0: true, 9: false, 12: true} {
		tx := kisla(text.Rollout)
		tx.Services[0].Floor, tx.Services[0].Ceiling = 9, ceiling
		w := servingFleet(t, tx)
		for i := range w.maps["vic"].Hosts {
			if h := &w.maps["vic"].Hosts[i]; h.Pool == tx.Services[0].Name {
				h.Maintained = w.now.Add(-every) // due
			}
		}
		replacement := false
		for _, d := range find(wave.Plan(w.input("vic")), wave.Drain) {
			replacement = replacement || d.Pool == tx.Services[0].Name
		}
		if replacement != want {
			t.Errorf("ceiling %d: replacement planned: %t", ceiling, replacement)
		}
	}
}

// TestIndependentZones guards against managers that together break a floor
// because each has old maps of the others. Each zone plans as many drains as it
// can while the others look unchanged, for arbitrary texts.
func TestIndependentZones(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rows := make([][]int, rapid.IntRange(1, 4).Draw(rt, "services"))
		for i := range rows {
			runners := rapid.SliceOfN(rapid.IntRange(0, 6), 3, 3).Draw(rt, "runners")
			rows[i] = append([]int{rapid.IntRange(0, runners[0]+runners[1]+runners[2]).Draw(rt, "floor")}, runners...)
		}
		tx := newText(text.Rollout, []string{"a", "b", "c"}, []string{"p", "q", "r", "s"}, rows)
		tx.Maintenance.Hold = 20
		w := newReplay(t, tx, 1, false)
		for _, z := range tx.Zones {
			w.history[z] = []*fleet.Map{w.maps[z]} // never updated
		}
		for range 5 {
			for _, z := range tx.Zones {
				w.plan(t, z)
			}
		}
		if w.measure(); w.below > 0 || w.exposed > 0 {
			rt.Errorf("planned work broke a floor of %v: below %v, exposed %v", rows, w.below, w.exposed)
		}
	})
}

// TestRelated guards against maintenance of a service while one that it needs
// is below its floor, and against hosts that the platform is about to stop but
// that drain only after hosts that are due.
func TestRelated(t *testing.T) {
	tx := kisla(text.Rollout)
	w := newReplay(t, tx, 1, false)
	for _, z := range tx.Zones {
		w.history[z] = []*fleet.Map{w.maps[z]}
	}
	leaving := w.host("vic-013")
	leaving.State = etcd.Leaving
	actions := wave.Plan(w.input("vic"))
	if d := find(actions, wave.Drain); len(d) == 0 || d[0].Host != leaving.Name {
		t.Errorf("leaving host is not drained first: %v", d)
	}
	for _, z := range tx.Zones { // cenik loses all its hosts but one
		for _, h := range w.maps[z].Hosts {
			if h.Pool == "cenik" && h.Name != "vic-000" {
				w.edit(t, w.maps[z], fleet.HostGone{Host: h.Name})
			}
		}
		w.history[z] = []*fleet.Map{w.maps[z]}
	}
	leaving.State = etcd.Live
	for _, d := range find(wave.Plan(w.input("vic")), wave.Drain) {
		if d.Pool == "" {
			t.Errorf("host %s drains for maintenance while a service that its pool needs is below its floor", d.Host)
		}
	}
}

// TestFailures guards against treating a host as faulty because of a faulty
// service, and a service because of a faulty host.
func TestFailures(t *testing.T) {
	w := servingFleet(t, kisla(text.Rollout))
	spare := "ostalo"
	fail := func(host string, times int) {
		for range times {
			m := w.maps["vic"]
			if m.Host(host).State == fleet.Free {
				w.edit(t, m, fleet.Grant{Host: host, Pool: "cenik", Slots: 8})
			} else {
				w.edit(t, m, fleet.Lost{Host: host, Task: m.Host(host).Task, Failed: true})
			}
			m = w.maps["vic"]
			w.edit(t, m, fleet.StartFailed{Host: host, Task: m.Host(host).Task, Spare: spare})
			w.edit(t, w.maps["vic"], fleet.Drained{Host: host, Changed: w.maps["vic"].Version})
			w.edit(t, w.maps["vic"], fleet.Stopped{Host: host, Task: w.maps["vic"].Host(host).Task, Spare: spare})
		}
	}
	fail("vic-000", 3)
	if a := find(wave.Plan(w.input("vic")), wave.Quarantine); len(a) != 1 || a[0].Host != "vic-000" {
		t.Errorf("starts fail on one host, service serves elsewhere: quarantined %v, want vic-000", a)
	}
	for _, z := range []string{"bezigrad", "moste"} { // leave cenik serving in this zone only
		for _, h := range w.maps[z].Hosts {
			if h.Pool == "cenik" {
				w.edit(t, w.maps[z], fleet.HostGone{Host: h.Name})
			}
		}
		w.history[z] = []*fleet.Map{w.maps[z]}
	}
	fail("vic-001", 3)
	fail("vic-002", 3)
	in := w.input("vic")
	actions := wave.Plan(in)
	if a := find(actions, wave.Quarantine); len(a) != 0 {
		t.Errorf("service fails on all hosts: quarantined %v, want none", a)
	}
	if a := find(actions, wave.Grant); slices.ContainsFunc(a, func(a wave.Action) bool { return a.Pool == "cenik" }) {
		t.Errorf("service that just failed everywhere is started again: %v", a)
	}
	in.Reported = make(map[string]string)
	for _, a := range find(actions, wave.Report) {
		in.Reported[a.Subject] = a.Reason
	}
	if in.Reported["failing/cenik"] == "" {
		t.Errorf("failing service not reported: %v", in.Reported)
	}
	if a := find(wave.Plan(in), wave.Report); len(a) != 0 {
		t.Errorf("findings reported again: %v", a)
	}
}

// TestSizes guards against a plan that uses the declared size of a service
// although its usage is reported.
func TestSizes(t *testing.T) {
	tx := kisla(text.Rollout)
	tx.Services[0].Memory = 500
	w := servingFleet(t, tx)
	w.edit(t, w.maps["vic"], fleet.HostAdded{Host: "vic-new", Rack: "vic-r00", Spare: "ostalo", Maintained: w.now})
	w.hosts = append(w.hosts, etcd.Host{Name: "vic-new", Zone: "vic", Role: "worker", State: etcd.Live, Cores: 16, Memory: 32, Booted: w.now})
	w.edit(t, w.maps["vic"], fleet.HostGone{Host: "vic-000"})
	in := w.input("vic")
	if a := find(wave.Plan(in), wave.Grant); len(a) != 0 {
		t.Errorf("grants %v to a service whose declared size fits no host, want none", a)
	}
	in.Usage = []etcd.Usage{{Host: "vic-001", Cores: 2, Memory: 10, At: w.now.Add(every)}}
	if a := find(wave.Plan(in), wave.Grant); len(a) != 1 || a[0].Host != "vic-new" {
		t.Errorf("grants %v, want vic-new, which the reported usage fits", a)
	}
	w = servingFleet(t, tx)
	for _, h := range []string{"vic-000", "vic-001", "vic-002"} {
		w.edit(t, w.maps["vic"], fleet.HostGone{Host: h})
	}
	in = w.input("vic")
	if a := find(wave.Plan(in), wave.Report); !slices.ContainsFunc(a, func(a wave.Action) bool { return a.Subject == "unfit/cenik" }) {
		t.Errorf("service that fits no host not reported: %v", a)
	}
}

// BenchmarkPlan measures one plan of one zone with all hosts due.
func BenchmarkPlan(b *testing.B) {
	for _, c := range []struct{ pools, hosts, zones int }{{5, 49, 3}, {50, 270, 3}, {201, 1100, 9}} {
		b.Run(fmt.Sprintf("pools=%d,hosts=%d,zones=%d", c.pools, c.hosts, c.zones), func(b *testing.B) {
			zones, names, rows := make([]string, c.zones), make([]string, c.pools), make([][]int, c.pools)
			for z := range zones {
				zones[z] = fmt.Sprintf("zone%d", z)
			}
			for i := range rows {
				names[i], rows[i] = fmt.Sprintf("pool%03d", i), make([]int, c.zones+1)
			}
			for h := range c.hosts { // the runners of a pool go to consecutive zones
				i, z := h%c.pools, (h%c.pools+h/c.pools)%c.zones
				rows[i][1+z]++
				rows[i][0] = (h/c.pools + 1) / 2
			}
			w := newReplay(b, newText(text.Rollout, zones, names, rows), 1, false)
			for _, z := range zones {
				w.history[z] = []*fleet.Map{w.maps[z]}
			}
			in := w.input(zones[0])
			b.ReportAllocs()
			for b.Loop() {
				wave.Plan(in)
			}
			b.ReportMetric(float64(len(wave.Plan(in))), "actions")
		})
	}
}
