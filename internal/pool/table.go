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

// freeSlotsTTL is how long another zone's report of free slots is used. Reports
// are sent every second; two may be lost.
const freeSlotsTTL = 3 * time.Second

// Pool is one service's pool at this daemon.
type Pool struct {
	Gate *admission.Gate
	// Budget limits the retries.
	Budget route.Budget

	// The fields below are guarded by Table.mu.
	shares [text.Classes]int
	// slots is the number of slots of the serving runners in this zone.
	slots int
	// spill holds the slots in other zones that this daemon may use, by zone.
	spill map[string]spill
}

// spill is the number of slots in another zone that this daemon may use until a
// time.
type spill struct {
	slots int
	until time.Time
}

// Table combines the active text and maps with the load that other daemons
// report. The request path reads it without a lock.
type Table struct {
	Zone string
	// Self is this daemon's incarnation.
	Self   string
	Picker *route.Picker

	pools  atomic.Pointer[map[string]*Pool]
	listed atomic.Bool

	mu sync.Mutex
	// demand is the last reported demand of the zone's other daemons, by
	// incarnation and pool.
	demand map[string]map[string][text.Classes]int
	// ownDemand is this daemon's demand by pool as last sent to the other
	// daemons.
	ownDemand map[string][text.Classes]int
	// wantedUntil holds the pools that are full in another zone, with the time
	// at which that report expires.
	wantedUntil map[string]time.Time
	closed      bool
}

// Get returns a service's pool, or nil.
func (t *Table) Get(service string) *Pool {
	if m := t.pools.Load(); m != nil {
		return (*m)[service]
	}
	return nil
}

// Listed reports whether an active map lists this daemon. A daemon that no map
// lists has no runner to send requests to.
func (t *Table) Listed() bool { return t.listed.Load() }

// Set activates the text and the maps of a view.
func (t *Table) Set(v *state.View, now time.Time) {
	if v.Text == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := false
	for _, m := range v.Maps {
		listed = listed || m.HasMember(t.Self)
	}
	t.listed.Store(listed)
	old := map[string]*Pool{}
	if m := t.pools.Load(); m != nil {
		old = *m
	}
	next := make(map[string]*Pool, len(v.Text.Services))
	runners := t.servingRunners(v)
	for i := range v.Text.Services {
		s := &v.Text.Services[i]
		pool := old[s.Name]
		if pool == nil {
			pool = &Pool{Gate: new(admission.Gate), spill: make(map[string]spill)}
			if t.closed {
				pool.Gate.Close()
			}
		}
		pool.Gate.SetShares(s.Share)
		pool.shares = s.Share
		pool.slots = t.localSlots(runners[s.Name], v.Leaving)
		next[s.Name] = pool
	}
	t.pools.Store(&next)
	t.Picker.Set(routes(v.Text, runners), v.Leaving)
	for name, pool := range old {
		if next[name] == nil {
			pool.Gate.Close()
		}
	}
	for name, pool := range next {
		t.divide(name, pool, now)
	}
}

// servingRunners returns the serving runners of all zones by pool. It leaves
// out the maps whose roster does not list this daemon, because their managers
// do not wait for it when a host leaves its pool.
func (t *Table) servingRunners(v *state.View) map[string][]backend.Runner {
	out := make(map[string][]backend.Runner)
	for _, zone := range slices.Sorted(maps.Keys(v.Maps)) {
		m := v.Maps[zone]
		if !m.HasMember(t.Self) {
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

func (t *Table) localSlots(runners []backend.Runner, leaving map[string]time.Time) int {
	n := 0
	for _, r := range runners {
		if _, leaves := leaving[r.Host]; r.Zone == t.Zone && !leaves {
			n += r.Slots
		}
	}
	return n
}

// divide sets the slots of the pool's gate: this daemon's share of the zone's
// slots and the slots that it may use in other zones. The caller holds mu.
func (t *Table) divide(name string, pool *Pool, now time.Time) {
	daemons := append(slices.Collect(maps.Keys(t.demand)), t.Self)
	slices.Sort(daemons)
	demand := make([][text.Classes]int, len(daemons))
	self := 0
	for i, d := range daemons {
		if d == t.Self {
			// All daemons must divide by the same reports, or their shares do
			// not add up to the zone's slots.
			self, demand[i] = i, t.ownDemand[name]
		} else {
			demand[i] = t.demand[d][name]
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
	pool.Gate.SetZoneSlots(zone)
}

// SetOwnLoad records the load that was sent to the other daemons.
func (t *Table) SetOwnLoad(load *peer.Load, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.ownDemand
	t.ownDemand = demandOf(load)
	t.divideChanged(old, t.ownDemand, now)
}

func demandOf(load *peer.Load) map[string][text.Classes]int {
	demand := make(map[string][text.Classes]int, len(load.Pools))
	for i := range load.Pools {
		demand[load.Pools[i].Pool] = load.Pools[i].Demand
	}
	return demand
}

// divideChanged divides the slots of the pools whose demand has changed. The
// caller holds mu.
func (t *Table) divideChanged(old, next map[string][text.Classes]int, now time.Time) {
	for name, d := range next {
		if old[name] != d {
			t.divideByName(name, now)
		}
	}
	for name := range old {
		if _, ok := next[name]; !ok {
			t.divideByName(name, now)
		}
	}
}

func (t *Table) divideByName(name string, now time.Time) {
	if pool := t.Get(name); pool != nil {
		t.divide(name, pool, now)
	}
}

// SetRemoteLoad records the load of another daemon. Pools that the load leaves
// out have no requests there.
func (t *Table) SetRemoteLoad(from peer.Daemon, load *peer.Load, now time.Time) {
	t.Picker.RemoveDaemon(from.Incarnation)
	for i := range load.Pools {
		t.Picker.SetRemoteLoad(from.Incarnation, load.Pools[i].Pool, load.Pools[i].Running)
	}
	if from.Zone != t.Zone {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.demand == nil {
		t.demand = make(map[string]map[string][text.Classes]int)
	}
	old, first := t.demand[from.Incarnation], t.demand[from.Incarnation] == nil
	t.demand[from.Incarnation] = demandOf(load)
	if first {
		t.divideAll(now)
		return
	}
	t.divideChanged(old, t.demand[from.Incarnation], now)
}

// divideAll divides the slots of every pool, because the daemons of the zone
// changed. The caller holds mu.
func (t *Table) divideAll(now time.Time) {
	if m := t.pools.Load(); m != nil {
		for name, pool := range *m {
			t.divide(name, pool, now)
		}
	}
}

// RemoveDaemon removes the load of a daemon whose link is lost.
func (t *Table) RemoveDaemon(incarnation string, now time.Time) {
	t.Picker.RemoveDaemon(incarnation)
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.demand[incarnation]; ok {
		delete(t.demand, incarnation)
		t.divideAll(now)
	}
}

// Expire removes the slots in other zones whose report has expired.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.pools.Load()
	if m == nil {
		return
	}
	for name, pool := range *m {
		n := len(pool.spill)
		maps.DeleteFunc(pool.spill, func(_ string, s spill) bool { return !now.Before(s.until) })
		if len(pool.spill) < n {
			t.divide(name, pool, now)
		}
	}
}

// SetRemoteFreeSlots records the free slots of another zone. This daemon uses
// the share of its rank among the daemons that may send requests there; of is
// their number.
func (t *Table) SetRemoteFreeSlots(zone string, remote peer.FreeSlots, rank, of int, now time.Time) {
	until, free := now.Add(freeSlotsTTL), remote.Free
	t.Picker.SetFreeSlots(zone, free, rank, of, until)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.wantedUntil == nil {
		t.wantedUntil = make(map[string]time.Time)
	}
	for _, name := range remote.Full {
		t.wantedUntil[name] = until
	}
	m := t.pools.Load()
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
			t.divide(name, pool, now)
		}
	}
}

// Close rejects all new and queued requests as not run. Running requests
// continue.
func (t *Table) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	if m := t.pools.Load(); m != nil {
		for _, pool := range *m {
			pool.Gate.Close()
		}
	}
}

// InUse returns the running and queued requests of a pool at this daemon.
func (t *Table) InUse(service string) (running, queued int) {
	pool := t.Get(service)
	if pool == nil {
		return 0, 0
	}
	for _, n := range t.Picker.Running(service) {
		running += n
	}
	return running, max(0, sum(pool.Gate.Demand())-running)
}
