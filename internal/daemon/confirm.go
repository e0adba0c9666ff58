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
	// confirmEvery is how often outstanding requests on draining hosts are
	// counted.
	confirmEvery = 100 * time.Millisecond
	// confirmAgain is when an unchanged confirmation is sent again, for a
	// manager that took over or missed it.
	confirmAgain = 2 * time.Second
)

// confirmer puts new state in force on the request path, and then tells each
// zone's manager by which map this daemon routes.
type confirmer struct {
	keeper  *state.Tracker
	pools   *pool.Table
	picker  *route.Picker
	send    func(zone string, m peer.Confirm)
	flushes chan chan struct{}
	done    chan struct{}
	sent    map[string]peer.Confirm
	resend  time.Time
	applied *state.View
}

func (c *confirmer) run(ctx context.Context) error {
	defer close(c.done)
	tick := time.NewTicker(confirmEvery)
	defer tick.Stop()
	for {
		changed := c.keeper.Changed()
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

// flush confirms what is outstanding now. A planned stop needs it before Shutdown: a
// daemon that left with requests outstanding is never proved to send no more.
func (c *confirmer) flush(ctx context.Context) {
	done := make(chan struct{})
	select {
	case c.flushes <- done:
		<-done
	case <-c.done: // a part failed, and all parts stop
	case <-ctx.Done():
	}
}

// apply routes by the state in force, then confirms it. The order matters: the
// count of outstanding requests must include every choice by an older map.
func (c *confirmer) apply(now time.Time) {
	v := c.keeper.View()
	if v != c.applied {
		c.pools.Set(v, now)
		c.applied = v
	}
	again := !now.Before(c.resend)
	if again {
		c.resend = now.Add(confirmAgain)
	}
	if c.sent == nil {
		c.sent = make(map[string]peer.Confirm)
	}
	for zone, m := range v.Maps {
		msg := peer.Confirm{Zone: zone, Version: m.Version, Outstanding: c.outstanding(m)}
		old, ok := c.sent[zone]
		same := ok && old.Version == msg.Version && maps.Equal(old.Outstanding, msg.Outstanding)
		if same && (!again || len(msg.Outstanding) == 0) {
			continue
		}
		c.sent[zone] = msg
		c.send(zone, msg)
	}
}

// outstanding counts this daemon's requests on the hosts that leave.
func (c *confirmer) outstanding(m *fleet.Map) map[string]int {
	out := make(map[string]int)
	for i := range m.Hosts {
		if h := &m.Hosts[i]; h.State == fleet.Draining {
			out[h.Name] = c.picker.Outstanding(h.Name)
		}
	}
	return out
}
