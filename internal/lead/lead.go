package lead

import (
	"context"
	"fmt"
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
	"gypsumtrestle.example/gypsumtrestle/internal/overload"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
	"gypsumtrestle.example/gypsumtrestle/internal/sched"
)

const (
	// leaseTTL applies to the leader key. It is how long a crash of the leader
	// goes undetected. A slow store would let shorter leases expire.
	leaseTTL = 1300 * time.Millisecond
	// renewInterval allows several attempts within a lease.
	renewInterval = 300 * time.Millisecond
	// renewTimeout bounds an attempt, so that another attempt over a new
	// connection fits into the lease. A slow store takes some hundred
	// milliseconds.
	renewTimeout = 500 * time.Millisecond
	// RenewDeadline is how long a leader sends commands to runners without
	// having renewed its lease.
	RenewDeadline = 5 * time.Second
	// StartDeadline is the same for starts. A start may reach a later incarnation of its
	// runner, which does not reject it, so that the next leader waits for the last one
	// before it takes a runner's absence from the list of machines for its end.
	StartDeadline = 4 * time.Second
	// commandTransit is the time in which a command arrives that was sent just in time,
	// and covers the different speeds of two hosts' clocks.
	commandTransit = 100 * time.Millisecond
	// leaderWatchTimeout bounds one call to the watch of the leader key.
	leaderWatchTimeout = 2 * time.Second
	// retryDelay follows a failed call to the store.
	retryDelay = 100 * time.Millisecond
)

// Holder is the stored value of the leader key: it identifies the leader.
type Holder struct {
	Name        string         `cbor:"1,keyasint"`
	Addr        netip.AddrPort `cbor:"2,keyasint"`
	Incarnation string         `cbor:"3,keyasint"`
	// StartDeadline is that of the process, which New sets. Earlier versions have none,
	// and start tasks until RenewDeadline.
	StartDeadline time.Duration `cbor:"4,keyasint,omitempty"`
}

// Registry describes where runners are registered in the store.
type Registry struct {
	Prefix string
	Decode func(key string, value []byte) (*runner.Info, error)
}

// Waves describes where the store holds the operators' waves and their status.
type Waves struct {
	Prefix string
	Decode func(value []byte) (*machine.Wave, error)
	// Status returns the key and value that report a wave's status to
	// operators.
	Status func(number int, completed bool) (key string, value []byte, err error)
}

// Policy is the policy service, which decides which runners may run a step.
type Policy interface {
	// AllowedRunners returns those of the runners that may run the step, and how
	// long their permits are valid.
	AllowedRunners(ctx context.Context, step string, runners []runner.ID) (allowed []sched.AllowedRunner, valid time.Duration, err error)
}

// Config is the configuration of a Leader. All fields must be set unless noted.
type Config struct {
	Self     Holder
	Store    kv.Store
	Runners  runner.Client
	Registry Registry
	Waves    Waves
	// Machines is nil where the platform has no API for machines.
	Machines machine.API
	// MachineCommandRate is how many commands per second Machines accepts.
	MachineCommandRate rate.Limit
	// Policy is nil where the platform has no policy service.
	Policy Policy
	// Peers is nil if other daemons cannot be asked.
	Peers Peers
	// CommandTime is how long after it was sent a command may begin at a relay.
	CommandTime time.Duration
	// CurrentConfig returns the active configuration, or nil.
	CurrentConfig func() *job.Config
	Limits        sched.Limits
	// MaxValue is the largest value that the store holds, in bytes; zero: no limit.
	MaxValue int
	// Together is set if tasks are placed without regard to interference.
	Together bool
	// RelativeCapacity is the processor and link capacity of this host relative
	// to a reference host. Hosts with less capacity campaign later.
	RelativeCapacity float64
	// RelativeCores is the processor capacity alone, at most 1; zero means 1.
	RelativeCores float64
	Logger        log.Logger
}

// Leader watches the leader key and leads while this daemon has it.
type Leader struct {
	cfg     Config
	holder  atomic.Pointer[Holder]
	current atomic.Pointer[term] // nil until the state is loaded
	// contending is set while a term of this process may begin or goes on.
	contending atomic.Bool
	running    atomic.Pointer[term] // the term that goes on; nil if none is known to
	// polledRunners is the number of runners that the current term polls.
	polledRunners atomic.Int64
	mu            sync.Mutex
	changed       chan struct{}          // closed when the leader changes
	replies       map[string]daemonReply // by the name of the daemon
	// yieldUntil is the boot-clock time before which the daemon does not
	// campaign.
	yieldUntil atomic.Int64
	vacated    vacancy // the last one that was seen; only Run uses it
	done       chan struct{}
}

// New returns a leader that is not running yet.
func New(c Config) *Leader {
	c.Self.StartDeadline = StartDeadline
	return &Leader{cfg: c, changed: make(chan struct{}), done: make(chan struct{})}
}

// Done is closed when Run has returned.
func (l *Leader) Done() <-chan struct{} { return l.done }

// Holder returns the last observed leader, or nil.
func (l *Leader) Holder() *Holder { return l.holder.Load() }

// RemoteLeader returns the address of the leader, or no address if there is no
// leader or this daemon leads, and a channel that is closed when that changes.
func (l *Leader) RemoteLeader() (netip.AddrPort, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.holder.Load()
	if h == nil || h.Incarnation == l.cfg.Self.Incarnation {
		return netip.AddrPort{}, l.changed
	}
	return h.Addr, l.changed
}

// setHolder records the leader and returns the previous one.
func (l *Leader) setHolder(h *Holder) *Holder {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.holder.Swap(h)
	if (old == nil) != (h == nil) || old != nil && *old != *h {
		close(l.changed)
		l.changed = make(chan struct{})
	}
	return old
}

// PolledRunners returns how many runners this daemon polls as the leader.
func (l *Leader) PolledRunners() int { return int(l.polledRunners.Load()) }

// Leading reports whether this daemon leads.
func (l *Leader) Leading() bool { return l.current.Load() != nil }

// Run watches the leader key and leads until the context ends.
func (l *Leader) Run(ctx context.Context) error {
	defer close(l.done)
	for ctx.Err() == nil {
		if err := l.watchLeader(ctx); err != nil && ctx.Err() == nil {
			l.cfg.Logger.Log("msg", "leader watch failed", "err", err)
			clock.Sleep(ctx, retryDelay)
		}
	}
	return ctx.Err()
}

// Query returns the status of a job. The bool reports whether this daemon leads;
// if it does not, the status is empty.
func (l *Leader) Query(id job.ID) (sched.Status, bool) {
	t := l.current.Load()
	if t == nil {
		return sched.Status{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.Query(id), true
}

// Pending returns the number of jobs of a queue that have not started. The bool
// reports whether this daemon leads; if it does not, the number is 0.
func (l *Leader) Pending(queue string) (int, bool) {
	t := l.current.Load()
	if t == nil {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.Pending(queue), true
}

// Explain returns where the tasks of a job would go if it were submitted now. The bool
// reports whether this daemon leads; if it does not, there is no explanation.
func (l *Leader) Explain(j *job.Job) (*sched.Explanation, bool, error) {
	t := l.current.Load()
	if t == nil {
		return nil, false, nil
	}
	t.mu.Lock()
	e, err := t.state.Explain(j, clock.Now(), time.Now())
	t.mu.Unlock()
	if err != nil {
		return nil, true, err
	}
	if x, may := overload.NewJob(j); may {
		v := t.loadView(clock.Now())
		if d := v.Decide(&x, 0, nil); d.Reject {
			e.Further = append(e.Further, fmt.Sprintf("rejected for overload (%s) where admission is on: retry after %s", d.Reason, d.RetryAfter))
		}
	}
	return e, true, nil
}

// Stats returns the statistics of the state, or zeros if this daemon does not
// lead.
func (l *Leader) Stats() sched.Stats {
	t := l.current.Load()
	if t == nil {
		return sched.Stats{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.Stats()
}

var (
	errLostLeadership = errors.New("leader key lost: another leader has it, or the lease expired")
	errRenewalOverdue = errors.New("leader lease not renewed within the deadline")
	errUnreachable    = errors.New("most runners unreachable")
)
