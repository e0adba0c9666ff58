// Package runner is what the product needs of the backend servers that run
// tasks: what they say of themselves, the orders that they take and the
// reports that they give.
//
// A runner runs tasks under a lease that each order or look may extend, on its
// own clock. It refuses orders with a term lower than the highest it has seen.
// An order without an answer may be carried out seconds later.
package runner

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
)

// ID names one incarnation of a runner. A runner that starts again under the
// same id has another Incarnation.
type ID string

// Incarnation is the Unix millisecond at which a runner started.
type Incarnation int64

// Term is the fence of the orders: the store revision at which the orderer
// became leader.
type Term int64

// Info is what a runner says of itself in the store.
type Info struct {
	ID              ID
	Incarnation     Incarnation
	Machine         string
	Service         string
	Addr            netip.AddrPort
	Zone            string
	Rack            string
	Labels          []string
	Capacity        job.Resources
	Draining        bool
	DrainRemaining  time.Duration // while draining: the least time left
	WarmupRemaining time.Duration // how much longer it is slow after its start
}

// HasLabel tells whether the runner carries a label; every runner has the empty one.
func (i *Info) HasLabel(label string) bool {
	return label == "" || slices.Contains(i.Labels, label)
}

// ErrNoResponse means that an order may have been carried out, or may be later.
var ErrNoResponse = errors.New("runner gave no answer")

// ErrUnreachable means that the runner could not be reached at all.
var ErrUnreachable = errors.New("runner not reached")

// Verdict is a runner's answer to an order.
type Verdict int

// Verdicts.
const (
	Accepted         Verdict = iota // also if it had been carried out before
	Fenced                          // a higher term has been seen
	Superseded                      // a run of this task with this number or a higher one has ended or was stopped
	Expired                         // the lease that came with the order has ended
	NoCapacity                      // the task does not fit
	NoPermit                        // the policy service's permit is missing or too old
	Unhealthy                       // nothing was done
	WrongIncarnation                // another incarnation answers at this address
	Invalid                         // the order is malformed
)

func (v Verdict) String() string {
	return [...]string{
		"accepted", "fenced", "superseded", "expired", "no-room", "no-permit", "unhealthy", "other-life", "invalid",
	}[v]
}

// Reply is the answer to an order.
type Reply struct {
	Verdict Verdict
	Clock   clock.RunnerTime // zero if the answer did not say
}

// Start orders a run of a task.
type Start struct {
	Task       job.Task
	Attempt    int
	Spec       string
	LeaseUntil clock.RunnerTime // lease of everything on the runner
	Checkpoint string           // checkpoint to resume from
	Permit     string           // of the policy service
}

// PollRequest asks for the runs of a runner and extends its lease.
type PollRequest struct {
	LeaseUntil clock.RunnerTime // zero: the lease is not extended
	Acked      int              // ends up to this number are forgotten
	Wait       time.Duration    // the answer waits so long for an end
}

// Run is one row of what a runner runs.
type Run struct {
	Task       job.Task
	Attempt    int
	Checkpoint string `cbor:"Saved"` // newest checkpoint
	Percent    int    // pace; 100 is full
	// Load is, for a lasting task with a target, the tail latency in
	// milliseconds, and for any other task the processor in use in thousandths
	// of a core.
	Load int
	// ReportsLoad tells that the runner reports loads.
	ReportsLoad bool `cbor:"Measured"`
}

// Cause is how a run has ended.
type Cause int

// Causes.
const (
	Done Cause = iota
	Failed
	Stopped
	LeaseExpired   // the lease ended
	GangBroken     // another member of its gang ended
	GangIncomplete // the other members of its gang did not come
)

func (c Cause) String() string {
	return [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone"}[c]
}

// RunResult is one row of the runs that have ended. Numbers start at 1 in each life.
type RunResult struct {
	Seq        int `cbor:"N"`
	Task       job.Task
	Attempt    int
	Cause      Cause
	Checkpoint string `cbor:"Saved"`
}

// Report is the reply to a PollRequest. More results may follow if Results is full.
type Report struct {
	Incarnation Incarnation `cbor:"Life"`
	Clock       clock.RunnerTime
	Running     []Run
	Results     []RunResult `cbor:"Ends"`
}

// Target is whom an order is meant for.
type Target struct {
	ID   ID
	Addr netip.AddrPort
	Zone string // availability zone; empty where it is not known
}

// Client gives orders. Each takes the term of the orderer.
type Client interface {
	Start(ctx context.Context, to Target, t Term, s Start) (Reply, error)
	Stop(ctx context.Context, to Target, t Term, task job.Task, attempt int) (Reply, error)
	// Poll returns a nil report when the verdict is not Accepted.
	Poll(ctx context.Context, to Target, t Term, l PollRequest) (*Report, Reply, error)
	Throttle(ctx context.Context, to Target, t Term, task job.Task, attempt, percent int) (Reply, error)
}
