package daemon

import (
	"context"
	"maps"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/fleet"
	"gypsumtrestle.example/gypsumtrestle/internal/peer"
	"gypsumtrestle.example/gypsumtrestle/internal/pool"
	"gypsumtrestle.example/gypsumtrestle/internal/route"
	"gypsumtrestle.example/gypsumtrestle/internal/state"
)

const (
	// confirmInterval is how often outstanding requests on draining hosts are
	// counted.
	confirmInterval = 100 * time.Millisecond
	// resendInterval is when an unchanged confirmation is sent again, for a
	// manager that took over or did not receive it.
	resendInterval = 2 * time.Second
)

// confirmer activates new state on the request path, and then reports to each
// zone's manager which map version this daemon routes by.
type confirmer struct {
	tracker    *state.Tracker
	pools      *pool.Table
	picker     *route.Picker
	send       func(zone string, m peer.Confirm)
	flushes    chan chan struct{}
	done       chan struct{}
	sent       map[string]peer.Confirm
	nextResend time.Time
	applied    *state.View
}

func (c *confirmer) run(ctx context.Context) error {
	defer close(c.done)
	tick := time.NewTicker(confirmInterval)
	defer tick.Stop()
	for {
		changed := c.tracker.Changed()
		c.apply(time.Now())
		select {
		case <-changed:
		case <-tick.C:
		case done := <-c.flushes:
			c.apply(time.Now())
			close(done)
		case <-ctx.Done():
			return nil
		}
	}
}

// flush sends the confirmations that are due now. A planned stop needs it
// before the shutdown notice: if a daemon leaves while its last confirmation
// reports outstanding requests, no later message proves that it sends no more.
func (c *confirmer) flush(ctx context.Context) {
	done := make(chan struct{})
	select {
	case c.flushes <- done:
		<-done
	case <-c.done: // a part of the daemon failed, so all parts stop
	case <-ctx.Done():
	}
}

// apply activates the current state for routing, then confirms it. The order
// matters: the count of outstanding requests must include every request that
// was routed by an older map.
func (c *confirmer) apply(now time.Time) {
	v := c.tracker.View()
	if v != c.applied {
		c.pools.Set(v, now)
		c.applied = v
	}
	due := !now.Before(c.nextResend)
	if due {
		c.nextResend = now.Add(resendInterval)
	}
	if c.sent == nil {
		c.sent = make(map[string]peer.Confirm)
	}
	for zone, m := range v.Maps {
		msg := peer.Confirm{Zone: zone, Version: m.Version, Outstanding: c.outstanding(m)}
		old, ok := c.sent[zone]
		same := ok && old.Version == msg.Version && maps.Equal(old.Outstanding, msg.Outstanding)
		if same && (!due || len(msg.Outstanding) == 0) {
			continue
		}
		c.sent[zone] = msg
		c.send(zone, msg)
	}
}

// outstanding returns the number of this daemon's requests on each draining
// host.
func (c *confirmer) outstanding(m *fleet.Map) map[string]int {
	out := make(map[string]int)
	for i := range m.Hosts {
		if h := &m.Hosts[i]; h.State == fleet.Draining {
			out[h.Name] = c.picker.Outstanding(h.Name)
		}
	}
	return out
}
