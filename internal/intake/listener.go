package intake

import (
	"context"
	"net"
	"net/netip"
	"syscall"

	"github.com/pkg/errors"
)

// receiveBuffer is the size of the receive buffer of a connection, which the
// kernel doubles. What it has received for a connection that is not read counts
// toward the memory of the host.
const receiveBuffer = 16 << 10

// Listen listens for callers. The connections have small receive buffers.
func Listen(ctx context.Context, addr netip.AddrPort) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		if err := c.Control(func(fd uintptr) {
			// Accepted connections inherit it.
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		}); err != nil {
			return err
		}
		return errors.Wrap(failed, "set receive buffer")
	}}
	return lc.Listen(ctx, "tcp", addr.String())
}

// Listener returns a listener whose connections are subject to the limits.
func (g *Guard) Listener(l net.Listener) net.Listener { return &listener{l, g} }

type listener struct {
	net.Listener
	guard *Guard
}

// Accept returns the next connection. If it exceeds the limit and no other can be
// closed in its place, it is closed itself.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.add(nc); c != nil {
			return c, nil
		}
		_ = nc.Close() // no request was read from it
	}
}
