package peer

import (
	"time"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/peer/link"
	"gypsumtrestle.example/gypsumtrestle/internal/peer/member"
	"gypsumtrestle.example/gypsumtrestle/internal/peer/wire"
)

// Scope selects the links of a broadcast.
type Scope uint8

// Scopes of a broadcast.
const (
	// OwnZone is every daemon of the sender's zone.
	OwnZone Scope = iota
	// OtherZones is at least one daemon of each other zone. It excludes links
	// that were dialed on demand.
	OtherZones
	// All is every link.
	All
)

// maxPending is the maximum number of messages that wait for a link that is
// dialed on demand.
const maxPending = 256

// Status is the known state of a peer.
type Status struct {
	Daemon    Daemon
	Connected bool
	// LastHeartbeat is when the last heartbeat was received over the current
	// link.
	LastHeartbeat time.Time
	// PlanVersion and MapVersions are the versions that the peer has.
	PlanVersion uint64
	MapVersions map[string]uint64
}

// Peers returns a snapshot of the known daemons, ordered by name.
func (m *Mesh) Peers() []Status {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []Status
	for _, d := range m.members.Present() {
		s := Status{Daemon: d}
		if l := m.links[d.Name]; l != nil {
			r := l.Report()
			s.Connected, s.LastHeartbeat, s.PlanVersion, s.MapVersions = true, r.LastHeartbeat, r.PlanVersion, r.MapVersions
		}
		all = append(all, s)
	}
	return all
}

// SetRegistered replaces the list of daemons that are registered in the
// key-value store.
func (m *Mesh) SetRegistered(ds []Daemon) {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.registered = ds
	m.refresh(time.Now())
	m.notify()
}

// Broadcast queues a message on the links of the scope. A link whose queue is
// full is closed. State messages (Load, FreeSlots, Confirm) are repeated to
// daemons that link later.
func (m *Mesh) Broadcast(scope Scope, msg Message) {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recent.Add(msg)
	for _, l := range m.links {
		own := l.Peer.Zone == m.Self.Zone
		if scope == OwnZone && !own {
			continue
		}
		if scope == OtherZones && (own || !m.wantedByRule[l.Peer.Name] && !l.Wanted()) {
			continue
		}
		if err := m.enqueue(l, msg); err != nil {
			m.Logger.Log("msg", "message not sent", "to", l.Peer.Name, "err", err)
		}
	}
}

// Send queues a message for one incarnation, and dials the daemon if there is
// no link. If it returns nil, the message may still be lost.
func (m *Mesh) Send(incarnation string, msg Message) error {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	if l := m.links[member.NameOf(incarnation)]; l != nil && l.Peer.Incarnation == incarnation {
		l.MarkUsed()
		return m.enqueue(l, msg)
	}
	if d := m.members.Incarnation(incarnation); d == nil || d.ShutDown {
		return errors.Wrapf(errNoPeer, "send to %s", incarnation)
	}
	if len(m.pending[incarnation]) >= maxPending {
		return errors.Wrapf(wire.ErrFull, "send to %s", incarnation)
	}
	m.pending[incarnation] = append(m.pending[incarnation], msg)
	m.notify()
	return nil
}

// enqueue queues a message on a link and never blocks. A link whose queue is
// full is closed; its state is exchanged again on the next link of the pair.
func (m *Mesh) enqueue(l *link.Link, msg Message) error {
	err := l.Queue.Push(msg)
	if errors.Is(err, wire.ErrFull) {
		wire.Counters.Add(wire.Overflows, 1)
		l.Stop(err)
	}
	return err
}
