package intake

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// phase tells whom a connection waits for.
type phase int

const (
	client phase = iota // for bytes of the client, or for it to read
	server              // for the handler
	room                // for room in the budget for bodies
)

const (
	// minRate is the number of bytes a second by which a client that sends counts
	// as not stalled. A body of 256 KB takes 4 s at this rate; callers wait 3 s.
	minRate = 64 << 10
	// freeHeader is the part of a header that does not count: the buffer that
	// net/http keeps for each connection.
	freeHeader = 4 << 10
)

// conn is a connection to a client. The guard's mutex guards all fields.
type conn struct {
	net.Conn
	guard *Guard
	index int // in guard.conns; -1 if it is not among them

	phase phase
	idle  bool      // no part of a request has arrived since the last response
	since time.Time // start of the request or of the wait
	last  time.Time // when the last bytes arrived
	bytes int64     // that arrived since then
	// blocked is the number of calls of Read and Write in progress. Between them the
	// daemon works, however slowly.
	blocked int

	inHeader bool
	header   int64 // bytes beyond freeHeader of the header of the request
	size     int64 // bytes of that header
	reserved int64 // in the budget for bodies
	evicted  bool
	waiter   *waiter
	body     *Body               // of the request that is handled
	response http.ResponseWriter // of the request that is handled
}

// stalledSince returns since when the client has been slower than minRate. Single
// bytes that a client sends from time to time do not make it a fast one.
func (c *conn) stalledSince() time.Time {
	at := c.since.Add(time.Duration(c.bytes) * time.Second / minRate)
	if c.last.Before(at) {
		return c.last
	}
	return at
}

// restart begins a new wait. The guard's mutex must be held.
func (c *conn) restart(p phase, now time.Time) {
	c.phase, c.since, c.last, c.bytes = p, now, now, 0
}

// hasUnread reports whether the kernel holds bytes of the client. It is false for
// connections without a descriptor.
func (c *conn) hasUnread() bool {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	if err := raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCINQ) }); err != nil {
		return false // the connection is closed
	}
	return err == nil && n > 0
}

func (c *conn) Read(b []byte) (int, error) {
	g := c.guard
	g.mu.Lock()
	c.blocked++
	g.mu.Unlock()
	n, err := c.Conn.Read(b)
	g.mu.Lock()
	defer g.mu.Unlock()
	c.blocked--
	if n > 0 {
		g.received(c, int64(n), time.Now())
	}
	return n, err
}

// Write writes a part of a response. Meanwhile the connection waits for the client.
func (c *conn) Write(b []byte) (int, error) {
	g := c.guard
	g.mu.Lock()
	before := c.phase
	c.blocked++
	c.restart(client, time.Now())
	g.mu.Unlock()
	n, err := c.Conn.Write(b)
	g.mu.Lock()
	defer g.mu.Unlock()
	c.blocked--
	c.restart(before, time.Now())
	return n, err
}

// CloseWrite lets net/http end a response after which it does not read the rest of
// the request.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

func (c *conn) Close() error {
	c.guard.mu.Lock()
	c.guard.remove(c)
	c.guard.mu.Unlock()
	return c.Conn.Close()
}
