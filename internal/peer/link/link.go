package link

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/peer/message"
	"gypsumtrestle.example/gypsumtrestle/internal/peer/wire"
	"gypsumtrestle.example/gypsumtrestle/internal/state"
)

const (
	heartbeatInterval = time.Second
	heartbeatTimeout  = 3 * time.Second
	// pushDelay gives the peer time to get a new version from its own watch of
	// the key-value store. Without it every change would be sent over every link,
	// although nearly all daemons get it from their watch.
	pushDelay = 200 * time.Millisecond
)

var errNoHeartbeat = errors.New("no heartbeat received in time")

// versions are the versions of the plan and the maps that one daemon has.
type versions struct {
	plan uint64
	maps map[string]uint64
}

func versionsOf(v *state.View) versions {
	vs := versions{plan: v.PlanVersion, maps: make(map[string]uint64, len(v.Maps))}
	for zone, m := range v.Maps {
		vs.maps[zone] = m.Version
	}
	return vs
}

// Handler receives the messages that the link does not process itself. Receive
// must not block: it is called by the reader, which also reads the heartbeat.
type Handler interface {
	Receive(from message.Daemon, m message.Message)
}

// Owner is the mesh to which a link belongs.
type Owner interface {
	Handler
	// Linked returns the daemons to which the owner has links, ordered by name.
	Linked() []message.Daemon
	// Wants reports whether the owner's link rule wants a link to a daemon.
	Wants(name string) bool
	// Notify is called when the peer has reported a change.
	Notify()
}

// Link is one authenticated connection to a peer. It has one reader goroutine
// and one writer goroutine.
type Link struct {
	*wire.Conn
	Queue   *wire.Queue
	owner   Owner
	tracker *state.Tracker
	logger  log.Logger
	// heartbeats wakes up the writer after a Heartbeat was received.
	heartbeats chan struct{}

	// Owned by the writer.
	announced versions
	sentPeers []message.Daemon
	exchanged bool

	mu sync.Mutex
	// cancel is nil before Run. reason is set if Stop is called before Run.
	cancel context.CancelCauseFunc
	reason error
	// peerVersions are the versions that the peer has reported or was sent.
	peerVersions versions
	// missing are the versions of the first Heartbeat that have not been
	// received.
	missing versions
	// leaving is the set of leaving hosts that the peer has reported or was sent.
	leaving       map[string]bool
	peers         []message.Daemon
	lastHeartbeat time.Time
	// wanted is set if the peer's link rule wants this link.
	wanted bool
	// lastUsed is when the link last carried a message that is not state.
	lastUsed time.Time
}

// New returns a link over a connection.
func New(c *wire.Conn, o Owner, t *state.Tracker, logger log.Logger) *Link {
	return &Link{
		Conn: c, Queue: wire.NewQueue(),
		owner: o, tracker: t, logger: logger,
		heartbeats:   make(chan struct{}, 1),
		peerVersions: versions{maps: make(map[string]uint64)},
		leaving:      make(map[string]bool),
		lastUsed:     time.Now(),
	}
}

// Stop ends the link with a reason, which Run returns.
func (l *Link) Stop(reason error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cancel != nil {
		l.cancel(reason)
	} else {
		l.reason = reason
	}
}

// start returns the context of Run, which Stop cancels. It is already cancelled if
// Stop was called before.
func (l *Link) start(ctx context.Context) context.Context {
	l.mu.Lock()
	defer l.mu.Unlock()
	ctx, l.cancel = context.WithCancelCause(ctx)
	if l.reason != nil {
		l.cancel(l.reason)
	}
	return ctx
}

// Run exchanges messages until the link fails or is stopped. It returns
// wire.ErrStopped after a Shutdown was sent. The caller closes the connection.
func (l *Link) Run(ctx context.Context) error {
	ctx = l.start(ctx)
	watchdog := time.AfterFunc(heartbeatTimeout, func() { l.Stop(errNoHeartbeat) })
	defer watchdog.Stop()
	var writer sync.WaitGroup
	writer.Go(func() { l.Stop(l.write(ctx)) })
	l.Stop(l.read(ctx, watchdog))
	writer.Wait()
	return context.Cause(ctx)
}

func (l *Link) read(ctx context.Context, watchdog *time.Timer) error {
	for {
		m, err := l.Read(ctx)
		if errors.Is(err, message.ErrUnknownType) {
			wire.Counters.Add(wire.Skipped, 1)
			continue
		}
		if err != nil {
			return err
		}
		if _, ok := m.(message.Heartbeat); ok {
			watchdog.Reset(heartbeatTimeout)
		}
		if err := l.receive(m); err != nil {
			return err
		}
	}
}

func (l *Link) receive(m message.Message) error {
	switch m := m.(type) {
	case message.Hello, message.Proof:
		return errors.Errorf("unexpected %T after the handshake", m)
	case message.Heartbeat:
		l.receiveHeartbeat(m)
	case message.Plan:
		l.receivePlan(m)
	case message.Map:
		l.receiveMap(m)
	case message.Leaving:
		if l.receiveLeaving(m) {
			l.owner.Receive(l.Peer, m)
		}
	case message.Claim, message.Grant, message.Report:
		l.MarkUsed()
		l.owner.Receive(l.Peer, m)
	default:
		l.owner.Receive(l.Peer, m)
	}
	return nil
}

// MarkUsed records that the link was used now.
func (l *Link) MarkUsed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastUsed = time.Now()
}

func (l *Link) receiveHeartbeat(b message.Heartbeat) {
	l.mu.Lock()
	first := l.lastHeartbeat.IsZero()
	l.lastHeartbeat = time.Now()
	l.wanted = b.Wanted
	l.peerVersions.plan = max(l.peerVersions.plan, b.PlanVersion)
	for zone, v := range b.MapVersions {
		l.peerVersions.maps[zone] = max(l.peerVersions.maps[zone], v)
	}
	if first {
		l.missing = versions{plan: b.PlanVersion, maps: maps.Clone(b.MapVersions)}
	}
	peersChanged := b.Peers != nil
	if peersChanged {
		l.peers = b.Peers
	}
	l.mu.Unlock()
	if first || peersChanged {
		l.owner.Notify()
	}
	select {
	case l.heartbeats <- struct{}{}:
	default:
	}
}

// write sends the heartbeat, the state that changed and the queued messages.
func (l *Link) write(ctx context.Context) error {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	if err := l.sendHeartbeat(ctx, l.owner.Linked()); err != nil {
		return err
	}
	var push <-chan time.Time
	for {
		changed := l.tracker.Changed()
		if err := l.sendChanges(ctx); err != nil {
			return err
		}
		if push == nil && l.exchanged && l.peerOutdated(l.tracker.View()) {
			push = time.After(pushDelay)
		}
		var err error
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-tick.C:
			err = l.sendHeartbeat(ctx, l.owner.Linked())
		case <-push:
			push = nil
			err = l.sendNewer(ctx)
		case <-l.Queue.Ready:
			err = l.Queue.Flush(ctx, l.Conn)
		case <-l.heartbeats:
		case <-changed:
		}
		if err != nil {
			return err
		}
	}
}

// sendHeartbeat sends the versions that changed since the last Heartbeat, and
// the peers if they changed.
func (l *Link) sendHeartbeat(ctx context.Context, peers []message.Daemon) error {
	now := versionsOf(l.tracker.View())
	b := message.Heartbeat{At: time.Now(), PlanVersion: now.plan, Wanted: l.owner.Wants(l.Peer.Name)}
	for zone, v := range now.maps {
		if v != l.announced.maps[zone] {
			if b.MapVersions == nil {
				b.MapVersions = make(map[string]uint64)
			}
			b.MapVersions[zone] = v
		}
	}
	if !slices.Equal(peers, l.sentPeers) {
		b.Peers = peers
	}
	l.announced, l.sentPeers = now, peers
	return l.Write(ctx, b)
}

// Wanted reports whether the peer's link rule wants this link.
func (l *Link) Wanted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.wanted
}

// Report is what the peer has reported over a link.
type Report struct {
	// LastHeartbeat is when its last heartbeat was received.
	LastHeartbeat time.Time
	// PlanVersion and MapVersions are the versions that the peer has.
	PlanVersion uint64
	MapVersions map[string]uint64
	// Peers are the daemons to which the peer has links.
	Peers []message.Daemon
	// LastUsed is when the link last carried a message that is not state.
	LastUsed time.Time
}

// Report returns what the peer has reported.
func (l *Link) Report() Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Report{LastHeartbeat: l.lastHeartbeat, PlanVersion: l.peerVersions.plan, MapVersions: maps.Clone(l.peerVersions.maps), Peers: l.peers, LastUsed: l.lastUsed}
}
