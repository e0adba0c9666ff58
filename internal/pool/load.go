package pool

import (
	"maps"
	"slices"
	"strings"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/peer"
	"gypsumtrestle.example/gypsumtrestle/pkg/text"
)

// Load returns the pools at which this daemon has requests, in the order of
// their names. It runs ten times a second, so only those are sorted.
func (p *Table) Load() *peer.Load {
	load := new(peer.Load)
	m := p.pools.Load()
	if m == nil {
		return load
	}
	for name, pool := range *m {
		demand := pool.Gate.Demand()
		if demand != ([text.Classes]int{}) {
			load.Pools = append(load.Pools, peer.PoolLoad{Pool: name, Demand: demand, Running: p.Picker.Running(name)})
		}
	}
	slices.SortFunc(load.Pools, func(a, b peer.PoolLoad) int { return strings.Compare(a.Pool, b.Pool) })
	return load
}

// FreeSlots returns the free slots of this zone for the pools that another zone
// wants, and the pools that are full here. Offering every free slot to every
// zone each second would take 11 KB/s at 201 pools (docs/CAPACITY.md).
func (p *Table) FreeSlots(now time.Time) peer.FreeSlots {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out peer.FreeSlots
	m := p.pools.Load()
	if m == nil {
		return out
	}
	maps.DeleteFunc(p.wanted, func(_ string, until time.Time) bool { return !now.Before(until) })
	for name, pool := range *m {
		n := pool.slots - sum(pool.Gate.Demand())
		for _, d := range p.demand {
			n -= sum(d[name])
		}
		_, wanted := p.wanted[name]
		switch {
		case n <= 0 && n < pool.slots:
			out.Full = append(out.Full, name)
		case n > 0 && wanted:
			if out.Free == nil {
				out.Free = make(map[string]int)
			}
			out.Free[name] = n
		}
	}
	slices.Sort(out.Full)
	return out
}

func sum(d [text.Classes]int) int {
	n := 0
	for _, v := range d {
		n += v
	}
	return n
}
