package route

import (
	"maps"
	"slices"
	"time"
)

// Set replaces the runners of all pools. Hosts in leaving take no new work.
// Counts of runners that stay, or that still have requests, are kept.
func (p *Picker) Set(pools []Pool, leaving map[string]time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := &snapshot{pools: make(map[string]*pool, len(pools))}
	kept := make(map[memberKey]bool)
	for i := range pools {
		in := &pools[i]
		out := &pool{local: group{zone: p.Zone}}
		for _, r := range in.Runners {
			k := memberKey{in.Name, r.Host, r.Addr}
			kept[k] = true
			_, gone := leaving[r.Host]
			g := p.groupFor(out, in.Name, r.Zone)
			g.members = append(g.members, Member{Runner: r, Pool: in.Name, leaving: gone, counters: p.countersOf(k)})
		}
		next.pools[in.Name] = out
	}
	p.snapshot.Store(next)
	// Only after the new snapshot is in place does a count of zero last.
	for k, c := range p.counters {
		if !kept[k] && c.own.Load() == 0 {
			delete(p.counters, k)
		}
	}
	for name, pl := range next.pools {
		p.sumReports(name)
		p.Ejector.keepHalf(&pl.local)
		for i := range pl.remote {
			p.Ejector.keepHalf(&pl.remote[i])
		}
	}
}

// groupFor returns the group of a zone in a pool that is being built. The
// caller holds mu.
func (p *Picker) groupFor(out *pool, name, zone string) *group {
	if zone == p.Zone {
		return &out.local
	}
	for i := range out.remote {
		if out.remote[i].zone == zone {
			return &out.remote[i]
		}
	}
	k := roomKey{name, zone}
	if p.rooms == nil {
		p.rooms = make(map[roomKey]*room)
	}
	if p.rooms[k] == nil {
		p.rooms[k] = new(room)
	}
	out.remote = append(out.remote, group{zone: zone, room: p.rooms[k]})
	return &out.remote[len(out.remote)-1]
}

// countersOf returns a runner's counters. The caller holds mu.
func (p *Picker) countersOf(k memberKey) *counters {
	if p.counters == nil {
		p.counters = make(map[memberKey]*counters)
	}
	if p.counters[k] == nil {
		p.counters[k] = new(counters)
	}
	return p.counters[k]
}

// SetRemoteLoad takes in how many requests another daemon runs on a pool's runners,
// by host. It replaces the daemon's last report on the pool.
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

// RemoveDaemon drops the reports of a daemon that has gone.
func (p *Picker) RemoveDaemon(daemon string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pools := slices.Collect(maps.Keys(p.reports[daemon]))
	delete(p.reports, daemon)
	for _, pool := range pools {
		p.sumReports(pool)
	}
}

// sumReports adds up all daemons' reports on a pool. The caller holds mu.
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

// setOthers adds up the reported requests of each member.
func (g *group) setOthers(reports []map[string]int) {
	for i := range g.members {
		n := 0
		for _, running := range reports {
			n += running[g.members[i].Host]
		}
		g.members[i].others.Store(int32(n))
	}
}

// SetFreeSlots takes in another zone's free slots by pool. This daemon, of the given
// rank among as many that may send there, uses its Share until the report
// expires.
func (p *Picker) SetFreeSlots(zone string, free map[string]int, rank, of int, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k, r := range p.rooms {
		if k.zone == zone {
			r.set(Share(free[k.pool], rank, of), until)
		}
	}
}
