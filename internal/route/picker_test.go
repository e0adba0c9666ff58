package route

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gypsumtrestle.example/gypsumtrestle/internal/backend"
)

var t0 = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

// poolOf returns a pool of n runners in a zone, on hosts named ZONE-h0, ZONE-h1, …
func poolOf(name, zone string, n, slots int) Pool {
	p := Pool{Name: name}
	for i := range n {
		p.Runners = append(p.Runners, backend.Runner{
			Host: fmt.Sprintf("%s-h%d", zone, i), Zone: zone, Slots: slots,
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+i)),
		})
	}
	return p
}

func query(tried ...string) Query { return Query{Pool: "ascent", Tried: tried, Now: t0} }

var (
	answered = backend.Result{Outcome: backend.Answered, Response: &backend.Response{Status: 200}}
	failed   = backend.Result{Outcome: backend.Answered, Response: &backend.Response{Status: 500}}
)

// Guards against requests to runners that are leaving, full, ejected or already
// tried, and against a wrong reason when a runner is excluded.
func TestPickExcludes(t *testing.T) {
	later := t0.Add(time.Second)
	for _, c := range []struct {
		name    string
		arrange func(*Picker)
		query   Query
		host    string
		reason  PickReason
	}{
		{"least", func(p *Picker) { p.SetRemoteLoad("d2", "ascent", map[string]int{"a-h0": 2, "a-h2": 1}) }, query(), "a-h1", PickedLeast},
		{"no pool", func(*Picker) {}, Query{Pool: "crew", Now: t0}, "", NoPool},
		{"tried", func(*Picker) {}, query("a-h0", "a-h2"), "a-h1", PickedLeast},
		{"all tried", func(*Picker) {}, query("a-h0", "a-h1", "a-h2"), "", NoUntried},
		{"full", func(p *Picker) { p.SetRemoteLoad("d2", "ascent", map[string]int{"a-h0": 8, "a-h1": 8, "a-h2": 9}) }, query(), "", NoSlot},
		{"forgotten", func(p *Picker) {
			p.SetRemoteLoad("d2", "ascent", map[string]int{"a-h0": 8, "a-h1": 8, "a-h2": 9})
			p.SetRemoteLoad("d3", "ascent", map[string]int{"a-h0": 1, "a-h1": 1})
			p.RemoveDaemon("d2")
		}, query(), "a-h2", PickedLeast},
		{"leaving", func(p *Picker) {
			p.Set([]Pool{poolOf("ascent", "a", 3, 8)}, map[string]time.Time{"a-h0": t0, "a-h1": t0})
		}, query("a-h2"), "", NoUntried},
		{"said leaving", func(p *Picker) {
			for range 3 {
				p.Finish(p.Pick(query()), backend.Result{Outcome: backend.NotRun, Reason: backend.ReasonLeaving, Leaving: true}, t0)
			}
		}, query(), "", AllLeaving},
		{"ejected", func(p *Picker) { ejectOne(p, t0) }, query("a-h1", "a-h2"), "", NoHealthy},
		{"probe", func(p *Picker) { ejectOne(p, t0) }, Query{Pool: "ascent", Now: later}, "a-h0", PickedProbe},
		{"no probe by a retry", func(p *Picker) { ejectOne(p, t0) }, Query{Pool: "ascent", Now: later, Tried: []string{"a-h1", "a-h2"}}, "", NoHealthy},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := &Picker{Zone: "a"}
			p.Set([]Pool{poolOf("ascent", "a", 3, 8)}, nil)
			c.arrange(p)
			d := p.Pick(c.query)
			if (d.Member == nil) != (c.host == "") || d.Member != nil && d.Member.Host != c.host || d.Reason != c.reason {
				t.Errorf("picked %+v with reason %v, want host %q with reason %v", d.Member, d.Reason, c.host, c.reason)
			}
		})
	}
}

// ejectOne fails requests on a-h0 until it is ejected.
func ejectOne(p *Picker, now time.Time) {
	for range defaultFailures {
		p.Finish(p.Pick(Query{Pool: "ascent", Tried: []string{"a-h1", "a-h2"}, Now: now}), failed, now)
	}
}

// Guards against tie-breaking that favours one runner: all daemons would send to
// it at once.
func TestTieBreakUniform(t *testing.T) {
	p := &Picker{Zone: "a", Random: seeded(1)}
	p.Set([]Pool{poolOf("ascent", "a", 4, 8)}, nil)
	counts := make(map[string]int)
	for range 4000 {
		d := p.Pick(query())
		counts[d.Member.Host]++
		p.Finish(d, answered, t0)
	}
	for host, n := range counts {
		if n < 850 || n > 1150 {
			t.Errorf("%s was picked %d times of 4000, want 850 to 1150", host, n)
		}
	}
}

// Guards against runners that attract all requests because they fail them at once
// and so have the fewest outstanding ones. This includes a second failing runner,
// which may not be ejected because half of the pool must remain in service.
func TestFastFailuresAttractNoWork(t *testing.T) {
	for failing := range 3 {
		p := &Picker{Zone: "a", Random: seeded(1)}
		p.Set([]Pool{poolOf("ascent", "a", 3, 8)}, nil)
		var held []Decision
		failures := 0
		for i := range 1000 {
			now := t0.Add(time.Duration(i) * 10 * time.Millisecond)
			d := p.Pick(Query{Pool: "ascent", Now: now})
			if d.Member.Addr.Port() < uint16(1000+failing) {
				failures++
				p.Finish(d, failed, now)
				continue
			}
			if held = append(held, d); len(held) > 4 {
				p.Finish(held[0], answered, now)
				held = held[1:]
			}
		}
		// 5 until the first ejection, then probes after 1, 2 and 4 s.
		if failures != failing*8 {
			t.Errorf("%d requests were sent to %d failing runners, want 8 for each", failures, failing)
		}
	}
}

// Guards against ejection of more than half of the runners that are not leaving,
// for any order of failures, departures and returns: otherwise a fault in the
// requests themselves would take the whole pool out of service.
func TestEjectorFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "runners")
		p := &Picker{Zone: "a", Random: seeded(2), Ejector: Ejector{Failures: 1}}
		leaving := make(map[string]time.Time)
		p.Set([]Pool{poolOf("ascent", "a", n, 8)}, leaving)
		now := t0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			d := p.Pick(Query{Pool: "ascent", Now: now})
			if d.Member != nil {
				p.Finish(d, rapid.SampledFrom([]backend.Result{failed, failed, answered, {Outcome: backend.NotRun, Reason: backend.ReasonLeaving, Leaving: true}}).Draw(t, "result"), now)
			}
			if rapid.IntRange(0, 9).Draw(t, "set") == 0 {
				leaving[fmt.Sprintf("a-h%d", rapid.IntRange(0, n-1).Draw(t, "host"))] = now
				p.Set([]Pool{poolOf("ascent", "a", n, 8)}, leaving)
			}
			if out, total := p.load().group("ascent", "a").ejected(); out*2 > total {
				t.Fatalf("%d of %d runners are ejected", out, total)
			}
		}
	})
}

// Guards against several simultaneous probes of an ejected runner, and against
// ejection times that do not grow after a failed probe.
func TestProbe(t *testing.T) {
	p := &Picker{Zone: "a"}
	p.Set([]Pool{poolOf("ascent", "a", 3, 8)}, nil)
	ejectOne(p, t0)
	now := t0
	for _, out := range []time.Duration{1, 2, 4, 8} {
		if d := p.Pick(Query{Pool: "ascent", Now: now.Add(out*time.Second - 1)}); d.Reason != PickedLeast {
			t.Fatalf("runner was probed before its ejection time of %v s had passed", int(out))
		}
		now = now.Add(out * time.Second)
		probe := p.Pick(Query{Pool: "ascent", Now: now})
		if second := p.Pick(Query{Pool: "ascent", Now: now}); probe.Reason != PickedProbe || second.Reason == PickedProbe {
			t.Fatalf("after %v s: reasons %v, then %v, want one probe", int(out), probe.Reason, second.Reason)
		}
		if c := p.Finish(probe, failed, now); c != Ejected {
			t.Fatalf("change after a failed probe is %v, want Ejected", c)
		}
	}
	now = now.Add(16 * time.Second)
	if c := p.Finish(p.Pick(Query{Pool: "ascent", Now: now}), answered, now); c != Readmitted {
		t.Errorf("change after a successful probe is %v, want Readmitted", c)
	}
	if d := p.Pick(Query{Pool: "ascent", Now: now}); d.Reason != PickedLeast || d.Member.Host != "a-h0" {
		t.Errorf("picked %s with reason %v after readmission, want a-h0 with PickedLeast", d.Member.Host, d.Reason)
	}
}

// Guards against an avoided runner that gets requests before the free slots of
// another zone are used, and against one that stays avoided after a success.
func TestAvoidedRunner(t *testing.T) {
	p := &Picker{Zone: "a"}
	in := poolOf("ascent", "a", 1, 8)
	in.Runners = append(in.Runners, poolOf("ascent", "b", 1, 8).Runners...)
	p.Set([]Pool{in}, nil)
	ejectOne(p, t0)
	p.SetFreeSlots("b", map[string]int{"ascent": 1}, 0, 1, t0.Add(time.Second))
	first, second := p.Pick(query()), p.Pick(query())
	if first.Reason != PickedSpill || second.Reason != PickedAvoided {
		t.Fatalf("reasons %v, then %v, want PickedSpill, then PickedAvoided", first.Reason, second.Reason)
	}
	if c := p.Finish(second, answered, t0); c != Readmitted {
		t.Errorf("change after a success is %v, want Readmitted", c)
	}
}

// Guards against sending another zone more requests than this daemon's share of
// the free slots that the zone reported, any requests after the report has
// expired, or any requests while this zone has a free slot.
func TestSpillover(t *testing.T) {
	p := &Picker{Zone: "a"}
	in := poolOf("ascent", "a", 1, 1)
	in.Runners = append(in.Runners, poolOf("ascent", "b", 3, 8).Runners...)
	p.Set([]Pool{in}, nil)
	p.SetFreeSlots("b", map[string]int{"ascent": 7}, 1, 3, t0.Add(time.Second)) // shares 2, 2, 3
	var got []PickReason
	var last Decision
	for range 4 {
		d := p.Pick(query())
		got = append(got, d.Reason)
		if d.Member != nil {
			last = d
		}
	}
	if want := []PickReason{PickedLeast, PickedSpill, PickedSpill, NoSlot}; !slices.Equal(got, want) {
		t.Errorf("reasons %v, want %v", got, want)
	}
	p.Finish(last, answered, t0)
	if d := p.Pick(Query{Pool: "ascent", Now: t0.Add(time.Second)}); d.Member != nil {
		t.Errorf("picked %s although the report of free slots had expired", d.Member.Host)
	}
	if d := p.Pick(query()); d.Reason != PickedSpill {
		t.Errorf("reason %v with free slots in the other zone, want PickedSpill", d.Reason)
	}
	for free := range 20 {
		sum := 0
		for rank := range 7 {
			sum += Share(free, rank, 7)
		}
		if sum != free {
			t.Errorf("shares of %d free slots add up to %d", free, sum)
		}
	}
}

// Guards against a request to a host that has left the snapshot after Outstanding
// returned 0 for it: the manager stops the runner then. The test replaces the
// snapshot during a Pick, after Pick has loaded it.
func TestOutstandingNeverGrowsAfterSet(t *testing.T) {
	p := &Picker{Zone: "a"}
	p.Set([]Pool{poolOf("ascent", "a", 1, 8)}, nil)
	p.Random = func() uint64 {
		p.Set([]Pool{{Name: "ascent"}}, nil)
		if n := p.Outstanding("a-h0"); n != 0 {
			t.Errorf("%d requests outstanding, want 0", n)
		}
		return 0
	}
	if d := p.Pick(query()); d.Member != nil {
		t.Errorf("picked %s after Outstanding returned 0 for it", d.Member.Host)
	}
}

// Guards against retries that multiply the load of an overload in which every
// request fails.
func TestBudgetUnderOverload(t *testing.T) {
	var b Budget
	retries := 0
	for range 10000 {
		b.AddRequest()
		for range 3 {
			if b.AllowRetry() {
				retries++
			}
		}
	}
	if limit := 10000/retryCost + defaultBurst; retries > limit || retries < limit-1 {
		t.Errorf("%d retries for 10000 requests, want 10%% plus the burst", retries)
	}
}

// Guards against heap allocations in a decision: garbage collection would increase
// the tail latency of requests.
func TestPickAllocatesNothing(t *testing.T) {
	p := &Picker{Zone: "a"}
	p.Set([]Pool{poolOf("ascent", "a", 49, 8)}, nil)
	q := query("a-h1")
	if n := testing.AllocsPerRun(1000, func() { p.Finish(p.Pick(q), answered, t0) }); n != 0 {
		t.Errorf("%v allocations per decision, want 0", n)
	}
}

// TestAllowBusy guards against a runner that is excluded because late reports show
// it as full, and against requests to one that has just rejected a request as
// busy, until busyRetryDelay has passed or a request of this daemon there has
// ended.
func TestAllowBusy(t *testing.T) {
	p := &Picker{Zone: "a", Random: seeded(1)}
	p.Set([]Pool{poolOf("x", "a", 1, 2)}, nil)
	now := time.Unix(1000, 0)
	host := p.load().pools["x"].local.members[0].Host
	pickBusy := func() Decision { return p.Pick(Query{Pool: "x", AllowBusy: true, Now: now}) }
	first := pickBusy()
	p.SetRemoteLoad("other", "x", map[string]int{host: 2})
	if d := p.Pick(Query{Pool: "x", Now: now}); d.Reason != NoSlot {
		t.Errorf("without AllowBusy: reason %v, want NoSlot", d.Reason)
	}
	d := pickBusy()
	if d.Member == nil {
		t.Fatalf("with AllowBusy: no runner, reason %v", d.Reason)
	}
	p.Finish(d, backend.Result{Outcome: backend.NotRun, Reason: backend.ReasonBusy}, now)
	if pickBusy().Member != nil {
		t.Error("picked a runner that has just rejected a request as busy")
	}
	p.Finish(first, backend.Result{Outcome: backend.Answered, Response: &backend.Response{Status: 200}}, now)
	if d = pickBusy(); d.Member == nil {
		t.Fatalf("after a request on the runner ended: no runner, reason %v", d.Reason)
	}
	p.Finish(d, backend.Result{Outcome: backend.NotRun, Reason: backend.ReasonBusy}, now)
	if now = now.Add(busyRetryDelay); pickBusy().Member == nil {
		t.Error("runner is still treated as full after busyRetryDelay")
	}
}
