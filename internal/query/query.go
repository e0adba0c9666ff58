// Package query sends queries between daemons: for the state of a job, for the
// number of jobs of a queue that have not started, and for the load of the pools.
// Queries are sent over a WebSocket connection as CBOR, and replies may arrive in
// any order.
//
// The queried daemon replies with a result only while it leads. If it does not,
// or if it does not reply in time, a query returns an error, and package entry
// reads the state of a job from the store instead. A connection on which a reply
// is late is closed, so that a connection that has failed silently is replaced.
package query

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/overload"
	"gypsumtrestle.example/gypsumtrestle/internal/sched"
)

// Path is the URL path at which a daemon accepts queries.
const Path = "/ask"

const (
	// replyTimeout bounds a query, from dialing to the reply, and the write of
	// a reply. A reply takes milliseconds.
	replyTimeout = 250 * time.Millisecond
	// maxMessage bounds a query in bytes, and maxReply a reply.
	maxMessage = 4 << 10
	maxReply   = 64 << 10
)

// ErrNotLeader is returned if the queried daemon is not the leader.
var ErrNotLeader = errors.New("queried daemon is not the leader")

type query struct {
	Seq   uint64 `cbor:"1,keyasint"`
	Job   job.ID `cbor:"2,keyasint,omitempty"`
	Queue string `cbor:"3,keyasint,omitempty"`
	// Load asks for the load of the pools. Earlier versions reply without one.
	Load bool `cbor:"4,keyasint,omitempty"`
}

type reply struct {
	Seq     uint64      `cbor:"1,keyasint"`
	Leading bool        `cbor:"2,keyasint,omitempty"`
	Found   bool        `cbor:"3,keyasint,omitempty"`
	Started bool        `cbor:"4,keyasint,omitempty"`
	Outcome job.Outcome `cbor:"5,keyasint,omitempty"`
	Count   int         `cbor:"6,keyasint,omitempty"`
	// Workspace is that of the job; daemons of the previous release send and read none.
	Workspace string         `cbor:"7,keyasint,omitempty"`
	Load      *overload.View `cbor:"8,keyasint,omitempty"` // nil: not known
}

// Source returns the results of queries. The bool results report whether this
// daemon leads.
type Source interface {
	Query(id job.ID) (sched.Status, bool)
	Pending(queue string) (int, bool)
	Load() (*overload.View, bool)
}

// Handler accepts connections and replies to queries from a source.
func Handler(s Source) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
		if err != nil {
			return // Accept has sent the response
		}
		c.SetReadLimit(maxMessage)
		serve(r.Context(), c, s)
	})
}

func serve(ctx context.Context, c *websocket.Conn, s Source) {
	defer c.CloseNow() //nolint:errcheck // nothing is lost with the connection
	for {
		_, b, err := c.Read(ctx)
		if err != nil {
			return
		}
		var q query
		if err := cbor.Unmarshal(b, &q); err != nil {
			return
		}
		b, err = cbor.Marshal(handle(&q, s))
		if err != nil {
			return
		}
		wctx, cancel := context.WithTimeout(ctx, replyTimeout)
		err = c.Write(wctx, websocket.MessageBinary, b)
		cancel()
		if err != nil {
			return
		}
	}
}

func handle(q *query, s Source) reply {
	r := reply{Seq: q.Seq}
	if q.Load {
		r.Load, r.Leading = s.Load()
		return r
	}
	if q.Job != "" {
		st, ok := s.Query(q.Job)
		r.Leading, r.Found, r.Started, r.Outcome, r.Workspace = ok, st.Found, st.Started, st.Outcome, st.Workspace
		return r
	}
	r.Count, r.Leading = s.Pending(q.Queue)
	return r
}

// Client sends queries to the daemon at one address at a time.
type Client struct {
	mu   sync.Mutex
	to   netip.AddrPort
	link *link
}

// link is one connection with its pending queries.
type link struct {
	conn    *websocket.Conn
	mu      sync.Mutex
	seq     uint64
	pending map[uint64]chan reply
	closed  bool
}

// Query returns the state of a job.
func (c *Client) Query(ctx context.Context, to netip.AddrPort, id job.ID) (sched.Status, error) {
	r, err := c.roundTrip(ctx, to, query{Job: id})
	return sched.Status{Found: r.Found, Started: r.Started, Outcome: r.Outcome, Workspace: r.Workspace}, err
}

// Pending returns the number of jobs of a queue that have not started.
func (c *Client) Pending(ctx context.Context, to netip.AddrPort, queue string) (int, error) {
	r, err := c.roundTrip(ctx, to, query{Queue: queue})
	return r.Count, err
}

// Load returns the load of the pools, or nil if the leader does not know it.
func (c *Client) Load(ctx context.Context, to netip.AddrPort) (*overload.View, error) {
	r, err := c.roundTrip(ctx, to, query{Load: true})
	return r.Load, err
}

func (c *Client) roundTrip(ctx context.Context, to netip.AddrPort, q query) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	l, err := c.dial(ctx, to)
	if err != nil {
		return reply{}, err
	}
	r, err := l.roundTrip(ctx, q)
	if err != nil {
		c.drop(l)
		return reply{}, errors.Wrapf(err, "query %s", to)
	}
	if !r.Leading {
		return reply{}, errors.Wrapf(ErrNotLeader, "query %s", to)
	}
	return r, nil
}

// dial returns the connection to an address and opens it if needed.
func (c *Client) dial(ctx context.Context, to netip.AddrPort) (*link, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.link != nil && c.to == to && !c.link.isClosed() {
		return c.link, nil
	}
	if c.link != nil {
		c.link.close()
		c.link = nil
	}
	ws, _, err := websocket.Dial(ctx, "ws://"+to.String()+Path, &websocket.DialOptions{CompressionMode: websocket.CompressionDisabled}) //nolint:bodyclose // the library closes it
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", to)
	}
	ws.SetReadLimit(maxReply)
	c.to, c.link = to, &link{conn: ws, pending: make(map[uint64]chan reply)}
	go c.link.read(context.WithoutCancel(ctx))
	return c.link, nil
}

func (c *Client) drop(l *link) {
	c.mu.Lock()
	if c.link == l {
		c.link = nil
	}
	c.mu.Unlock()
	l.close()
}

func (l *link) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// close closes the connection and fails all pending queries.
func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.closed = true
	for seq, ch := range l.pending {
		close(ch)
		delete(l.pending, seq)
	}
	go l.conn.CloseNow() //nolint:errcheck // nothing is lost with the connection
}

func (l *link) roundTrip(ctx context.Context, q query) (reply, error) {
	ch := make(chan reply, 1)
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return reply{}, errors.New("connection closed before the query")
	}
	l.seq++
	q.Seq = l.seq
	l.pending[q.Seq] = ch
	l.mu.Unlock()
	b, err := cbor.Marshal(q)
	if err != nil {
		return reply{}, errors.Wrap(err, "encode query")
	}
	if err := l.conn.Write(ctx, websocket.MessageBinary, b); err != nil {
		return reply{}, errors.Wrap(err, "send query")
	}
	select {
	case r, ok := <-ch:
		if !ok {
			return reply{}, errors.New("connection closed before the reply")
		}
		return r, nil
	case <-ctx.Done():
		return reply{}, errors.Wrap(ctx.Err(), "wait for reply")
	}
}

// read delivers replies until the connection ends.
func (l *link) read(ctx context.Context) {
	defer l.close()
	for {
		_, b, err := l.conn.Read(ctx)
		if err != nil {
			return
		}
		var r reply
		if err := cbor.Unmarshal(b, &r); err != nil {
			return
		}
		l.mu.Lock()
		ch := l.pending[r.Seq]
		delete(l.pending, r.Seq)
		l.mu.Unlock()
		if ch != nil {
			ch <- r
		}
	}
}
