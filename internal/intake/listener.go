package intake

import (
	"context"
	"net"
	"net/netip"
	"syscall"

	"github.com/pkg/errors"
)

const (
	// receiveBuffer is the size of the receive buffer of a connection, which the
	// kernel doubles. What it has received for a connection that is not read counts
	// toward the memory of the host.
	receiveBuffer = 16 << 10
	// backlog bounds the connections that the process has not accepted yet, which
	// have receive buffers as well. With the kernel's bound of 4,096, a burst of
	// 3,500 clients had 42 MB in them.
	backlog = 128
)

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
	l, err := lc.Listen(ctx, "tcp", addr.String())
	if err != nil {
		return nil, err
	}
	if err := setBacklog(l); err != nil {
		_ = l.Close() // nothing was accepted
		return nil, errors.Wrap(err, "set backlog")
	}
	return l, nil
}

// setBacklog reduces the backlog of a listener, for which net has no option.
func setBacklog(l net.Listener) error {
	s, ok := l.(syscall.Conn)
	if !ok {
		return errors.Errorf("listener %T has no descriptor", l)
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = syscall.Listen(int(fd), backlog) }); err != nil {
		return err
	}
	return failed
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
