package peer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/peer/link"
	"gypsumtrestle.example/gypsumtrestle/internal/peer/member"
	"gypsumtrestle.example/gypsumtrestle/internal/peer/wire"
	"gypsumtrestle.example/gypsumtrestle/internal/state"
)

const (
	// maintainInterval is how often links are checked if no change is notified.
	maintainInterval = time.Second
	// idleLinkTimeout is how long an unused link that the link rule does not want
	// stays open.
	idleLinkTimeout = time.Minute
	// stopTimeout bounds the delivery of Shutdown.
	stopTimeout = time.Second
)

// Handler receives the messages that the mesh does not process itself. Receive
// must not block: it is called by the link's reader, which also reads the
// heartbeat.
type Handler interface {
	Receive(from Daemon, m Message)
}

// Mesh maintains the links of one daemon. Its exported fields must be set
// before Run.
type Mesh struct {
	Self Daemon
	// Secret authenticates links. It may be empty only between loopback
	// addresses.
	Secret []byte
	// Seeds are dialed while no daemon with such an address is known.
	Seeds   []netip.AddrPort
	State   *state.Tracker
	Handler Handler
	Logger  log.Logger
	// Dial opens connections. If nil, the Mesh uses TCP.
	Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)

	once     sync.Once
	done     chan struct{}
	wakeup   chan struct{}
	endpoint wire.Endpoint
	wg       sync.WaitGroup

	mu      sync.Mutex
	running bool // links may be opened
	links   map[string]*link.Link
	members member.Set
	// registered is the newest list of daemons that are registered in the
	// key-value store.
	registered []Daemon
	dials      map[netip.AddrPort]*dialState
	pending    map[string][]Message // by incarnation
	recent     wire.Recent
	// wantedByRule is the set of names of the daemons to which the link rule
	// wants a link.
	wantedByRule map[string]bool
	changed      chan struct{} // closed at the next notify
}

func (m *Mesh) init() {
	m.once.Do(func() {
		m.done = make(chan struct{})
		m.wakeup = make(chan struct{}, 1)
		m.links = make(map[string]*link.Link)
		m.members = make(member.Set)
		m.dials = make(map[netip.AddrPort]*dialState)
		m.pending = make(map[string][]Message)
		m.changed = make(chan struct{})
		if m.Logger == nil {
			m.Logger = log.NewNopLogger()
		}
		m.Logger = log.With(m.Logger, "part", "peer")
		m.endpoint = wire.Endpoint{Self: m.Self, Secret: m.Secret, Dial: m.Dial}
	})
}

// Done returns a channel that is closed when Run has ended and all goroutines
// of the mesh have finished.
func (m *Mesh) Done() <-chan struct{} {
	m.init()
	return m.done
}

// Run maintains the links until ctx ends. Then it sends Shutdown and closes
// them.
func (m *Mesh) Run(ctx context.Context) error {
	m.init()
	defer close(m.done)
	dials, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	m.mu.Lock()
	m.running = true
	m.mu.Unlock()
	tick := time.NewTicker(maintainInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		m.maintain(dials)
		select {
		case <-ctx.Done():
		case <-tick.C:
		case <-m.wakeup:
		}
	}
	m.stop()
	timeout := time.AfterFunc(stopTimeout, func() {
		cancel()
		m.abort()
	})
	defer timeout.Stop()
	m.wg.Wait()
	return nil
}

// abort closes the links on which Shutdown was not sent in time.
func (m *Mesh) abort() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		l.Stop(wire.ErrStopped)
	}
}

// stop rejects new links and sends Shutdown on each link. The writer of a link
// ends after it.
func (m *Mesh) stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running = false
	for _, l := range m.links {
		if err := l.Queue.Push(Shutdown{Incarnation: m.Self.Incarnation}); err != nil {
			l.Stop(err)
		}
	}
}

// maintain updates the members, dials the links that are missing and closes
// those that are no longer needed.
func (m *Mesh) maintain(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.refresh(now)
	wanted := make(map[netip.AddrPort]bool)
	for _, t := range m.targets() {
		wanted[t.addr] = true
		if m.links[t.name] == nil {
			m.startDial(ctx, t.addr, now)
		}
	}
	for addr, a := range m.dials {
		if !a.busy && !wanted[addr] {
			delete(m.dials, addr)
		}
	}
	for _, l := range m.links {
		if l.Dialed && !wanted[l.Peer.PeerAddr] && now.Sub(l.Report().LastUsed) > idleLinkTimeout {
			l.Stop(errUnused)
		}
	}
}

// refresh marks every daemon that a link, a peer or a registration mentions as
// seen now. Peers mention only the daemons to which they have links, so a
// daemon that has ended is no longer mentioned after a few seconds.
func (m *Mesh) refresh(now time.Time) {
	for _, d := range m.registered {
		m.members.Observe(d, now)
	}
	for _, l := range m.links {
		m.members.Observe(l.Peer, now)
		for _, d := range l.Report().Peers {
			m.members.Observe(d, now)
		}
	}
	delete(m.members, m.Self.Name)
	m.members.Expire(now)
}

// notified returns a channel that is closed at the next notify.
func (m *Mesh) notified() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// notify wakes up Run and Sync after a change of links or members. The caller
// must hold mu.
func (m *Mesh) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
	select {
	case m.wakeup <- struct{}{}:
	default:
	}
}

// owner implements link.Owner for the mesh.
type owner struct{ *Mesh }

// Linked returns the daemons to which there is a link, ordered by name.
func (o owner) Linked() []Daemon {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := make(member.Set, len(o.links))
	for name, l := range o.links {
		s[name] = &member.Member{Daemon: l.Peer}
	}
	return s.Present()
}

// Wants reports whether the link rule wants a link to a daemon.
func (o owner) Wants(name string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.wantedByRule[name]
}

// Notify wakes up Run and Sync.
func (o owner) Notify() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.notify()
}

// Receive records a Shutdown and passes the message to the handler.
func (o owner) Receive(from Daemon, m Message) {
	if _, ok := m.(Shutdown); ok {
		o.mu.Lock()
		if d := o.members.Incarnation(from.Incarnation); d != nil {
			d.ShutDown = true
		}
		o.mu.Unlock()
	}
	if o.Handler != nil {
		o.Handler.Receive(from, m)
	}
}

var (
	errNoPeer         = errors.New("peer unknown or shut down")
	errOldIncarnation = errors.New("peer is an older incarnation")
	errDuplicate      = errors.New("a link to the peer already exists")
	errReplaced       = errors.New("link replaced by a newer one")
	errUnused         = errors.New("link unused")
)
