package peer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/peer/link"
	"gypsumtrestle.example/gypsumtrestle/internal/peer/member"
	"gypsumtrestle.example/gypsumtrestle/internal/peer/wire"
)

const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
	// longLink is a link's life after which the next dial is not delayed.
	longLink = 3 * time.Second
)

// attempt is the state of dialling one address.
type attempt struct {
	// busy is set from the dial until its link has ended.
	busy     bool
	failures int
	next     time.Time
	// unreachable is set while the newest dial gave no authenticated peer.
	unreachable bool
	// self is set once the address proved to be this daemon's own.
	self bool
}

// backoff doubles with each failure and is spread by half, so that daemons
// that lost the same peer do not dial it at the same instant.
func backoff(failures int) time.Duration {
	d := min(minBackoff<<min(failures, 10), maxBackoff)
	return d/2 + rand.N(d)
}

// want is an address to dial and, unless it is a seed, the daemon there.
type want struct {
	addr netip.AddrPort
	name string
}

// wants returns the addresses that there should be a link to, and renews
// chosen. The caller holds mu.
func (m *Mesh) wants() []want {
	present := m.members.Present()
	var ws []want
	m.chosen = make(map[string]bool)
	for _, d := range member.LinkTargets(m.Self, present, m.failing) {
		m.chosen[d.Name] = true
		ws = append(ws, want{d.Peer, d.Name})
	}
	for inc := range m.pending {
		if d := m.members.Incarnation(inc); d != nil {
			ws = append(ws, want{d.Peer, d.Name})
		}
	}
	for _, addr := range m.Seeds {
		known := slices.ContainsFunc(present, func(d Daemon) bool { return d.Peer == addr })
		if !known && addr != m.Self.Peer {
			ws = append(ws, want{addr: addr})
		}
	}
	return ws
}

func (m *Mesh) failing(d Daemon) bool {
	a := m.dials[d.Peer]
	return a != nil && a.unreachable && m.links[d.Name] == nil
}

// startDial dials in the background unless a dial or its link is under way, or
// the backoff has not passed. The caller holds mu.
func (m *Mesh) startDial(ctx context.Context, addr netip.AddrPort, now time.Time) {
	a := m.dials[addr]
	if a == nil {
		a = &attempt{}
		m.dials[addr] = a
	}
	if a.busy || a.self || now.Before(a.next) || !m.running {
		return
	}
	a.busy = true
	m.wg.Go(func() { m.dial(ctx, addr, a) })
}

// dial opens a link and carries it until it ends.
func (m *Mesh) dial(ctx context.Context, addr netip.AddrPort, a *attempt) {
	c, err := m.end.Connect(ctx, addr)
	begun := time.Now()
	m.connected(addr, a, err)
	if err == nil {
		err = m.carry(ctx, c)
	}
	m.Logger.Log("msg", "link ended", "addr", addr, "reason", err)
	m.mu.Lock()
	defer m.mu.Unlock()
	a.busy = false
	a.failures++
	if time.Since(begun) > longLink {
		a.failures = 0
	}
	wait := backoff(a.failures)
	a.next = time.Now().Add(wait)
	time.AfterFunc(wait, owner{m}.Notify)
}

// connected records the result of a dial. What waited for a link that cannot
// be opened is forgotten; its senders have deadlines.
func (m *Mesh) connected(addr netip.AddrPort, a *attempt, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a.self = errors.Is(err, wire.ErrSelf)
	a.unreachable = err != nil && !a.self
	if err != nil {
		for inc := range m.pending {
			if d := m.members.Incarnation(inc); d == nil || d.Peer == addr {
				delete(m.pending, inc)
			}
		}
	}
	m.notify()
}

// ServeHTTP accepts links at wire.Path.
func (m *Mesh) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.init()
	if r.URL.Path != wire.Path {
		http.NotFound(w, r)
		return
	}
	if !m.enter() {
		http.Error(w, "not running", http.StatusServiceUnavailable)
		return
	}
	defer m.wg.Done()
	c, err := m.end.Accept(w, r)
	if err == nil {
		err = m.carry(r.Context(), c)
	}
	m.Logger.Log("msg", "link ended", "from", r.RemoteAddr, "reason", err)
}

// enter counts an accepted connection, unless the mesh stops. Run waits for
// the matching wg.Done.
func (m *Mesh) enter() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running {
		m.wg.Add(1)
	}
	return m.running
}

// carry runs a link over c. It returns why the link ended.
func (m *Mesh) carry(ctx context.Context, c *wire.Conn) error {
	defer c.Close()
	l := link.New(c, owner{m}, m.State, m.Logger)
	if err := m.add(l); err != nil {
		return err
	}
	wire.Counters.Add(wire.Links, 1)
	m.Logger.Log("msg", "link is up", "to", c.Remote.Incarnation, "zone", c.Remote.Zone, "dialed", c.Dialed)
	err := l.Run(ctx)
	wire.Counters.Add(wire.Links, -1)
	m.remove(l)
	return err
}

// add makes l the link to its remote. Of two links of a pair, the one that the
// lower incarnation dialled stays; both ends decide alike. A second link with
// the same dialler replaces the first, which the dialler has given up.
func (m *Mesh) add(l *link.Link) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.running {
		return wire.ErrStopped
	}
	remote := l.Remote
	if known := m.members[remote.Name]; known != nil && member.Newer(known.Incarnation, remote.Incarnation) {
		return errors.Wrapf(errPast, "link to %s", remote.Incarnation)
	}
	if old := m.links[remote.Name]; old != nil {
		lower := m.Self.Incarnation < remote.Incarnation
		if old.Remote.Incarnation == remote.Incarnation && old.Dialed != l.Dialed && l.Dialed != lower {
			return errors.Wrapf(errDuplicate, "link to %s", remote.Incarnation)
		}
		old.Stop(errReplaced)
	}
	if err := m.recent.Replay(l.Queue, remote.Zone == m.Self.Zone); err != nil {
		return err
	}
	m.links[remote.Name] = l
	m.members.Observe(remote, time.Now())
	for _, msg := range m.pending[remote.Incarnation] {
		if err := m.enqueue(l, msg); err != nil {
			m.Logger.Log("msg", "message is not sent", "to", remote.Name, "err", err)
		}
	}
	delete(m.pending, remote.Incarnation)
	m.notify()
	return nil
}

func (m *Mesh) remove(l *link.Link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[l.Remote.Name] == l {
		delete(m.links, l.Remote.Name)
	}
	m.notify()
}
