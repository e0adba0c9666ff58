package totals

import (
	"maps"
	"sync"
	"sync/atomic"
)

// Counter holds the counts of one daemon. Incrementing takes no lock once Of has
// been called for the service and day. The zero value is ready to use.
type Counter struct {
	cells atomic.Pointer[map[cell]*Count]
	mu    sync.Mutex // serializes the growth of cells
}

type cell struct {
	day     Day
	service string
}

// Of returns the counts of a service and day. Its fields must be changed with
// sync/atomic only.
func (c *Counter) Of(day Day, service string) *Count {
	k := cell{day, service}
	if m := c.cells.Load(); m != nil {
		if n := (*m)[k]; n != nil {
			return n
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	next := map[cell]*Count{}
	if m := c.cells.Load(); m != nil {
		if n := (*m)[k]; n != nil {
			return n
		}
		next = maps.Clone(*m)
	}
	next[k] = new(Count)
	c.cells.Store(&next)
	return next[k]
}

// snapshot returns the counts by day and service.
func (c *Counter) snapshot() map[Day]map[string]Count {
	out := make(map[Day]map[string]Count)
	m := c.cells.Load()
	if m == nil {
		return out
	}
	for k, n := range *m {
		if out[k.day] == nil {
			out[k.day] = make(map[string]Count)
		}
		out[k.day][k.service] = n.load()
	}
	return out
}

// drop removes the days before the given one, which must be stored.
func (c *Counter) drop(before Day) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.cells.Load()
	if m == nil {
		return
	}
	next := maps.Clone(*m)
	maps.DeleteFunc(next, func(k cell, _ *Count) bool { return k.day < before })
	c.cells.Store(&next)
}
