package totals

import (
	"context"
	"sync/atomic"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/fleet"
)

// Hosts counts moves, maintenance and idle time of one zone's hosts at the
// daemon Self. Map is not safe for concurrent use.
type Hosts struct {
	Counter    *Counter
	Zone, Self string
	// Clock returns the time zone whose midnight ends a day.
	Clock func() *time.Location

	last *fleet.Map
	ran  map[string]string // pool of the last runner by host
}

// CountTransitions counts the transitions that a map records, if Self wrote it. Each map in
// force is passed once, in the order of the versions.
func (h *Hosts) CountTransitions(m *fleet.Map) {
	if m.Zone != h.Zone {
		return
	}
	ran := make(map[string]string, len(m.Hosts))
	for i := range m.Hosts {
		now := &m.Hosts[i]
		before, pool := h.ran[now.Name], now.Pool
		if now.State != fleet.Starting && now.State != fleet.Serving && now.State != fleet.Draining && now.State != fleet.Stopping {
			pool = before
		}
		ran[now.Name] = pool
		if now.Changed != m.Version || m.Writer != h.Self {
			continue
		}
		if before != "" && pool != before {
			atomic.AddInt64(&h.of(now.Since, pool).Moves, 1)
		}
		if from := h.maintained(now); from != "" {
			atomic.AddInt64(&h.of(now.Since, from).Maintained, 1)
		}
	}
	h.last, h.ran = m, ran
}

// maintained returns the pool that a host went to maintenance from if it just
// came back. It may have been granted in the same version, so that its state
// does not tell.
func (h *Hosts) maintained(now *fleet.Host) string {
	if !now.Maintained.Equal(now.Since) {
		return ""
	}
	if h.last != nil {
		if old := h.last.Host(now.Name); old != nil {
			return old.Pool
		}
	}
	return now.Pool
}

// CountIdle adds a minute to the pool of each host of a map that runs nothing. A
// runner that starts, drains or stops takes no new request and counts as well.
func (h *Hosts) CountIdle(m *fleet.Map, now time.Time) {
	for i := range m.Hosts {
		if m.Hosts[i].State != fleet.Serving {
			atomic.AddInt64(&h.of(now, m.Hosts[i].Pool).Buffer, 1)
		}
	}
}

// Run calls CountIdle every minute with the zone's map, while holds reports that
// Self is the zone's manager.
func (h *Hosts) Run(ctx context.Context, holds func() bool, zone func() *fleet.Map) error {
	tick := time.NewTicker(time.Minute)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			if m := zone(); m != nil && holds() {
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
