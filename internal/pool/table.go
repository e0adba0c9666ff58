package pool

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/admission"
	"gypsumtrestle.example/gypsumtrestle/internal/backend"
	"gypsumtrestle.example/gypsumtrestle/internal/fleet"
	"gypsumtrestle.example/gypsumtrestle/internal/peer"
	"gypsumtrestle.example/gypsumtrestle/internal/route"
	"gypsumtrestle.example/gypsumtrestle/internal/state"
	"gypsumtrestle.example/gypsumtrestle/pkg/text"
)

// roomLife is how long another zone's report of free slots is used. It is
// sent every second; two may be lost.
const roomLife = 3 * time.Second

// Pool is one service's pool at this daemon.
type Pool struct {
	Gate *admission.Gate
	// Budget bounds the retries.
	Budget route.Budget

	// The rest is guarded by Table.mu.
	shares [text.Classes]int
	// slots is the slots of the serving runners in this zone.
	slots int
	// spill is the slots in other zones that this daemon may use, by zone.
	spill map[string]spill
}

// spill is an allowance in another zone.
type spill struct {
	slots int
	until time.Time
}

// Table joins what is in force with the load that other daemons report. The
// request path reads it without a lock.
type Table struct {
	Zone string
	// Self is this daemon's incarnation.
	Self   string
	Picker *route.Picker

	pools  atomic.Pointer[map[string]*Pool]
	listed atomic.Bool

	mu sync.Mutex
	// demand is what the zone's other daemons last reported, by incarnation
	// and pool.
	demand map[string]map[string][text.Classes]int
	// reported is this daemon's demand by pool as the others last heard it.
	reported map[string][text.Classes]int
	// wanted holds the pools that are full in another zone, with the instant
	// at which that report expires.
	wanted map[string]time.Time
	closed bool
}

// Get returns a service's pool, or nil.
func (p *Table) Get(service string) *Pool {
	if m := p.pools.Load(); m != nil {
		return (*m)[service]
	}
	return nil
}

// Listed reports whether a map in force lists this daemon. One that no map lists
// has no runner to send to.
func (p *Table) Listed() bool { return p.listed.Load() }

// Set puts the text and the maps in force.
func (p *Table) Set(v *state.View, now time.Time) {
	if v.Text == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := false
	for _, m := range v.Maps {
		listed = listed || m.HasMember(p.Self)
	}
	p.listed.Store(listed)
	old := map[string]*Pool{}
	if m := p.pools.Load(); m != nil {
		old = *m
	}
	next := make(map[string]*Pool, len(v.Text.Services))
	runners := p.runnersOf(v)
	for i := range v.Text.Services {
		s := &v.Text.Services[i]
		pool := old[s.Name]
		if pool == nil {
			pool = &Pool{Gate: new(admission.Gate), spill: make(map[string]spill)}
			if p.closed {
				pool.Gate.Close()
			}
		}
		pool.Gate.SetShares(s.Share)
		pool.shares = s.Share
		pool.slots = p.localSlots(runners[s.Name], v.Leaving)
		next[s.Name] = pool
	}
	p.pools.Store(&next)
	p.Picker.Set(routes(v.Text, runners), v.Leaving)
	for name, pool := range old {
		if next[name] == nil {
			pool.Gate.Close()
		}
	}
	for name, pool := range next {
		p.divide(name, pool, now)
	}
}

// runnersOf lists the serving runners of all zones by pool. It leaves out the
// maps whose roster does not list this daemon: their managers do not wait for
// it when a host leaves its pool.
func (p *Table) runnersOf(v *state.View) map[string][]backend.Runner {
	out := make(map[string][]backend.Runner)
	for _, zone := range slices.Sorted(maps.Keys(v.Maps)) {
		m := v.Maps[zone]
		if !m.HasMember(p.Self) {
			continue
		}
		for i := range m.Hosts {
			h := &m.Hosts[i]
			if h.State == fleet.Serving && h.Addr.IsValid() {
				out[h.Pool] = append(out[h.Pool], backend.Runner{Host: h.Name, Zone: zone, Addr: h.Addr, Slots: h.Slots})
			}
		}
	}
	return out
}

func routes(t *text.Text, runners map[string][]backend.Runner) []route.Pool {
	out := make([]route.Pool, 0, len(t.Services))
	for i := range t.Services {
		name := t.Services[i].Name
		out = append(out, route.Pool{Name: name, Runners: runners[name]})
	}
	return out
}

func (p *Table) localSlots(runners []backend.Runner, leaving map[string]time.Time) int {
	n := 0
	for _, r := range runners {
		if _, gone := leaving[r.Host]; r.Zone == p.Zone && !gone {
			n += r.Slots
		}
	}
	return n
}

// divide gives the pool's gate its part of the zone's slots, and what other
// zones allow. The caller holds mu.
func (p *Table) divide(name string, pool *Pool, now time.Time) {
	daemons := append(slices.Collect(maps.Keys(p.demand)), p.Self)
	slices.Sort(daemons)
	demand := make([][text.Classes]int, len(daemons))
	self := 0
	for i, d := range daemons {
		if d == p.Self {
			// All daemons must divide by the same reports, or their parts do
			// not add up.
			self, demand[i] = i, p.reported[name]
		} else {
			demand[i] = p.demand[d][name]
		}
	}
	n := 0
	if pool.slots > 0 {
		n = admission.DivideSlots(nil, pool.slots, pool.shares, demand)[self]
	}
	zone := pool.slots
	for _, s := range pool.spill {
		if now.Before(s.until) {
			n, zone = n+s.slots, zone+s.slots
		}
	}
	pool.Gate.SetSlots(n)
	pool.Gate.SetZone(zone)
}

// SetOwnLoad takes in the load that was sent to the other daemons.
func (p *Table) SetOwnLoad(load *peer.Load, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.reported
	p.reported = demandOf(load)
	p.divideChanged(old, p.reported, now)
}

func demandOf(load *peer.Load) map[string][text.Classes]int {
	demand := make(map[string][text.Classes]int, len(load.Pools))
	for i := range load.Pools {
		demand[load.Pools[i].Pool] = load.Pools[i].Demand
	}
	return demand
}

// divideChanged divides the pools whose demand differs. The caller holds mu.
func (p *Table) divideChanged(old, now map[string][text.Classes]int, at time.Time) {
	for name, d := range now {
		if old[name] != d {
			p.divideOne(name, at)
		}
	}
	for name := range old {
		if _, ok := now[name]; !ok {
			p.divideOne(name, at)
		}
	}
}

func (p *Table) divideOne(name string, now time.Time) {
	if pool := p.Get(name); pool != nil {
		p.divide(name, pool, now)
	}
}

// SetRemoteLoad takes in the load of another daemon. Pools that the load leaves out
// have no requests there.
func (p *Table) SetRemoteLoad(from peer.Daemon, load *peer.Load, now time.Time) {
	p.Picker.RemoveDaemon(from.Incarnation)
	for i := range load.Pools {
		p.Picker.SetRemoteLoad(from.Incarnation, load.Pools[i].Pool, load.Pools[i].Running)
	}
	if from.Zone != p.Zone {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.demand == nil {
		p.demand = make(map[string]map[string][text.Classes]int)
	}
	old, first := p.demand[from.Incarnation], p.demand[from.Incarnation] == nil
	p.demand[from.Incarnation] = demandOf(load)
	if first {
		p.divideAll(now)
		return
	}
	p.divideChanged(old, p.demand[from.Incarnation], now)
}

// divideAll divides every pool, because the daemons of the zone changed. The
// caller holds mu.
func (p *Table) divideAll(now time.Time) {
	if m := p.pools.Load(); m != nil {
		for name, pool := range *m {
			p.divide(name, pool, now)
		}
	}
}

// RemoveDaemon drops what a daemon reported, when its link is gone.
func (p *Table) RemoveDaemon(incarnation string, now time.Time) {
	p.Picker.RemoveDaemon(incarnation)
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.demand[incarnation]; ok {
		delete(p.demand, incarnation)
		p.divideAll(now)
	}
}

// Expire ends the allowances in other zones that were not renewed.
func (p *Table) Expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.pools.Load()
	if m == nil {
		return
	}
	for name, pool := range *m {
		n := len(pool.spill)
		maps.DeleteFunc(pool.spill, func(_ string, s spill) bool { return !now.Before(s.until) })
		if len(pool.spill) < n {
			p.divide(name, pool, now)
		}
	}
}

// SetRemoteFreeSlots takes in another zone's room. This daemon uses the part of its rank
// among as many daemons as may send there.
func (p *Table) SetRemoteFreeSlots(zone string, room peer.FreeSlots, rank, of int, now time.Time) {
	until, free := now.Add(roomLife), room.Free
	p.Picker.SetFreeSlots(zone, free, rank, of, until)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.wanted == nil {
		p.wanted = make(map[string]time.Time)
	}
	for _, name := range room.Full {
		p.wanted[name] = until
	}
	m := p.pools.Load()
	if m == nil {
		return
	}
	for name, pool := range *m {
		n := route.Share(free[name], rank, of)
		old, had := pool.spill[zone]
		if n == 0 {
			delete(pool.spill, zone)
		} else {
			pool.spill[zone] = spill{n, until}
		}
		if n != old.slots || had != (n > 0) {
			p.divide(name, pool, now)
		}
	}
}

// Close refuses all new and queued requests as not run. Running ones end.
func (p *Table) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if m := p.pools.Load(); m != nil {
		for _, pool := range *m {
			pool.Gate.Close()
		}
	}
}

// InUse returns the running and queued requests of a pool at this daemon.
func (p *Table) InUse(service string) (running, queued int) {
	pool := p.Get(service)
	if pool == nil {
		return 0, 0
	}
	for _, n := range p.Picker.Running(service) {
		running += n
	}
	return running, max(0, sum(pool.Gate.Demand())-running)
}
