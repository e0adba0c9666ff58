package route

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/backend"
)

// maxReserveTries is the number of times that Pick chooses again because the
// count of the chosen runner changed concurrently. After that, it counts the
// request regardless; a runner rejects requests that exceed its slots.
const maxReserveTries = 4

// busyRetryDelay is the time for which a runner is treated as full after it
// rejected a request as busy. The surge measurement in docs/floods.md uses the
// same value.
const busyRetryDelay = 20 * time.Millisecond

// Pool lists the runners of one pool that routing may use, in all zones.
type Pool struct {
	Name    string
	Runners []backend.Runner
}

// Picker chooses runners. Pick and Finish do not lock, except when a runner is
// ejected or readmitted or has reported that it is leaving. The zero value is
// ready to use.
type Picker struct {
	// Zone is the daemon's own zone.
	Zone string
	// Random returns random numbers. It may be called from several goroutines;
	// nil means rand.Uint64.
	Random  func() uint64
	Ejector Ejector

	snapshot atomic.Pointer[snapshot]

	mu         sync.Mutex
	counters   map[memberKey]*counters     // guarded by mu
	allowances map[allowanceKey]*allowance // guarded by mu
	reports    map[string]report           // guarded by mu; by daemon
}

// memberKey identifies a runner across snapshots.
type memberKey struct {
	pool, host string
	addr       netip.AddrPort
}

type allowanceKey struct{ pool, zone string }

// report is the number of running requests of one daemon, by pool and host.
type report map[string]map[string]int

var emptySnapshot = new(snapshot)

func (p *Picker) load() *snapshot {
	if s := p.snapshot.Load(); s != nil {
		return s
	}
	return emptySnapshot
}

// Pick chooses a runner and counts the request as outstanding on it. Each
// Decision with a Member must be passed to Finish exactly once.
func (p *Picker) Pick(q Query) Decision {
	random := p.Random
	if random == nil {
		random = rand.Uint64
	}
	for n := 0; ; n++ {
		s := p.load()
		d := choose(s, q, random())
		if d.Member == nil {
			return d
		}
		if !d.reserve(n >= maxReserveTries) {
			continue
		}
		// If Set has replaced the snapshot since, Outstanding may already have
		// returned 0 for the runner's host, so the request must not be sent
		// there.
		if p.load() == s {
			return d
		}
		d.release()
		if d.Reason == PickedProbe {
			d.Member.probing.Store(false)
		}
	}
}

// reserve counts the request as outstanding if the counts have not changed since
// the choice. With force, it ignores changes of the runner's count. It reports
// whether the request was counted.
func (d *Decision) reserve(force bool) bool {
	if d.allowance != nil && d.allowance.used.Add(1) > d.allowance.limit.Load() {
		d.allowance.used.Add(-1)
		return false
	}
	if d.reserveMember(force) {
		return true
	}
	if d.allowance != nil {
		d.allowance.used.Add(-1)
	}
	return false
}

func (d *Decision) reserveMember(force bool) bool {
	m := d.Member
	if d.Reason == PickedProbe {
		if !m.probing.CompareAndSwap(false, true) {
			return false
		}
		m.own.Add(1)
		return true
	}
	before := int32(d.Outstanding) - m.others.Load()
	if m.own.CompareAndSwap(before, before+1) {
		return true
	}
	if force {
		m.own.Add(1)
	}
	return force
}

// release reverses reserve.
func (d *Decision) release() {
	d.Member.own.Add(-1)
	if d.allowance != nil {
		d.allowance.used.Add(-1)
	}
}

// Finish ends an attempt with its result. It returns the change of the runner's
// ejection state.
func (p *Picker) Finish(d Decision, res backend.Result, now time.Time) Change {
	m := d.Member
	d.release()
	if res.Reason == backend.ReasonBusy {
		m.fullUntil.Store(now.Add(busyRetryDelay).UnixNano())
	} else if m.fullUntil.Load() != 0 {
		m.fullUntil.Store(0)
	}
	probe := d.Reason == PickedProbe
	s := classify(res)
	if s == neutral && !probe && !res.Leaving {
		return Unchanged
	}
	g := p.load().group(m.Pool, m.Zone)
	if g == nil {
		g = &group{}
	}
	if res.Leaving {
		m.reportedLeaving.Store(true)
		p.Ejector.limitEjections(g)
	}
	return p.Ejector.observe(g, m, probe, s, now)
}

// group returns the members of a pool in a zone, or nil.
func (s *snapshot) group(name, zone string) *group {
	p := s.pools[name]
	if p == nil {
		return nil
	}
	if p.local.zone == zone {
		return &p.local
	}
	for i := range p.remote {
		if p.remote[i].zone == zone {
			return &p.remote[i]
		}
	}
	return nil
}

// Outstanding returns the number of requests of this daemon on all runners of a
// host. After a Set without the host, or with the host leaving, it never
// increases.
func (p *Picker) Outstanding(host string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for k, c := range p.counters {
		if k.host == host {
			n += int(c.own.Load())
		}
	}
	return n
}

// Running returns the number of requests of this daemon on the runners of a pool,
// by host. It omits runners that are no longer in the snapshot.
func (p *Picker) Running(pool string) map[string]int {
	out := make(map[string]int)
	pl := p.load().pools[pool]
	if pl == nil {
		return out
	}
	pl.local.addRunning(out)
	for i := range pl.remote {
		pl.remote[i].addRunning(out)
	}
	return out
}

func (g *group) addRunning(out map[string]int) {
	for i := range g.members {
		if n := int(g.members[i].own.Load()); n > 0 {
			out[g.members[i].Host] += n
		}
	}
}
