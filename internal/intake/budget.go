package intake

import (
	"slices"
	"time"
)

// waiter is a body that waits for room in the budget.
type waiter struct {
	conn    *conn
	bytes   int64
	granted bool
	done    chan struct{} // closed when granted or cancelled
}

// reserve reserves bytes for the body of a connection and reports whether there
// was room until the deadline. The newest body is served first: older ones that
// still wait are those of clients that send more than there is room for.
func (g *Guard) reserve(c *conn, n int64, deadline time.Time) bool {
	g.mu.Lock()
	now := time.Now()
	w := &waiter{conn: c, bytes: min(n, g.limits.BodyBytes), done: make(chan struct{})}
	if c.evicted {
		g.mu.Unlock()
		return false
	}
	c.restart(room, now)
	c.waiter = w
	g.waiters = append(g.waiters, w)
	g.grant(now)
	g.mu.Unlock()
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	select {
	case <-w.done:
	case <-t.C:
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !w.granted {
		g.cancel(w)
	}
	c.restart(client, time.Now())
	return w.granted
}

// grant gives room to the bodies that wait, and closes stalled connections to
// make it. The mutex must be held.
func (g *Guard) grant(now time.Time) {
	for len(g.waiters) > 0 {
		w := g.waiters[len(g.waiters)-1]
		if g.held+w.bytes <= g.limits.BodyBytes {
			g.held += w.bytes
			g.adjust("body_bytes", w.bytes)
			w.conn.reserved = w.bytes
			w.granted = true
			g.cancel(w)
			continue
		}
		if g.held-g.closing+w.bytes <= g.limits.BodyBytes {
			return // closed connections release enough soon
		}
		v := g.pick(now, func(c *conn) bool {
			r, _ := c.rank(now)
			return r == stalled && c.reserved > 0
		})
		if v == nil {
			g.checkLater()
			return
		}
		g.evict(v, forBody)
	}
}

// checkLater schedules another search for stalled connections.
func (g *Guard) checkLater() {
	if g.checks {
		return
	}
	g.checks = true
	time.AfterFunc(checkInterval, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.checks = false
		g.grant(time.Now())
	})
}

// cancel ends the wait of a body. The mutex must be held.
func (g *Guard) cancel(w *waiter) {
	if w.conn.waiter != w {
		return
	}
	w.conn.waiter = nil
	i := slices.Index(g.waiters, w)
	g.waiters = slices.Delete(g.waiters, i, i+1)
	close(w.done)
}

// shrink reduces the reservation of a connection to n bytes. The mutex must be
// held.
func (g *Guard) shrink(c *conn, n int64, now time.Time) {
	freed := c.reserved - n
	if freed <= 0 {
		return
	}
	c.reserved = n
	g.held -= freed
	g.adjust("body_bytes", -freed)
	if c.evicted {
		g.closing -= freed
	}
	g.grant(now)
}
