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

// network connects daemons in memory, so that tests run on the clock of
// synctest.
type network struct {
	mu         sync.Mutex
	hosts      map[netip.AddrPort]chan net.Conn
	partitions map[[2]netip.AddrPort]bool
}

// partition starts or ends a partition between two daemons, in which everything
// that they send to each other is lost without an error.
func (n *network) partition(a, b *daemon, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitions[[2]netip.AddrPort{a.mesh.Self.PeerAddr, b.mesh.Self.PeerAddr}] = on
	n.partitions[[2]netip.AddrPort{b.mesh.Self.PeerAddr, a.mesh.Self.PeerAddr}] = on
}

func (n *network) partitioned(from, to netip.AddrPort) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitions[[2]netip.AddrPort{from, to}]
}

// lossyConn discards what is written while its addresses are partitioned.
type lossyConn struct {
	net.Conn
	n        *network
	from, to netip.AddrPort
}

func (c *lossyConn) Write(b []byte) (int, error) {
	if c.n.partitioned(c.from, c.to) {
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
			return nil, fmt.Errorf("%s: connection refused", to)
		}
		if n.partitioned(from, to) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		a, b := net.Pipe()
		select {
		case accepted <- &lossyConn{b, n, to, from}:
			return &lossyConn{a, n, from, to}, nil
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

// daemon is a mesh with its server. It records the messages that the mesh
// received.
type daemon struct {
	mesh    *peer.Mesh
	tracker *state.Tracker
	stop    func()

	mu       sync.Mutex
	messages []peer.Message
}

func (d *daemon) Receive(_ peer.Daemon, m peer.Message) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.messages = append(d.messages, m)
}

func (d *daemon) received() []peer.Message {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.messages)
}

// addr returns the address of the i-th daemon.
func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
}

func identity(i int, zone string, at time.Time) peer.Daemon {
	name := fmt.Sprintf("d%02d", i)
	return peer.Daemon{
		Name: name, Zone: zone, PeerAddr: addr(i), CallerAddr: addr(i),
		Incarnation: name + "." + strconv.FormatInt(at.UnixMilli(), 36),
	}
}

// start runs the i-th daemon with empty state.
func (n *network) start(t *testing.T, i int, zone string, seeds ...netip.AddrPort) *daemon {
	return n.startWithState(t, &state.Tracker{}, i, zone, seeds...)
}

// startWithState runs a daemon. It is stopped at the end of the test if the
// caller does not stop it.
func (n *network) startWithState(t *testing.T, tr *state.Tracker, i int, zone string, seeds ...netip.AddrPort) *daemon {
	d := &daemon{tracker: tr}
	self := identity(i, zone, time.Now())
	d.mesh = &peer.Mesh{
		Self: self, Secret: secret, Seeds: seeds, State: d.tracker, Handler: d,
		Dial: n.dialer(self.PeerAddr),
	}
	l := &listener{make(chan net.Conn), make(chan struct{})}
	n.mu.Lock()
	n.hosts[self.PeerAddr] = l.conns
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
		if n.hosts[self.PeerAddr] == l.conns {
			delete(n.hosts, self.PeerAddr)
		}
	})
	t.Cleanup(d.stop)
	return d
}

// runNetwork runs a test of a network on the clock of synctest.
func runNetwork(t *testing.T, f func(t *testing.T, n *network)) {
	synctest.Test(t, func(t *testing.T) {
		f(t, &network{
			hosts:      make(map[netip.AddrPort]chan net.Conn),
			partitions: make(map[[2]netip.AddrPort]bool),
		})
	})
}

// advance advances the clock of synctest by d.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// linkedPeers returns the names of the daemons to which d has a link.
func (d *daemon) linkedPeers() []string {
	var names []string
	for _, s := range d.mesh.Peers() {
		if s.Connected {
			names = append(names, s.Daemon.Name)
		}
	}
	return names
}

func (d *daemon) updatePlan(t *testing.T, version uint64) {
	t.Helper()
	if ok, err := d.tracker.UpdatePlan(version, []byte(plan)); !ok || err != nil {
		t.Fatalf("update plan %d: got %v, %v", version, ok, err)
	}
}
