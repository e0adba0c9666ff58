package intake

import (
	"context"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Errors of a body that was not read whole. The request had no effect.
var (
	ErrBusy    = errors.New("no room for the body")
	ErrSlow    = errors.New("body did not arrive in time")
	ErrTooLong = errors.New("body is too long")
)

const (
	// smallBody is the size up to which a body does not count in the budget.
	smallBody = 8 << 10
	// segmentSize is the size of the steps in which a large body is read.
	segmentSize = 16 << 10
	// roomTime is how long a body waits for room in the budget.
	roomTime = 2 * time.Second
)

var segments = sync.Pool{New: func() any { return new([segmentSize]byte) }}

// Body is a request body that has been read. It counts in the budget until the
// handler returns.
type Body struct {
	conn  *conn // nil if no guard protects the server
	first []byte
	rest  []*[segmentSize]byte
	size  int64
}

// Read reads the body of a request until the deadline, or for at most BodyTime. If
// it fails, the connection is closed after the response.
func Read(r *http.Request, limit int64, deadline time.Time) (*Body, error) {
	c, _ := r.Context().Value(connKey{}).(*conn)
	b := &Body{conn: c}
	if r.Body == nil || r.Body == http.NoBody {
		return b, nil
	}
	if c != nil {
		deadline = c.guard.bound(deadline)
		_ = c.SetReadDeadline(deadline) // fails only if the connection has failed
		c.guard.start(c, b)
	}
	err := b.read(r, limit, deadline)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = ErrSlow
	}
	if c != nil {
		c.guard.finish(c, b, err)
		if err == nil {
			// From here on, reading only detects that the client has closed the
			// connection.
			_ = c.SetReadDeadline(time.Time{})
		}
	}
	return b, err
}

// bound returns the deadline, or the end of BodyTime from now if that is earlier or
// there is no deadline.
func (g *Guard) bound(deadline time.Time) time.Time {
	if last := time.Now().Add(g.limits.BodyTime); last.Before(deadline) || deadline.IsZero() {
		return last
	}
	return deadline
}

func (b *Body) read(r *http.Request, limit int64, deadline time.Time) error {
	want := r.ContentLength // -1 if it is not known
	if want > limit {
		return ErrTooLong
	}
	first := int64(smallBody)
	if want >= 0 {
		first = min(first, want)
	}
	b.first = make([]byte, first)
	n, err := fill(r.Body, b.first)
	b.first = b.first[:n]
	b.size = int64(n)
	for reserved := false; ; reserved = true {
		if b.size > limit {
			return ErrTooLong
		}
		if errors.Is(err, io.EOF) || err == nil && b.size == want {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read body")
		}
		if !reserved && !b.reserve(want, limit, deadline) {
			return ErrBusy
		}
		s := segments.Get().(*[segmentSize]byte)
		b.rest = append(b.rest, s)
		n, err = fill(r.Body, s[:])
		b.size += int64(n)
	}
}

// reserve reserves room for the whole body, so that no body that has room waits
// for more.
func (b *Body) reserve(want, limit int64, deadline time.Time) bool {
	if b.conn == nil {
		return true
	}
	if want < 0 {
		want = limit
	}
	if last := time.Now().Add(roomTime); last.Before(deadline) {
		deadline = last
	}
	return b.conn.guard.reserve(b.conn, want, deadline)
}

// fill reads until the buffer is full. At the end of the body it returns io.EOF.
func fill(r io.Reader, b []byte) (n int, err error) {
	for n < len(b) && err == nil {
		var k int
		k, err = r.Read(b[n:])
		n += k
	}
	return n, err
}

// Decode calls f with the content, which f may keep. At most Decodes large bodies
// are decoded at a time; Decode returns ErrBusy if none ends until the deadline.
// It must be called at most once.
func (b *Body) Decode(ctx context.Context, deadline time.Time, f func(content []byte)) error {
	if len(b.rest) == 0 {
		f(b.first)
		return nil
	}
	if b.conn != nil {
		g := b.conn.guard
		ctx, cancel := context.WithDeadline(ctx, g.bound(deadline))
		defer cancel()
		select {
		case g.decodes <- struct{}{}:
		default:
			select {
			case g.decodes <- struct{}{}:
			case <-ctx.Done():
				g.finish(b.conn, b, ErrBusy)
				return ErrBusy
			}
		}
		defer func() { <-g.decodes }()
	}
	content := append(make([]byte, 0, b.size), b.first...)
	for _, s := range b.rest {
		content = append(content, s[:min(b.size-int64(len(content)), segmentSize)]...)
	}
	b.recycle()
	f(content)
	return nil
}

// recycle returns the segments to the pool.
func (b *Body) recycle() {
	for _, s := range b.rest {
		segments.Put(s)
	}
	b.rest = nil
}

// start notes that a body is being read.
func (g *Guard) start(c *conn, b *Body) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c.body = b
	c.restart(client, time.Now())
}

// finish notes that a body has been read, or that it failed.
func (g *Guard) finish(c *conn, b *Body, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	c.restart(server, now)
	if err == nil {
		g.shrink(c, min(b.size, c.reserved), now)
		return
	}
	c.response.Header().Set("Connection", "close")
	b.recycle()
	g.shrink(c, 0, now)
	switch {
	case errors.Is(err, ErrBusy):
		g.count(busy)
	case errors.Is(err, ErrSlow):
		g.count(slow)
	}
}
