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
	// stableLinkTime is how long a link must last for the next dial not to count
	// the earlier failures.
	stableLinkTime = 3 * time.Second
)

// dialState is the state of dialing one address.
type dialState struct {
	// busy is set from the start of the dial until its link has ended.
	busy     bool
	failures int
	next     time.Time
	// unreachable is set if the latest dial did not reach an authenticated peer.
	unreachable bool
	// self is set if the address turned out to be that of this daemon.
	self bool
}

// backoff returns the delay before the next dial. It doubles with each failure
// and is randomized by half, so that daemons that lost the same peer do not
// dial it at the same time.
func backoff(failures int) time.Duration {
	d := min(minBackoff<<min(failures, 10), maxBackoff)
	return d/2 + rand.N(d)
}

// target is an address to dial and, unless it is a seed, the name of the daemon
// there.
type target struct {
	addr netip.AddrPort
	name string
}

// targets returns the addresses to which a link is needed, and updates
// wantedByRule. The caller must hold mu.
func (m *Mesh) targets() []target {
	present := m.members.Present()
	var ts []target
	m.wantedByRule = make(map[string]bool)
	for _, d := range member.LinkTargets(m.Self, present, m.failing) {
		m.wantedByRule[d.Name] = true
		ts = append(ts, target{d.PeerAddr, d.Name})
	}
	for inc := range m.pending {
		if d := m.members.Incarnation(inc); d != nil {
			ts = append(ts, target{d.PeerAddr, d.Name})
		}
	}
	for _, addr := range m.Seeds {
		known := slices.ContainsFunc(present, func(d Daemon) bool { return d.PeerAddr == addr })
		if !known && addr != m.Self.PeerAddr {
			ts = append(ts, target{addr: addr})
		}
	}
	return ts
}

// failing reports whether the latest dial of d failed and no link to d is open.
// The caller must hold mu.
func (m *Mesh) failing(d Daemon) bool {
	s := m.dials[d.PeerAddr]
	return s != nil && s.unreachable && m.links[d.Name] == nil
}

// startDial dials in the background, unless a dial is in progress, its link is
// open, or the backoff delay has not passed. The caller must hold mu.
func (m *Mesh) startDial(ctx context.Context, addr netip.AddrPort, now time.Time) {
	s := m.dials[addr]
	if s == nil {
		s = &dialState{}
		m.dials[addr] = s
	}
	if s.busy || s.self || now.Before(s.next) || !m.running {
		return
	}
	s.busy = true
	m.wg.Go(func() { m.dial(ctx, addr, s) })
}

// dial opens a link and runs it until it ends.
func (m *Mesh) dial(ctx context.Context, addr netip.AddrPort, s *dialState) {
	c, err := m.endpoint.Connect(ctx, addr)
	started := time.Now()
	m.connected(addr, s, err)
	if err == nil {
		err = m.runLink(ctx, c)
	}
	m.Logger.Log("msg", "link ended", "addr", addr, "reason", err)
	m.mu.Lock()
	defer m.mu.Unlock()
	s.busy = false
	s.failures++
	if time.Since(started) > stableLinkTime {
		s.failures = 0
	}
	wait := backoff(s.failures)
	s.next = time.Now().Add(wait)
	time.AfterFunc(wait, owner{m}.Notify)
}

// connected records the result of a dial. If it failed, the messages that were
// waiting for the link are discarded; their senders have deadlines.
func (m *Mesh) connected(addr netip.AddrPort, s *dialState, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s.self = errors.Is(err, wire.ErrSelf)
	s.unreachable = err != nil && !s.self
	if err != nil {
		for inc := range m.pending {
			if d := m.members.Incarnation(inc); d == nil || d.PeerAddr == addr {
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
	if !m.beginAccept() {
		http.Error(w, "not running", http.StatusServiceUnavailable)
		return
	}
	defer m.wg.Done()
	c, err := m.endpoint.Accept(w, r)
	if err == nil {
		err = m.runLink(r.Context(), c)
	}
	m.Logger.Log("msg", "link ended", "from", r.RemoteAddr, "reason", err)
}

// beginAccept counts an accepted connection and returns true, unless the mesh
// is stopping. Run waits for the matching wg.Done.
func (m *Mesh) beginAccept() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running {
		m.wg.Add(1)
	}
	return m.running
}

// runLink runs a link over c until it ends and returns the reason.
func (m *Mesh) runLink(ctx context.Context, c *wire.Conn) error {
	defer c.Close()
	l := link.New(c, owner{m}, m.State, m.Logger)
	if err := m.add(l); err != nil {
		return err
	}
	wire.Counters.Add(wire.Links, 1)
	m.Logger.Log("msg", "link opened", "to", c.Peer.Incarnation, "zone", c.Peer.Zone, "dialed", c.Dialed)
	err := l.Run(ctx)
	wire.Counters.Add(wire.Links, -1)
	m.remove(l)
	return err
}

// add makes l the link to its peer. If a pair has two links, the one that was
// dialed by the lower incarnation is kept, so both ends keep the same one. A
// second link that was dialed by the same daemon replaces the first: that
// daemon has closed the first one.
func (m *Mesh) add(l *link.Link) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.running {
		return wire.ErrStopped
	}
	peer := l.Peer
	if known := m.members[peer.Name]; known != nil && member.Newer(known.Incarnation, peer.Incarnation) {
		return errors.Wrapf(errOldIncarnation, "link to %s", peer.Incarnation)
	}
	if old := m.links[peer.Name]; old != nil {
		lower := m.Self.Incarnation < peer.Incarnation
		if old.Peer.Incarnation == peer.Incarnation && old.Dialed != l.Dialed && l.Dialed != lower {
			return errors.Wrapf(errDuplicate, "link to %s", peer.Incarnation)
		}
		old.Stop(errReplaced)
	}
	if err := m.recent.Replay(l.Queue, peer.Zone == m.Self.Zone); err != nil {
		return err
	}
	m.links[peer.Name] = l
	m.members.Observe(peer, time.Now())
	for _, msg := range m.pending[peer.Incarnation] {
		if err := m.enqueue(l, msg); err != nil {
			m.Logger.Log("msg", "message not sent", "to", peer.Name, "err", err)
		}
	}
	delete(m.pending, peer.Incarnation)
	m.notify()
	return nil
}

func (m *Mesh) remove(l *link.Link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[l.Peer.Name] == l {
		delete(m.links, l.Peer.Name)
	}
	m.notify()
}
