package soak

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// mode is how a proxy treats connections, both open and new ones.
type mode int32

const (
	pass    mode = iota
	delayed      // each chunk of data is delayed
	stalled      // no data is forwarded, no connection is closed
	oneWay       // requests are forwarded, responses are not
	resetting
)

// proxyDelay is the delay of each chunk in the mode delayed.
const proxyDelay = 150 * time.Millisecond

// proxy is a TCP proxy on loopback to one address.
type proxy struct {
	target  netip.AddrPort
	address netip.AddrPort
	mode    atomic.Int32
	ctx     context.Context

	mu       sync.Mutex
	listener net.Listener      // nil while connections are refused
	opened   int               // counts the listeners
	conns    map[net.Conn]bool // true for connections to the target
}

// anyPort is the address of a proxy that need not listen again after close.
var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

func newProxy(t *testing.T, ctx context.Context, target, address netip.AddrPort) *proxy {
	t.Helper()
	p := &proxy{target: target, address: address, ctx: ctx, conns: make(map[net.Conn]bool)}
	if err := p.open(); err != nil {
		t.Fatal(err)
	}
	context.AfterFunc(ctx, func() {
		p.close()
		p.reset()
	})
	return p
}

func (p *proxy) addr() netip.AddrPort { return p.address }

// open accepts connections, unless it does already.
func (p *proxy) open() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil || p.ctx.Err() != nil {
		return nil
	}
	l, err := new(net.ListenConfig).Listen(p.ctx, "tcp", p.address.String())
	if err != nil {
		return err
	}
	p.listener, p.address = l, netip.MustParseAddrPort(l.Addr().String())
	p.opened++
	go p.accept(l, p.opened)
	return nil
}

// close ends all connections and refuses new ones until open, as the exit of the
// target process does: its callers read an end of file, and it receives no more
// of the data in transit.
func (p *proxy) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener == nil {
		return
	}
	_ = p.listener.Close() // accept ends even if this fails
	p.listener = nil
	for c, toTarget := range p.conns {
		if t, ok := c.(*net.TCPConn); ok && toTarget {
			_ = t.SetLinger(0) // fails if the connection is already closed
		}
		_ = c.Close()
		delete(p.conns, c)
	}
}

// set changes the mode; resetting also resets open connections.
func (p *proxy) set(m mode) {
	p.mode.Store(int32(m))
	if m == resetting {
		p.reset()
	}
}

func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // fails if the connection is already closed
		}
		_ = c.Close()
		delete(p.conns, c)
	}
}

// track records a pair of connections, and reports whether the listener that
// accepted the first is still open.
func (p *proxy) track(c, target net.Conn, opened int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener == nil || p.opened != opened {
		return false
	}
	p.conns[c], p.conns[target] = false, true
	return true
}

func (p *proxy) accept(l net.Listener, opened int) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if mode(p.mode.Load()) == resetting {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
			continue
		}
		s, err := new(net.Dialer).DialContext(p.ctx, "tcp", p.target.String())
		if err != nil {
			_ = c.Close()
			continue
		}
		if !p.track(c, s, opened) {
			_ = c.Close()
			_ = s.Close()
			continue
		}
		go p.copy(s, c, true)
		go p.copy(c, s, false)
	}
}

// maxChunks is the maximum number of chunks that are buffered in one direction
// of a connection.
const maxChunks = 256

// copy forwards data in one direction according to the mode. Data buffered in
// the mode stalled or oneWay is delivered when the mode changes, as TCP would do,
// but is lost if its sender has reset the connection.
func (p *proxy) copy(to, from net.Conn, request bool) {
	data, reset := make(chan []byte, maxChunks), make(chan struct{})
	go func() {
		defer close(data)
		for {
			b := make([]byte, 4<<10)
			n, err := from.Read(b)
			if n > 0 {
				data <- b[:n]
			}
			if err != nil {
				if !errors.Is(err, io.EOF) {
					close(reset)
				}
				return
			}
		}
	}()
	defer func() {
		_ = to.Close() // data already written is still sent
		_ = from.Close()
		for range data { // unblocks the reading goroutine
		}
	}()
	for b := range data {
		if !p.waitToForward(request, reset) {
			return
		}
		if _, err := to.Write(b); err != nil {
			return
		}
	}
	p.waitToForward(request, reset)
}

// waitToForward waits while the mode blocks data, and reports whether the data
// may then be forwarded.
func (p *proxy) waitToForward(request bool, reset <-chan struct{}) bool {
	if mode(p.mode.Load()) == delayed {
		time.Sleep(proxyDelay)
	}
	for p.ctx.Err() == nil {
		select {
		case <-reset:
			return false
		default:
		}
		m := mode(p.mode.Load())
		if m != stalled && (m != oneWay || request) {
			return true
		}
		time.Sleep(5 * time.Millisecond)
	}
	return false
}
