package lead

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

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
	// RenewDeadline is how long a leader orders runners without having renewed its
	// lease.
	RenewDeadline = 5 * time.Second
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

// Registry is where runners register in the store.
type Registry struct {
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
	AllowedRunners(ctx context.Context, step string, runners []runner.ID) (allowed []sched.AllowedRunner, valid time.Duration, err error)
}

// Config is what a Leader needs. All fields must be set.
type Config struct {
	Self     Holder
	Store    kv.Store
	Runners  runner.Client
	Registry Registry
	Waves    Waves
	// Machines is nil where the platform has no API for machines.
	Machines machine.API
	// MachineCommandRate is how many orders a second Machines takes.
	MachineCommandRate rate.Limit
	// Policy is nil where the platform has no policy service.
	Policy Policy
	// CurrentConfig returns the configuration in force, or nil.
	CurrentConfig func() *job.Config
	Limits        sched.Limits
	// RelativeCapacity is the processor and the link of this host, as a part of what a
	// strong host has. Weaker hosts campaign later.
	RelativeCapacity float64
	Logger           log.Logger
}

// Leader follows the leader's key and leads when it gets it.
type Leader struct {
	cfg     Config
	holder  atomic.Pointer[Holder]
	current atomic.Pointer[term]
	// runners is how many runners the term looks at.
	runners atomic.Int64
	mu      sync.Mutex
	changed chan struct{} // closed when another daemon leads, or none
	// yield keeps the daemon from campaigning before this instant.
	yield atomic.Int64
	done  chan struct{}
}

// New returns a leader that is not running yet.
func New(c Config) *Leader {
	return &Leader{cfg: c, changed: make(chan struct{}), done: make(chan struct{})}
}

// Done is closed when Run has returned.
func (l *Leader) Done() <-chan struct{} { return l.done }

// Holder returns the leader as last seen, or nil.
func (l *Leader) Holder() *Holder { return l.holder.Load() }

// RemoteLeader returns the address of the leader, or no address while there is
// none or this daemon leads, and a channel that is closed when that changes.
func (l *Leader) RemoteLeader() (netip.AddrPort, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.holder.Load()
	if h == nil || h.Incarnation == l.cfg.Self.Incarnation {
		return netip.AddrPort{}, l.changed
	}
	return h.Addr, l.changed
}

// hold records who leads, and returns who did before.
func (l *Leader) hold(h *Holder) *Holder {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.holder.Swap(h)
	if (old == nil) != (h == nil) || old != nil && *old != *h {
		close(l.changed)
		l.changed = make(chan struct{})
	}
	return old
}

// PolledRunners is how many runners this daemon looks at as the leader.
func (l *Leader) PolledRunners() int { return int(l.runners.Load()) }

// Leading tells whether this daemon leads.
func (l *Leader) Leading() bool { return l.current.Load() != nil }

// Run follows and leads until the context ends.
func (l *Leader) Run(ctx context.Context) error {
	defer close(l.done)
	for ctx.Err() == nil {
		if err := l.follow(ctx); err != nil && ctx.Err() == nil {
			l.cfg.Logger.Log("msg", "leader's key cannot be followed", "err", err)
			clock.Sleep(ctx, retryPause)
		}
	}
	return ctx.Err()
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

// Stats returns the size of the state if this daemon leads.
func (l *Leader) Stats() sched.Stats {
	x := l.current.Load()
	if x == nil {
		return sched.Stats{}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.state.Stats()
}

var (
	errDeposed     = errors.New("another leader has the key, or the lease has ended")
	errStale       = errors.New("lease could not be renewed")
	errUnreachable = errors.New("most runners cannot be reached")
)
