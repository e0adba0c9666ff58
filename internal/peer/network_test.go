package peer_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/peer"
	"gypsumtrestle.example/gypsumtrestle/internal/state"
)

var secret = []byte("secret")

const plan = `zones = ["a"]
weigh = "buffer"
[[service]]
name = "spare"
runners = 1
spare = true
`

// network connects daemons in memory, so that tests run on synctest's clock.
type network struct {
	mu    sync.Mutex
	hosts map[netip.AddrPort]chan net.Conn
	cuts  map[[2]netip.AddrPort]bool
}

// cut loses everything between two addresses without a sign, or heals them.
func (n *network) cut(a, b *daemon, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]netip.AddrPort{a.mesh.Self.Peer, b.mesh.Self.Peer}] = on
	n.cuts[[2]netip.AddrPort{b.mesh.Self.Peer, a.mesh.Self.Peer}] = on
}

func (n *network) isCut(from, to netip.AddrPort) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[[2]netip.AddrPort{from, to}]
}

// conn loses what is written while its addresses are cut.
type conn struct {
	net.Conn
	n        *network
	from, to netip.AddrPort
}

func (c *conn) Write(b []byte) (int, error) {
	if c.n.isCut(c.from, c.to) {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (n *network) dialer(from netip.AddrPort) func(context.Context, netip.AddrPort) (net.Conn, error) {
	return func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		n.mu.Lock()
		accepted := n.hosts[to]
		n.mu.Unlock()
		if accepted == nil {
			return nil, fmt.Errorf("%s: refused", to)
		}
		if n.isCut(from, to) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		a, b := net.Pipe()
		select {
		case accepted <- &conn{b, n, to, from}:
			return &conn{a, n, from, to}, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

type listener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}
func (l *listener) Close() error   { close(l.closed); return nil }
func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }

// daemon is a mesh with its server; it keeps what the mesh received.
type daemon struct {
	mesh   *peer.Mesh
	keeper *state.Tracker
	stop   func()

	mu  sync.Mutex
	got []peer.Message
}

func (d *daemon) Receive(_ peer.Daemon, m peer.Message) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.got = append(d.got, m)
}

func (d *daemon) received() []peer.Message {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.got)
}

// addr gives the i-th daemon's address.
func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
}

func identity(i int, zone string, at time.Time) peer.Daemon {
	name := fmt.Sprintf("d%02d", i)
	return peer.Daemon{
		Name: name, Zone: zone, Peer: addr(i), Caller: addr(i),
		Incarnation: name + "." + strconv.FormatInt(at.UnixMilli(), 36),
	}
}

// start runs the i-th daemon with no state.
func (n *network) start(t *testing.T, i int, zone string, seeds ...netip.AddrPort) *daemon {
	return n.startWith(t, &state.Tracker{}, i, zone, seeds...)
}

// startWith runs a daemon. The test stops it if the caller does not.
func (n *network) startWith(t *testing.T, k *state.Tracker, i int, zone string, seeds ...netip.AddrPort) *daemon {
	d := &daemon{keeper: k}
	self := identity(i, zone, time.Now())
	d.mesh = &peer.Mesh{
		Self: self, Secret: secret, Seeds: seeds, State: d.keeper, Handler: d,
		Dial: n.dialer(self.Peer),
	}
	l := &listener{make(chan net.Conn), make(chan struct{})}
	n.mu.Lock()
	n.hosts[self.Peer] = l.conns
	n.mu.Unlock()
	srv := &http.Server{Handler: d.mesh}
	go func() { _ = srv.Serve(l) }()
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = d.mesh.Run(ctx) }()
	d.stop = sync.OnceFunc(func() {
		cancel()
		<-d.mesh.Done()
		_ = srv.Close()
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.hosts[self.Peer] == l.conns {
			delete(n.hosts, self.Peer)
		}
	})
	t.Cleanup(d.stop)
	return d
}

// bubble runs a test of a network on synctest's clock.
func bubble(t *testing.T, f func(t *testing.T, n *network)) {
	synctest.Test(t, func(t *testing.T) {
		f(t, &network{
			hosts: make(map[netip.AddrPort]chan net.Conn),
			cuts:  make(map[[2]netip.AddrPort]bool),
		})
	})
}

// pass lets d of the bubble's time pass.
func pass(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// connected returns the names of the daemons that d has a link to.
func (d *daemon) connected() []string {
	var names []string
	for _, s := range d.mesh.Peers() {
		if s.Connected {
			names = append(names, s.Daemon.Name)
		}
	}
	return names
}

func (d *daemon) offer(t *testing.T, version uint64) {
	t.Helper()
	if ok, err := d.keeper.UpdatePlan(version, []byte(plan)); !ok || err != nil {
		t.Fatalf("plan %d: %v, %v", version, ok, err)
	}
}
