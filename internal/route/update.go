package route

import (
	"maps"
	"slices"
	"time"
)

// Set replaces the runners of all pools. Hosts in leaving get no new requests. The
// counters of runners that remain, or that still have requests, are retained.
func (p *Picker) Set(pools []Pool, leaving map[string]time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := &snapshot{pools: make(map[string]*pool, len(pools))}
	listed := make(map[memberKey]bool)
	for i := range pools {
		in := &pools[i]
		out := &pool{local: group{zone: p.Zone}}
		for _, r := range in.Runners {
			k := memberKey{in.Name, r.Host, r.Addr}
			listed[k] = true
			_, isLeaving := leaving[r.Host]
			g := p.groupFor(out, in.Name, r.Zone)
			g.members = append(g.members, Member{Runner: r, Pool: in.Name, leaving: isLeaving, counters: p.countersFor(k)})
		}
		next.pools[in.Name] = out
	}
	p.snapshot.Store(next)
	// A count of 0 may increase until the new snapshot is stored, so counters are
	// deleted only after that.
	for k, c := range p.counters {
		if !listed[k] && c.own.Load() == 0 {
			delete(p.counters, k)
		}
	}
	for name, pl := range next.pools {
		p.sumReports(name)
		p.Ejector.limitEjections(&pl.local)
		for i := range pl.remote {
			p.Ejector.limitEjections(&pl.remote[i])
		}
	}
}

// groupFor returns the group of a zone in a pool that Set is building. The caller
// must hold mu.
func (p *Picker) groupFor(out *pool, name, zone string) *group {
	if zone == p.Zone {
		return &out.local
	}
	for i := range out.remote {
		if out.remote[i].zone == zone {
			return &out.remote[i]
		}
	}
	k := allowanceKey{name, zone}
	if p.allowances == nil {
		p.allowances = make(map[allowanceKey]*allowance)
	}
	if p.allowances[k] == nil {
		p.allowances[k] = new(allowance)
	}
	out.remote = append(out.remote, group{zone: zone, allowance: p.allowances[k]})
	return &out.remote[len(out.remote)-1]
}

// countersFor returns the counters of a runner. The caller must hold mu.
func (p *Picker) countersFor(k memberKey) *counters {
	if p.counters == nil {
		p.counters = make(map[memberKey]*counters)
	}
	if p.counters[k] == nil {
		p.counters[k] = new(counters)
	}
	return p.counters[k]
}

// SetRemoteLoad sets how many requests another daemon runs on the runners of a
// pool, by host. It replaces the last report of that daemon for the pool.
func (p *Picker) SetRemoteLoad(daemon, pool string, running map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reports == nil {
		p.reports = make(map[string]report)
	}
	if p.reports[daemon] == nil {
		p.reports[daemon] = make(report)
	}
	p.reports[daemon][pool] = running
	p.sumReports(pool)
}

// RemoveDaemon removes the reports of a daemon that no longer exists.
func (p *Picker) RemoveDaemon(daemon string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pools := slices.Collect(maps.Keys(p.reports[daemon]))
	delete(p.reports, daemon)
	for _, pool := range pools {
		p.sumReports(pool)
	}
}

// sumReports adds up the reports of all daemons for a pool. The caller must hold
// mu.
func (p *Picker) sumReports(name string) {
	pl := p.load().pools[name]
	if pl == nil {
		return
	}
	var last []map[string]int
	for _, r := range p.reports {
		last = append(last, r[name])
	}
	pl.local.setOthers(last)
	for i := range pl.remote {
		pl.remote[i].setOthers(last)
	}
}

// setOthers sets the number of reported requests of each member.
func (g *group) setOthers(reports []map[string]int) {
	for i := range g.members {
		n := 0
		for _, running := range reports {
			n += running[g.members[i].Host]
		}
		g.members[i].others.Store(int32(n))
	}
}

// SetFreeSlots sets the free slots of another zone, by pool. This daemon may use
// its Share of them until the report expires; rank is its position among the
// daemons that may send to that zone, and of is their number.
func (p *Picker) SetFreeSlots(zone string, free map[string]int, rank, of int, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k, r := range p.allowances {
		if k.zone == zone {
			r.set(Share(free[k.pool], rank, of), until)
		}
	}
}
