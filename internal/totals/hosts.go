package totals

import (
	"context"
	"sync/atomic"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/fleet"
)

// Hosts counts moves, maintenance and idle time of the hosts of one zone, at the
// daemon Self. CountTransitions is not safe for concurrent use.
type Hosts struct {
	Counter    *Counter
	Zone, Self string
	// Clock returns the time zone in which days are counted.
	Clock func() *time.Location

	previous *fleet.Map
	lastPool map[string]string // pool of the last runner, by host
}

// CountTransitions counts the transitions that a map records, if Self wrote it.
// It must be called once with each map that becomes active, in the order of the
// versions.
func (h *Hosts) CountTransitions(m *fleet.Map) {
	if m.Zone != h.Zone {
		return
	}
	lastPool := make(map[string]string, len(m.Hosts))
	for i := range m.Hosts {
		host := &m.Hosts[i]
		before, pool := h.lastPool[host.Name], host.Pool
		if host.State != fleet.Starting && host.State != fleet.Serving && host.State != fleet.Draining && host.State != fleet.Stopping {
			pool = before
		}
		lastPool[host.Name] = pool
		if host.Changed != m.Version || m.Writer != h.Self {
			continue
		}
		if before != "" && pool != before {
			atomic.AddInt64(&h.of(host.Since, pool).Moves, 1)
		}
		if from := h.maintained(host); from != "" {
			atomic.AddInt64(&h.of(host.Since, from).Maintained, 1)
		}
	}
	h.previous, h.lastPool = m, lastPool
}

// maintained returns the pool that a host left for maintenance, if it has just
// returned. The state of the host does not show this, since the host may have
// been granted in the same version.
func (h *Hosts) maintained(host *fleet.Host) string {
	if !host.Maintained.Equal(host.Since) {
		return ""
	}
	if h.previous != nil {
		if old := h.previous.Host(host.Name); old != nil {
			return old.Pool
		}
	}
	return host.Pool
}

// CountIdle adds an idle minute to the pool of each host in m that does not serve.
// A runner that is starting, draining or stopping accepts no new requests, so its
// host counts as idle.
func (h *Hosts) CountIdle(m *fleet.Map, now time.Time) {
	for i := range m.Hosts {
		if m.Hosts[i].State != fleet.Serving {
			atomic.AddInt64(&h.of(now, m.Hosts[i].Pool).Buffer, 1)
		}
	}
}

// Run calls CountIdle with the zone's map every minute in which isManager reports
// that Self is the manager of the zone.
func (h *Hosts) Run(ctx context.Context, isManager func() bool, zoneMap func() *fleet.Map) error {
	tick := time.NewTicker(time.Minute)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			if m := zoneMap(); m != nil && isManager() {
				h.CountIdle(m, now)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

func (h *Hosts) of(at time.Time, pool string) *Count {
	return h.Counter.Of(DayOf(at, h.Clock()), pool)
}
