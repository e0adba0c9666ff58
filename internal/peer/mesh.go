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
	// maintainEvery is how often links are checked when nothing happens.
	maintainEvery = time.Second
	// idleLink is how long a link that no rule asks for stays open.
	idleLink = time.Minute
	// stopTimeout bounds the delivery of Shutdown.
	stopTimeout = time.Second
)

// Handler receives the messages that are not the mesh's own. Receive must not
// block: it runs on the link's reader, which also reads the heartbeat.
type Handler interface {
	Receive(from Daemon, m Message)
}

// Mesh keeps the links of one daemon. Its exported fields are set before Run.
type Mesh struct {
	Self Daemon
	// Secret authenticates links; it may be empty only between loopback
	// addresses.
	Secret []byte
	// Seeds are dialled while no daemon with such an address is known.
	Seeds   []netip.AddrPort
	State   *state.Tracker
	Handler Handler
	Logger  log.Logger
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)

	once sync.Once
	done chan struct{}
	wake chan struct{}
	end  wire.Endpoint
	wg   sync.WaitGroup

	mu      sync.Mutex
	running bool // links may be opened
	links   map[string]*link.Link
	members member.Set
	// learned is the newest list of the platform's registrations.
	learned []Daemon
	dials   map[netip.AddrPort]*attempt
	pending map[string][]Message // by incarnation
	recent  wire.Recent
	// chosen holds the names of the daemons that the rule for links asks for.
	chosen map[string]bool
	news   chan struct{} // closed at the next notify
}

func (m *Mesh) init() {
	m.once.Do(func() {
		m.done = make(chan struct{})
		m.wake = make(chan struct{}, 1)
		m.links = make(map[string]*link.Link)
		m.members = make(member.Set)
		m.dials = make(map[netip.AddrPort]*attempt)
		m.pending = make(map[string][]Message)
		m.news = make(chan struct{})
		if m.Logger == nil {
			m.Logger = log.NewNopLogger()
		}
		m.Logger = log.With(m.Logger, "part", "peer")
		m.end = wire.Endpoint{Self: m.Self, Secret: m.Secret, Dial: m.Dial}
	})
}

// Done returns a channel that closes when Run has ended and no goroutine of
// the mesh is left.
func (m *Mesh) Done() <-chan struct{} {
	m.init()
	return m.done
}

// Run keeps the links until ctx ends. Then it sends Shutdown and closes them.
func (m *Mesh) Run(ctx context.Context) error {
	m.init()
	defer close(m.done)
	dials, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	m.mu.Lock()
	m.running = true
	m.mu.Unlock()
	tick := time.NewTicker(maintainEvery)
	defer tick.Stop()
	for ctx.Err() == nil {
		m.maintain(dials)
		select {
		case <-ctx.Done():
		case <-tick.C:
		case <-m.wake:
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

// abort ends the links whose Shutdown could not be sent in time.
func (m *Mesh) abort() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		l.Stop(wire.ErrStopped)
	}
}

// stop admits no new link and sends Shutdown on each; a writer ends after it.
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

// maintain refreshes the members, dials the links that are missing and closes
// those that nothing needs any more.
func (m *Mesh) maintain(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.refresh(now)
	wanted := make(map[netip.AddrPort]bool)
	for _, w := range m.wants() {
		wanted[w.addr] = true
		if m.links[w.name] == nil {
			m.startDial(ctx, w.addr, now)
		}
	}
	for addr, a := range m.dials {
		if !a.busy && !wanted[addr] {
			delete(m.dials, addr)
		}
	}
	for _, l := range m.links {
		if l.Dialed && !wanted[l.Remote.Peer] && now.Sub(l.Report().LastUsed) > idleLink {
			l.Stop(errUnused)
		}
	}
}

// refresh counts every daemon that a link, a peer or the platform mentions as
// seen now. Peers mention only the daemons that they have links to, so a
// daemon that is gone is mentioned by nobody within seconds.
func (m *Mesh) refresh(now time.Time) {
	for _, d := range m.learned {
		m.members.Observe(d, now)
	}
	for _, l := range m.links {
		m.members.Observe(l.Remote, now)
		for _, d := range l.Report().Peers {
			m.members.Observe(d, now)
		}
	}
	delete(m.members, m.Self.Name)
	m.members.Expire(now)
}

// notified returns a channel that closes at the next notify.
func (m *Mesh) notified() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.news
}

// notify wakes Run and Sync after a change of links or members. The caller
// holds mu.
func (m *Mesh) notify() {
	close(m.news)
	m.news = make(chan struct{})
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// owner is the mesh as its links see it.
type owner struct{ *Mesh }

// Linked returns the daemons with a link, by name.
func (o owner) Linked() []Daemon {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := make(member.Set, len(o.links))
	for name, l := range o.links {
		s[name] = &member.Member{Daemon: l.Remote}
	}
	return s.Present()
}

// Wants tells whether the rule for links asks for a daemon.
func (o owner) Wants(name string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.chosen[name]
}

// Notify wakes Run and Sync.
func (o owner) Notify() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.notify()
}

// Receive records a Shutdown and hands the message on.
func (o owner) Receive(from Daemon, m Message) {
	if _, ok := m.(Shutdown); ok {
		o.mu.Lock()
		if d := o.members.Incarnation(from.Incarnation); d != nil {
			d.Left = true
		}
		o.mu.Unlock()
	}
	if o.Handler != nil {
		o.Handler.Receive(from, m)
	}
}

var (
	errNoPeer    = errors.New("no such peer")
	errPast      = errors.New("the peer is a past incarnation")
	errDuplicate = errors.New("the pair has a link")
	errReplaced  = errors.New("replaced by a newer link")
	errUnused    = errors.New("unused")
)
