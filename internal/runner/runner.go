// Package runner defines the interface to the runners, the processes on backend
// servers that run tasks: their registration, the commands that they accept and
// the reports that they return.
//
// A runner runs tasks under a lease on its own clock, which each start and poll
// may extend. It rejects commands with a lower term than the highest one that
// it has received. A command without a response may still be carried out seconds
// later.
package runner

import (
	"context"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
)

// ID is the ID of a runner. A runner that restarts with the same ID has a new
// Incarnation.
type ID string

// Incarnation identifies one process start of a runner by its Unix time in
// milliseconds.
type Incarnation int64

// Term is the fencing token of commands: the store revision at which their
// sender became leader.
type Term int64

// Info is the entry of a runner in the store.
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
	DrainRemaining  time.Duration // while draining: the minimum remaining time
	WarmupRemaining time.Duration // remaining time for which it is slow after its start
}

// HasLabel reports whether the runner has a label; every runner has the empty
// one.
func (i *Info) HasLabel(label string) bool {
	return label == "" || slices.Contains(i.Labels, label)
}

// ErrNoResponse means that a command may have been carried out, or may be later.
var ErrNoResponse = errors.New("no response from runner")

// ErrUnreachable means that the runner could not be reached, so that the command
// was not sent.
var ErrUnreachable = errors.New("runner unreachable")

// Verdict is a runner's verdict on a command.
type Verdict int

// Verdicts of a runner.
const (
	Accepted         Verdict = iota // also if it was carried out before
	Fenced                          // the runner has received a higher term
	Superseded                      // a run of this task with this attempt or a higher one has ended or was stopped
	Expired                         // the lease in the command has expired
	NoCapacity                      // the task does not fit
	NoPermit                        // the policy service's permit is missing or has expired
	Unhealthy                       // the runner is unhealthy; nothing was done
	WrongIncarnation                // another incarnation replies at this address
	Invalid                         // the command is malformed
)

// Valid reports whether v is one of the verdicts.
func (v Verdict) Valid() bool { return v >= Accepted && v <= Invalid }

func (v Verdict) String() string {
	if !v.Valid() {
		return "verdict " + strconv.Itoa(int(v))
	}
	return [...]string{
		"accepted", "fenced", "superseded", "expired", "no-room", "no-permit", "unhealthy", "other-life", "invalid",
	}[v]
}

// Reply is the reply to a command.
type Reply struct {
	Verdict Verdict
	Clock   clock.RunnerTime // zero if not in the reply
}

// Start is the command to start a run of a task.
type Start struct {
	Task       job.Task
	Attempt    int
	Spec       string
	LeaseUntil clock.RunnerTime // end of the lease of all runs on the runner
	Checkpoint string           // checkpoint to resume from
	Permit     string           // ticket of the policy service
}

// PollRequest requests the runs of a runner and may extend its lease.
type PollRequest struct {
	LeaseUntil clock.RunnerTime // zero: the lease is not extended
	Acked      int              // results up to this number are acknowledged, and discarded by the runner
	Wait       time.Duration    // how long the reply may wait for a result
}

// Run is a run that a runner reports as running.
type Run struct {
	_          struct{} `cbor:",toarray"`
	Task       job.Task
	Attempt    int
	Checkpoint string // newest checkpoint
	Percent    int    // throttle; 100 is full speed
	// Load is the tail latency in milliseconds for a long-running task with a
	// target latency, and the CPU in use in thousandths of a core for any other
	// task.
	Load int
	// ReportsLoad is set if the runner reports loads.
	ReportsLoad bool
}

// Cause is the way in which a run ended.
type Cause int

// Causes of the end of a run.
const (
	Done Cause = iota
	Failed
	Stopped
	LeaseExpired   // the lease of the runner expired
	GangBroken     // another member of its gang ended
	GangIncomplete // the other members of its gang did not start
)

// Valid reports whether c is one of the causes.
func (c Cause) Valid() bool { return c >= Done && c <= GangIncomplete }

func (c Cause) String() string {
	if !c.Valid() {
		return "cause " + strconv.Itoa(int(c))
	}
	return [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone"}[c]
}

// RunResult is the result of a run. Sequence numbers start at 1 in each
// incarnation.
type RunResult struct {
	_          struct{} `cbor:",toarray"`
	Seq        int
	Task       job.Task
	Attempt    int
	Cause      Cause
	Checkpoint string
}

// Report is the reply to a PollRequest. More results may follow if Results is full.
type Report struct {
	_           struct{} `cbor:",toarray"`
	Incarnation Incarnation
	Clock       clock.RunnerTime
	Running     []Run
	Results     []RunResult
}

// Target is the runner that a command is sent to.
type Target struct {
	ID   ID
	Addr netip.AddrPort
	Zone string // availability zone; empty if unknown
}

// StartOutcome is the outcome of one of several starts: a reply or an error.
type StartOutcome struct {
	Reply Reply
	Err   error
}

type sendDeadlineKey struct{}

// WithSendDeadline returns a context with which no command or poll is sent at or after
// a time. One that was sent before may wait for its reply longer than that.
func WithSendDeadline(ctx context.Context, at clock.BootTime) context.Context {
	return context.WithValue(ctx, sendDeadlineKey{}, at)
}

// SendDeadline returns the time from which on nothing is sent with a context, or zero
// if it has none.
func SendDeadline(ctx context.Context) clock.BootTime {
	at, _ := ctx.Value(sendDeadlineKey{}).(clock.BootTime)
	return at
}

// Client sends commands to runners, with the term of the leader, within the send
// deadline of the context. A command without a reply returns ErrNoResponse, or
// ErrUnreachable if it was not sent.
type Client interface {
	Start(ctx context.Context, to Target, t Term, s Start) (Reply, error)
	Stop(ctx context.Context, to Target, t Term, task job.Task, attempt int) (Reply, error)
	// Poll returns a nil report when the verdict is not Accepted.
	Poll(ctx context.Context, to Target, t Term, p PollRequest) (*Report, Reply, error)
	Throttle(ctx context.Context, to Target, t Term, task job.Task, attempt, percent int) (Reply, error)
}
