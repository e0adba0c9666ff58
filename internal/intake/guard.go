package intake

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"
)

const (
	// stallGrace is how long a connection must have been stalled to be closed for
	// the sake of another body. Bodies that are only slow share the budget.
	stallGrace = 250 * time.Millisecond
	// checkInterval is the pause between two searches for stalled connections while
	// bodies wait for room.
	checkInterval = stallGrace / 5
)

// Guard applies the limits to the connections of one HTTP server.
type Guard struct {
	limits Limits
	report reporter

	mu      sync.Mutex
	conns   []*conn
	headers int64 // sum of conn.header
	held    int64 // sum of conn.reserved
	closing int64 // part of held that closed connections release soon
	waiters []*waiter
	checks  bool // a check is scheduled
	decodes chan struct{}
}

// New returns a guard. It counts in vars if that is not nil.
func New(l Limits, logger log.Logger, vars *expvar.Map) *Guard {
	return &Guard{limits: l, report: reporter{logger: logger, vars: vars}, decodes: make(chan struct{}, max(l.Decodes, 1))}
}

// Protect applies the limits to the requests of a server, whose listener must be
// one of the guard. It must be called before the server serves.
func (g *Guard) Protect(s *http.Server) {
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	s.ConnState = func(nc net.Conn, st http.ConnState) {
		if c, ok := nc.(*conn); ok && st == http.StateIdle {
			g.await(c)
		}
	}
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		g.begin(c, w, r)
		defer g.end(c)
		next.ServeHTTP(w, r)
	})
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// begin notes that the header of a request is complete.
func (g *Guard) begin(c *conn, w http.ResponseWriter, r *http.Request) {
	p := server
	if r.Body != nil && r.Body != http.NoBody {
		p = client
		// It also bounds how long net/http reads a body that the handler does not.
		_ = c.SetReadDeadline(time.Now().Add(g.limits.BodyTime)) // fails only if the connection has failed
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	c.inHeader, c.idle, c.response = false, false, w
	c.restart(p, time.Now())
}

// end releases what a request holds. Bytes that arrive until the next call of await are
// the part of its body that the handler has not read, which net/http discards.
func (g *Guard) end(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.body != nil {
		c.body.recycle()
	}
	c.body, c.response = nil, nil
	g.releaseHeader(c)
	c.idle = true
	now := time.Now()
	c.restart(client, now)
	g.shrink(c, 0, now)
}

// await notes that a connection waits for the next request.
func (g *Guard) await(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.releaseHeader(c)
	c.idle, c.inHeader, c.size = true, true, 0
	c.restart(client, time.Now())
}

// add returns a connection of the guard, or nil if there are too many.
func (g *Guard) add(nc net.Conn) *conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if len(g.conns) >= g.limits.Connections {
		v := g.pick(now, func(*conn) bool { return true })
		if v == nil {
			g.count(refused)
			return nil
		}
		g.evict(v, forConnection)
	}
	c := &conn{Conn: nc, guard: g, index: len(g.conns), inHeader: true}
	c.restart(client, now)
	g.conns = append(g.conns, c)
	g.adjust("connections", 1)
	return c
}

// received notes that bytes of a client have arrived. The mutex must be held.
func (g *Guard) received(c *conn, n int64, now time.Time) {
	if c.idle {
		c.idle = false
		c.restart(c.phase, now)
	}
	c.last = now
	c.bytes += n
	if !c.inHeader || c.index < 0 {
		return
	}
	c.size += n
	over := max(c.size-freeHeader, 0)
	g.headers += over - c.header
	c.header = over
	for g.headers > g.limits.HeaderBytes {
		v := g.pick(now, func(c *conn) bool { return c.header > 0 })
		if v == nil {
			return // the rest belongs to requests that are handled
		}
		g.evict(v, forHeader)
	}
}

// rank is the order in which connections are closed at a limit.
type rank int

const (
	stalled rank = iota // in the middle of a request, for stallGrace or more
	idle
	waiting // for room
	recent  // in the middle of a request, for less
	none
)

// rank returns the rank of a connection and since when it has been stalled.
func (c *conn) rank(now time.Time) (rank, time.Time) {
	at := c.stalledSince()
	switch {
	case c.phase == server:
		return none, at
	case c.phase == room:
		return waiting, at
	case c.idle:
		return idle, at
	case c.blocked > 0 && now.Sub(at) >= stallGrace:
		return stalled, at
	}
	return recent, at
}

// pick returns the connection to close among those that pass the filter, or nil:
// the one that has been stalled the longest of the first rank that there is. A
// crowd whose bodies wait for room must not keep out a caller who has just
// connected. A connection that waits for the handler is never closed.
func (g *Guard) pick(now time.Time, among func(*conn) bool) *conn {
	for {
		var victim *conn
		best, earliest := none, time.Time{}
		for _, c := range g.conns {
			if r, at := c.rank(now); r < none && (r < best || r == best && at.Before(earliest)) && among(c) {
				victim, best, earliest = c, r, at
			}
		}
		if best > idle || !victim.hasUnread() {
			return victim
		}
		// The client has sent more, which the daemon has not come to read.
		victim.idle = false
		victim.restart(victim.phase, now)
	}
}

// evict closes a connection for a limit. The mutex must be held.
func (g *Guard) evict(c *conn, why reason) {
	g.remove(c)
	c.evicted = true
	g.closing += c.reserved
	if c.waiter != nil {
		g.cancel(c.waiter)
	}
	_ = c.Conn.Close() // its handler, if any, gets an error from the next read
	g.count(why)
}

// remove removes a connection that is closed. The mutex must be held.
func (g *Guard) remove(c *conn) {
	if c.index < 0 {
		return
	}
	last := g.conns[len(g.conns)-1]
	g.conns[c.index], last.index = last, c.index
	g.conns[len(g.conns)-1] = nil
	g.conns = g.conns[:len(g.conns)-1]
	c.index = -1
	g.adjust("connections", -1)
	g.releaseHeader(c)
}

func (g *Guard) releaseHeader(c *conn) {
	g.headers -= c.header
	c.header = 0
}

// Status is what the clients of a server make it hold.
type Status struct {
	Connections int
	BodyBytes   int64
	HeaderBytes int64
	// Closed is the number of connections closed and requests rejected for a limit
	// since the start.
	Closed int64
}

func (g *Guard) status() Status {
	return Status{Connections: len(g.conns), BodyBytes: g.held, HeaderBytes: g.headers, Closed: g.report.total}
}

// Status returns what is held now.
func (g *Guard) Status() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.status()
}
