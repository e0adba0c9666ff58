package pool

import (
	"maps"
	"slices"
	"strings"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/peer"
	"gypsumtrestle.example/gypsumtrestle/pkg/text"
)

// Load returns this daemon's load on the pools for which it has requests, in
// the order of their names. It runs ten times per second, so only those are
// sorted.
func (t *Table) Load() *peer.Load {
	load := new(peer.Load)
	m := t.pools.Load()
	if m == nil {
		return load
	}
	for name, pool := range *m {
		demand := pool.Gate.Demand()
		if demand != ([text.Classes]int{}) {
			load.Pools = append(load.Pools, peer.PoolLoad{Pool: name, Demand: demand, Running: t.Picker.Running(name)})
		}
	}
	slices.SortFunc(load.Pools, func(a, b peer.PoolLoad) int { return strings.Compare(a.Pool, b.Pool) })
	return load
}

// FreeSlots returns the free slots of this zone for the pools that another zone
// wants, and the pools that are full in this zone. Advertising all free slots
// to every zone each second would take 11 KB/s at 201 pools (docs/CAPACITY.md).
func (t *Table) FreeSlots(now time.Time) peer.FreeSlots {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out peer.FreeSlots
	m := t.pools.Load()
	if m == nil {
		return out
	}
	maps.DeleteFunc(t.wantedUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	for name, pool := range *m {
		n := pool.slots - sum(pool.Gate.Demand())
		for _, d := range t.demand {
			n -= sum(d[name])
		}
		_, wanted := t.wantedUntil[name]
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
