// Package query carries questions between daemons: the state of a job, and how
// many jobs of a queue wait. A question goes over a WebSocket connection as
// CBOR, and answers may come in any order.
//
// The asked daemon answers only while it leads; the asker falls back to the
// store. A connection on which an answer is late is closed, so that one that
// has gone silent is replaced.
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
	"gypsumtrestle.example/gypsumtrestle/internal/sched"
)

// Path is where a daemon takes questions.
const Path = "/ask"

const (
	// answerTime is how long an answer may take; it comes within milliseconds.
	answerTime = 250 * time.Millisecond
	// maxMessage bounds a message in bytes.
	maxMessage = 4 << 10
)

// ErrNotLeader is the answer of a daemon that does not lead.
var ErrNotLeader = errors.New("the asked daemon does not lead")

type question struct {
	Seq   uint64 `cbor:"1,keyasint"`
	Job   job.ID `cbor:"2,keyasint,omitempty"`
	Queue string `cbor:"3,keyasint,omitempty"`
}

type reply struct {
	Seq     uint64      `cbor:"1,keyasint"`
	Leading bool        `cbor:"2,keyasint,omitempty"`
	Known   bool        `cbor:"3,keyasint,omitempty"`
	Started bool        `cbor:"4,keyasint,omitempty"`
	Outcome job.Outcome `cbor:"5,keyasint,omitempty"`
	Count   int         `cbor:"6,keyasint,omitempty"`
}

// Source answers if this daemon leads.
type Source interface {
	Query(id job.ID) (sched.Status, bool)
	Pending(queue string) (int, bool)
}

// Handler answers questions from a source.
func Handler(s Source) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
		if err != nil {
			return // Accept has answered
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
		var q question
		if err := cbor.Unmarshal(b, &q); err != nil {
			return
		}
		b, err = cbor.Marshal(answer(&q, s))
		if err != nil {
			return
		}
		wctx, cancel := context.WithTimeout(ctx, answerTime)
		err = c.Write(wctx, websocket.MessageBinary, b)
		cancel()
		if err != nil {
			return
		}
	}
}

func answer(q *question, s Source) reply {
	a := reply{Seq: q.Seq}
	if q.Job != "" {
		st, ok := s.Query(q.Job)
		a.Leading, a.Known, a.Started, a.Outcome = ok, st.Known, st.Started, st.Outcome
		return a
	}
	a.Count, a.Leading = s.Pending(q.Queue)
	return a
}

// Client asks the daemon at one address at a time.
type Client struct {
	mu   sync.Mutex
	to   netip.AddrPort
	link *link
}

// link is one connection with its open questions.
type link struct {
	conn    *websocket.Conn
	mu      sync.Mutex
	seq     uint64
	waiting map[uint64]chan reply
	closed  bool
}

// Query asks for the state of a job.
func (a *Client) Query(ctx context.Context, to netip.AddrPort, id job.ID) (sched.Status, error) {
	r, err := a.ask(ctx, to, question{Job: id})
	return sched.Status{Known: r.Known, Started: r.Started, Outcome: r.Outcome}, err
}

// Pending asks how many jobs of a queue have not begun.
func (a *Client) Pending(ctx context.Context, to netip.AddrPort, queue string) (int, error) {
	r, err := a.ask(ctx, to, question{Queue: queue})
	return r.Count, err
}

func (a *Client) ask(ctx context.Context, to netip.AddrPort, q question) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	l, err := a.dial(ctx, to)
	if err != nil {
		return reply{}, err
	}
	r, err := l.ask(ctx, q)
	if err != nil {
		a.drop(l)
		return reply{}, errors.Wrapf(err, "ask %s", to)
	}
	if !r.Leading {
		return reply{}, errors.Wrapf(ErrNotLeader, "ask %s", to)
	}
	return r, nil
}

// dial returns the connection to an address, opening it if needed.
func (a *Client) dial(ctx context.Context, to netip.AddrPort) (*link, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.link != nil && a.to == to && !a.link.isClosed() {
		return a.link, nil
	}
	if a.link != nil {
		a.link.close()
		a.link = nil
	}
	c, _, err := websocket.Dial(ctx, "ws://"+to.String()+Path, &websocket.DialOptions{CompressionMode: websocket.CompressionDisabled}) //nolint:bodyclose // the library closes it
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", to)
	}
	c.SetReadLimit(maxMessage)
	a.to, a.link = to, &link{conn: c, waiting: make(map[uint64]chan reply)}
	go a.link.read(context.WithoutCancel(ctx))
	return a.link, nil
}

func (a *Client) drop(l *link) {
	a.mu.Lock()
	if a.link == l {
		a.link = nil
	}
	a.mu.Unlock()
	l.close()
}

func (l *link) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// close ends the connection and all open questions.
func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.closed = true
	for seq, ch := range l.waiting {
		close(ch)
		delete(l.waiting, seq)
	}
	go l.conn.CloseNow() //nolint:errcheck // nothing is lost with the connection
}

func (l *link) ask(ctx context.Context, q question) (reply, error) {
	ch := make(chan reply, 1)
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return reply{}, errors.New("connection is closed")
	}
	l.seq++
	q.Seq = l.seq
	l.waiting[q.Seq] = ch
	l.mu.Unlock()
	b, err := cbor.Marshal(q)
	if err != nil {
		return reply{}, errors.Wrap(err, "encode question")
	}
	if err := l.conn.Write(ctx, websocket.MessageBinary, b); err != nil {
		return reply{}, errors.Wrap(err, "send question")
	}
	select {
	case r, ok := <-ch:
		if !ok {
			return reply{}, errors.New("connection was closed")
		}
		return r, nil
	case <-ctx.Done():
		return reply{}, errors.Wrap(ctx.Err(), "wait for answer")
	}
}

// read delivers answers until the connection ends.
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
		ch := l.waiting[r.Seq]
		delete(l.waiting, r.Seq)
		l.mu.Unlock()
		if ch != nil {
			ch <- r
		}
	}
}
