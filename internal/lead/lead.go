package lead

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/kv"
	"gypsumtrestle.example/gypsumtrestle/internal/machine"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
	"gypsumtrestle.example/gypsumtrestle/internal/sched"
)

const (
	// leaseTime of the leader's key. A crashed leader is missed for this long;
	// shorter leases would be lost to a slow store.
	leaseTime = 1300 * time.Millisecond
	// renewPeriod leaves several attempts within a lease.
	renewPeriod = 300 * time.Millisecond
	// renewTime ends an attempt, so that another one over a new connection fits
	// into the lease. A slow store takes some hundred milliseconds.
	renewTime = 500 * time.Millisecond
	// StopAfter is how long a leader orders runners without having renewed its
	// lease.
	StopAfter = 8 * time.Second
	// followWait is how long a follower's watch of the leader's key waits.
	followWait = 2 * time.Second
	// retryPause follows a failed call to the store.
	retryPause = 100 * time.Millisecond
)

// Holder is the value of the leader's key.
type Holder struct {
	Name        string         `cbor:"1,keyasint"`
	Addr        netip.AddrPort `cbor:"2,keyasint"`
	Incarnation string         `cbor:"3,keyasint"`
}

// Directory is where runners register in the store.
type Directory struct {
	Prefix string
	Decode func(key string, value []byte) (*runner.Info, error)
}

// Waves is where operators ask for waves and read their state.
type Waves struct {
	Prefix string
	Decode func(value []byte) (*machine.Wave, error)
	// Status returns the key and value that tell operators of a wave.
	Status func(number int, completed bool) (key string, value []byte, err error)
}

// Policy is the service that knows which runners may run a step.
type Policy interface {
	Ask(ctx context.Context, step string, runners []runner.ID) (allowed []sched.Allowed, valid time.Duration, err error)
}

// Config is what a Leader needs. All fields must be set.
type Config struct {
	Self    Holder
	Store   kv.Store
	Runners runner.Client
	Servers Directory
	Waves   Waves
	// Machines is nil where the platform has no API for machines.
	Machines machine.API
	// Policy is nil where the platform has no policy service.
	Policy Policy
	// Operators returns the configuration in force, or nil.
	Operators func() *job.Config
	Limits    sched.Limits
	// Power is the processor and the link of this host, as a part of what a
	// strong host has. Weaker hosts campaign later.
	Power  float64
	Logger log.Logger
}

// Leader follows the leader's key and leads when it gets it.
type Leader struct {
	cfg     Config
	holder  atomic.Pointer[Holder]
	current atomic.Pointer[term]
	// yield keeps the daemon from campaigning before this instant.
	yield atomic.Int64
	done  chan struct{}
}

// New returns a leader that is not running yet.
func New(c Config) *Leader { return &Leader{cfg: c, done: make(chan struct{})} }

// Done is closed when Run has returned.
func (l *Leader) Done() <-chan struct{} { return l.done }

// Holder returns the leader as last seen, or nil.
func (l *Leader) Holder() *Holder { return l.holder.Load() }

// Leading tells whether this daemon leads.
func (l *Leader) Leading() bool { return l.current.Load() != nil }

// Run follows and leads until the context ends.
func (l *Leader) Run(ctx context.Context) error {
	defer close(l.done)
	for ctx.Err() == nil {
		if err := l.follow(ctx); err != nil && ctx.Err() == nil {
			l.cfg.Logger.Log("msg", "leader's key cannot be followed", "err", err)
			pause(ctx, retryPause)
		}
	}
	return ctx.Err()
}

// follow reads the leader's key once and waits until it changes.
func (l *Leader) follow(ctx context.Context) error {
	items, rev, err := l.cfg.Store.List(ctx, job.LeaderKey)
	if err != nil {
		return err
	}
	if len(items) == 0 {
		l.see(kv.Item{})
		return l.campaign(ctx)
	}
	l.see(items[0])
	for ctx.Err() == nil {
		events, asOf, err := l.cfg.Store.Watch(ctx, job.LeaderKey, rev, time.Now().Add(followWait))
		if err != nil {
			return err
		}
		rev = asOf
		if len(events) == 0 {
			continue
		}
		last := events[len(events)-1]
		if last.Deleted {
			l.see(kv.Item{})
			return l.campaign(ctx)
		}
		l.see(last.Item)
	}
	return ctx.Err()
}

// see records who leads.
func (l *Leader) see(it kv.Item) {
	if it.Rev == 0 {
		if l.holder.Swap(nil) != nil {
			l.cfg.Logger.Log("msg", "there is no leader")
		}
		return
	}
	var h Holder
	if err := cbor.Unmarshal(it.Value, &h); err != nil {
		l.cfg.Logger.Log("msg", "leader's key cannot be read", "rev", int64(it.Rev), "err", err)
		return
	}
	if old := l.holder.Swap(&h); old == nil || *old != h {
		l.cfg.Logger.Log("msg", "leader is known", "leader", h.Name, "term", int64(it.Rev))
	}
}

// campaign tries to become leader, and leads if it succeeds.
func (l *Leader) campaign(ctx context.Context) error {
	if wait := clock.Boot(l.yield.Load()).Sub(clock.Now()); wait > 0 {
		pause(ctx, min(wait, retryPause))
		return nil
	}
	pause(ctx, l.delay())
	if _, err := l.cfg.Store.Get(ctx, job.LeaderKey); !errors.Is(err, kv.ErrNotFound) {
		return err
	}
	lease, ttl, err := l.cfg.Store.Grant(ctx, leaseTime)
	if err != nil {
		return errors.Wrap(err, "campaign")
	}
	granted := clock.Now()
	value, err := cbor.Marshal(l.cfg.Self)
	if err != nil {
		return errors.Wrap(err, "campaign")
	}
	rev, err := l.cfg.Store.Commit(ctx, kv.Txn{
		Conds:  []kv.Cond{{Key: job.LeaderKey}},
		Writes: []kv.Write{{Key: job.LeaderKey, Value: value, Lease: lease}},
	})
	var conflict *kv.Conflict
	switch {
	case errors.As(err, &conflict):
		l.see(conflict.Find(job.LeaderKey))
		return nil
	case errors.Is(err, kv.ErrUnknown):
		it, gerr := l.cfg.Store.Get(ctx, job.LeaderKey)
		if gerr != nil {
			return errors.Wrap(gerr, "campaign")
		}
		if it.Lease != lease {
			return errors.Wrap(err, "campaign")
		}
		rev = it.Rev
	case err != nil:
		return errors.Wrap(err, "campaign")
	}
	l.holder.Store(&l.cfg.Self)
	return l.lead(ctx, runner.Term(rev), lease, ttl, granted)
}

const (
	// campaignDelay of a host of full power; one of a quarter waits four times
	// as long.
	campaignDelay = 20 * time.Millisecond
	// longestDelay bounds the delay of the weakest hosts.
	longestDelay = 300 * time.Millisecond
)

// delay is how long this host lets stronger ones campaign first.
func (l *Leader) delay() time.Duration {
	if l.cfg.Power <= 0 {
		return 0
	}
	return min(time.Duration(float64(campaignDelay)/l.cfg.Power), longestDelay)
}

// lead runs one term until it is lost or the context ends.
func (l *Leader) lead(ctx context.Context, t runner.Term, lease kv.Lease, ttl time.Duration, granted clock.Boot) error {
	logger := log.With(l.cfg.Logger, "term", int64(t))
	logger.Log("msg", "term begins", "ttl", ttl)
	limits := l.cfg.Limits
	// The last order of an earlier leader may extend a runner's lease by the
	// longest hold, on a clock that may be slow.
	limits.Takeover = StopAfter + limits.Hold + limits.Hold/20
	// An earlier leader orders machines only while its lease surely holds.
	limits.Turn += leaseTime
	tctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	x := &term{
		cfg: &l.cfg, id: t, lease: lease, ttl: ttl, logger: logger, lose: cancel,
		kick: make(chan struct{}, 1), questions: make(chan sched.Question, questionQueue), lookers: make(map[runner.ID]bool),
		state: sched.New(t, clock.Now(), limits, logger),
	}
	x.renewed.Store(int64(granted))
	x.run(tctx, func() { l.current.Store(x) })
	l.current.Store(nil)
	logger.Log("msg", "term ends", "why", context.Cause(tctx))
	if errors.Is(context.Cause(tctx), errUnreachable) {
		l.yield.Store(int64(clock.Now().Add(yieldTime)))
	}
	return nil
}

// Query asks the state of a job if this daemon leads.
func (l *Leader) Query(id job.ID) (sched.Status, bool) {
	x := l.current.Load()
	if x == nil {
		return sched.Status{}, false
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.state.Query(id), true
}

// Pending counts the jobs of a queue that have not begun, if this daemon leads.
func (l *Leader) Pending(queue string) (int, bool) {
	x := l.current.Load()
	if x == nil {
		return 0, false
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.state.Pending(queue), true
}

// Count returns the size of the state if this daemon leads.
func (l *Leader) Count() sched.Count {
	x := l.current.Load()
	if x == nil {
		return sched.Count{}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.state.Count()
}

// pause waits, or returns early when the context ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

var (
	errDeposed     = errors.New("another leader has the key, or the lease has ended")
	errStale       = errors.New("lease could not be renewed")
	errUnreachable = errors.New("most runners cannot be reached")
)

// yieldTime keeps a daemon that cannot reach most runners from leading again,
// so that another one can.
const yieldTime = 4 * time.Second

// term is one term of this daemon as the leader.
type term struct {
	cfg       *Config
	id        runner.Term
	lease     kv.Lease
	ttl       time.Duration
	logger    log.Logger
	lose      context.CancelCauseFunc
	renewed   atomic.Int64 // clock.Boot at which the last successful renewal was sent
	kick      chan struct{}
	questions chan sched.Question

	mu      sync.Mutex
	state   *sched.State
	lookers map[runner.ID]bool
	wg      sync.WaitGroup

	roster     []sched.RosterRow // as stored
	rosterRev  kv.Revision
	intentsRev kv.Revision
	closing    bool // no order is on its way any more
}

// run loads the state, works until the term is lost, and gives the key up.
func (x *term) run(ctx context.Context, ready func()) {
	x.spawn(func() { x.renew(ctx) })
	inputRev, serversRev, ok := x.load(ctx)
	if ok {
		ready()
		x.spawn(func() { x.watchInput(ctx, inputRev) })
		x.spawn(func() { x.watchServers(ctx, serversRev) })
		x.spawn(func() { x.watchWaves(ctx) })
		x.spawn(func() { x.listMachines(ctx) })
		x.spawn(func() { x.ask(ctx) })
		x.spawn(func() { x.flushAlways(ctx) })
		x.spawn(func() { x.plan(ctx) })
	}
	<-ctx.Done()
	x.wg.Wait()
	x.resign(ctx)
}

// spawn runs f as a part of the term.
func (x *term) spawn(f func()) {
	x.wg.Add(1)
	go func() {
		defer x.wg.Done()
		f()
	}()
}

// resignTime bounds the calls with which a stopping leader gives up its key.
const resignTime = 500 * time.Millisecond

// resign stores what is left and ends the lease, unless the key is lost.
func (x *term) resign(ctx context.Context) {
	if errors.Is(context.Cause(ctx), errDeposed) {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), resignTime)
	defer cancel()
	x.closing = true
	if _, err := x.flush(ctx); err != nil {
		x.logger.Log("msg", "progress is not stored at the end of the term", "err", err)
	}
	if err := x.cfg.Store.Revoke(ctx, x.lease); err != nil {
		x.logger.Log("msg", "lease is not ended", "err", err)
	}
}

// renew extends the lease until the term is lost.
func (x *term) renew(ctx context.Context) {
	for ctx.Err() == nil {
		sent := clock.Now()
		rctx, cancel := context.WithTimeout(ctx, renewTime)
		err := x.cfg.Store.Renew(rctx, x.lease)
		cancel()
		switch {
		case err == nil:
			x.renewed.Store(int64(sent))
		case errors.Is(err, kv.ErrNotFound):
			x.lose(errDeposed)
			return
		case ctx.Err() == nil:
			age := clock.Now().Sub(clock.Boot(x.renewed.Load()))
			x.logger.Log("msg", "lease is not renewed", "age", age, "err", err)
			if age > StopAfter {
				x.lose(errStale)
				return
			}
		}
		pause(ctx, renewPeriod)
	}
}

// wake makes the planner run.
func (x *term) wake() {
	select {
	case x.kick <- struct{}{}:
	default:
	}
}
