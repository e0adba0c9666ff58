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
	beatEvery   = time.Second
	beatTimeout = 3 * time.Second
	// pushDelay gives the platform's watch time to bring a new version to the
	// peer itself. Without it every change would cross every link, although
	// nearly all daemons get it from the watch.
	pushDelay = 200 * time.Millisecond
)

var errNoBeat = errors.New("no heartbeat")

// versions are those of the plan and the maps that one daemon has.
type versions struct {
	plan uint64
	maps map[string]uint64
}

func versionsOf(v *state.View) versions {
	vs := versions{plan: v.Plan, maps: make(map[string]uint64, len(v.Maps))}
	for zone, m := range v.Maps {
		vs.maps[zone] = m.Version
	}
	return vs
}

// Handler receives the messages that are not the link's own. Receive must not
// block: it runs on the reader, which also reads the heartbeat.
type Handler interface {
	Receive(from message.Daemon, m message.Message)
}

// Owner is the mesh that a link belongs to.
type Owner interface {
	Handler
	// Linked returns the daemons that the owner has links to, by name.
	Linked() []message.Daemon
	// Wants tells whether the owner's rule for links asks for a daemon.
	Wants(name string) bool
	// Notify is called when the remote has reported something new.
	Notify()
}

// Link is one authenticated connection to a peer. Its reader and its writer
// are one goroutine each.
type Link struct {
	*wire.Conn
	Queue  *wire.Queue
	owner  Owner
	keeper *state.Tracker
	logger log.Logger
	// heard wakes the writer after a Heartbeat.
	heard chan struct{}

	// Owned by the writer.
	announced versions
	peersSent []message.Daemon
	exchanged bool

	mu sync.Mutex
	// cancel is nil before Run; reason is set by a Stop before that.
	cancel context.CancelCauseFunc
	reason error
	// theirs is what the remote reported or was sent.
	theirs versions
	// missing is what the first Heartbeat offered and has not arrived.
	missing versions
	// leaving holds the hosts that the remote knows to be leaving.
	leaving map[string]bool
	peers   []message.Daemon
	beat    time.Time
	// chosen is set if the remote's rule for links asks for this one.
	chosen bool
	// used is when the link last carried more than state.
	used time.Time
}

// New returns a link over a connection.
func New(c *wire.Conn, o Owner, k *state.Tracker, logger log.Logger) *Link {
	return &Link{
		Conn: c, Queue: wire.NewQueue(),
		owner: o, keeper: k, logger: logger,
		heard:   make(chan struct{}, 1),
		theirs:  versions{maps: make(map[string]uint64)},
		leaving: make(map[string]bool),
		used:    time.Now(),
	}
}

// Stop ends the link for a reason, which Run returns.
func (l *Link) Stop(reason error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cancel != nil {
		l.cancel(reason)
	} else {
		l.reason = reason
	}
}

// begin returns the context of Run, which Stop ends.
func (l *Link) begin(ctx context.Context) context.Context {
	l.mu.Lock()
	defer l.mu.Unlock()
	ctx, l.cancel = context.WithCancelCause(ctx)
	if l.reason != nil {
		l.cancel(l.reason)
	}
	return ctx
}

// Run carries messages until the link fails or is stopped. It returns
// wire.ErrStopped after a Shutdown was sent. The caller closes the connection.
func (l *Link) Run(ctx context.Context) error {
	ctx = l.begin(ctx)
	watchdog := time.AfterFunc(beatTimeout, func() { l.Stop(errNoBeat) })
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
			watchdog.Reset(beatTimeout)
		}
		if err := l.receive(m); err != nil {
			return err
		}
	}
}

func (l *Link) receive(m message.Message) error {
	switch m := m.(type) {
	case message.Hello, message.Proof:
		return errors.Errorf("unexpected %T", m)
	case message.Heartbeat:
		l.receiveBeat(m)
	case message.Plan:
		l.receivePlan(m)
	case message.Map:
		l.receiveMap(m)
	case message.Leaving:
		if l.receiveLeaving(m) {
			l.owner.Receive(l.Remote, m)
		}
	case message.Claim, message.Grant, message.Report:
		l.MarkUsed()
		l.owner.Receive(l.Remote, m)
	default:
		l.owner.Receive(l.Remote, m)
	}
	return nil
}

// MarkUsed counts the link as used.
func (l *Link) MarkUsed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used = time.Now()
}

func (l *Link) receiveBeat(b message.Heartbeat) {
	l.mu.Lock()
	first := l.beat.IsZero()
	l.beat = time.Now()
	l.chosen = b.Chosen
	l.theirs.plan = max(l.theirs.plan, b.Plan)
	for zone, v := range b.Maps {
		l.theirs.maps[zone] = max(l.theirs.maps[zone], v)
	}
	if first {
		l.missing = versions{plan: b.Plan, maps: maps.Clone(b.Maps)}
	}
	news := b.Peers != nil
	if news {
		l.peers = b.Peers
	}
	l.mu.Unlock()
	if first || news {
		l.owner.Notify()
	}
	select {
	case l.heard <- struct{}{}:
	default:
	}
}

// write sends the heartbeat, the state that changed and what is queued.
func (l *Link) write(ctx context.Context) error {
	tick := time.NewTicker(beatEvery)
	defer tick.Stop()
	if err := l.sendBeat(ctx, l.owner.Linked()); err != nil {
		return err
	}
	var push <-chan time.Time
	for {
		changed := l.keeper.Changed()
		if err := l.sendChanges(ctx); err != nil {
			return err
		}
		if push == nil && l.exchanged && l.behind(l.keeper.View()) {
			push = time.After(pushDelay)
		}
		var err error
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-tick.C:
			err = l.sendBeat(ctx, l.owner.Linked())
		case <-push:
			push = nil
			err = l.sendNewer(ctx)
		case <-l.Queue.Ready:
			err = l.Queue.Flush(ctx, l.Conn)
		case <-l.heard:
		case <-changed:
		}
		if err != nil {
			return err
		}
	}
}

// sendBeat sends the versions that changed since the last message.Heartbeat, and the peers
// if they differ from those last sent.
func (l *Link) sendBeat(ctx context.Context, peers []message.Daemon) error {
	now := versionsOf(l.keeper.View())
	b := message.Heartbeat{At: time.Now(), Plan: now.plan, Chosen: l.owner.Wants(l.Remote.Name)}
	for zone, v := range now.maps {
		if v != l.announced.maps[zone] {
			if b.Maps == nil {
				b.Maps = make(map[string]uint64)
			}
			b.Maps[zone] = v
		}
	}
	if !slices.Equal(peers, l.peersSent) {
		b.Peers = peers
	}
	l.announced, l.peersSent = now, peers
	return l.Write(ctx, b)
}

// Wanted tells whether the remote's rule for links asks for this one.
func (l *Link) Wanted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.chosen
}

// Report is what the remote has reported over a link.
type Report struct {
	// LastHeartbeat is when its last heartbeat arrived.
	LastHeartbeat time.Time
	// Plan and Maps are the versions that it has.
	Plan uint64
	Maps map[string]uint64
	// Peers are the daemons that it has links to.
	Peers []message.Daemon
	// LastUsed is when the link last carried more than state.
	LastUsed time.Time
}

// Report returns what the remote has reported.
func (l *Link) Report() Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Report{LastHeartbeat: l.beat, Plan: l.theirs.plan, Maps: maps.Clone(l.theirs.maps), Peers: l.peers, LastUsed: l.used}
}
