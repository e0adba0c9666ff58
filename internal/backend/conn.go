package backend

import (
	"bufio"
	"errors"
	"math"
	"net"
	"net/netip"
	"os"
	"time"
)

// past is a deadline that interrupts reads and writes immediately.
var past = time.Unix(1, 0)

// conn is one connection to a runner. Its owner is one exchange or, while it is
// idle, its watch goroutine.
type conn struct {
	net.Conn
	addr netip.AddrPort
	br   *bufio.Reader
	bw   *bufio.Writer
	// written is the number of bytes of the current exchange that the operating
	// system accepted.
	written int64
	// readBudget is how many bytes may still be read. It is limited only while a
	// header is read.
	readBudget int64
	// watched receives whether the connection is still usable when its watch
	// goroutine ends.
	watched chan bool
}

func newConn(nc net.Conn, addr netip.AddrPort) *conn {
	c := &conn{Conn: nc, addr: addr, watched: make(chan bool, 1), readBudget: math.MaxInt64}
	c.br = bufio.NewReader(c)
	c.bw = bufio.NewWriter(c)
	return c
}

// Read reads at most as many bytes as readBudget allows.
func (c *conn) Read(b []byte) (int, error) {
	if c.readBudget <= 0 {
		return 0, errTooLarge
	}
	n, err := c.Conn.Read(b[:min(int64(len(b)), c.readBudget)])
	c.readBudget -= int64(n)
	return n, err
}

// Write writes to the connection and counts the bytes that were sent.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written += int64(n)
	return n, err
}

// watch waits on an idle connection until the server closes it, the server
// sends surplus bytes, or the read deadline expires. It returns true if the
// deadline expired and the connection is intact.
func (c *conn) watch() bool {
	_, err := c.br.Peek(1)
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// endWatch stops the watch of a connection that is no longer idle. It reports
// whether the connection is usable.
func (c *conn) endWatch() bool {
	if err := c.SetReadDeadline(past); err != nil {
		_ = c.Close()
	}
	return <-c.watched
}
