package relay

import (
	"context"
	"net/netip"
	"time"

	"github.com/coder/websocket"
	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

const (
	// dialTime ends an attempt to connect to the leader.
	dialTime = 500 * time.Millisecond
	// redialPause follows a connection that failed or ended.
	redialPause = 200 * time.Millisecond
	// openCalls bounds the calls that a relay carries out at once. Each runner
	// has one look and a few orders open.
	openCalls = 1024
)

// Worker carries out calls for the leader at a daemon that does not lead.
type Worker struct {
	Name             string
	Zone             string
	RelativeCapacity float64
	// Leader returns the address of the leader, or none while there is none or
	// this daemon leads, and a channel that is closed when that changes.
	Leader  func() (netip.AddrPort, <-chan struct{})
	Runners runner.Client
	Logger  log.Logger
}

// Run serves the leader of the moment until the context ends.
func (w *Worker) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		at, changed := w.Leader()
		if !at.IsValid() {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		err := w.serve(ctx, at, changed)
		if ctx.Err() == nil && !errors.Is(err, errChanged) {
			w.Logger.Log("msg", "relay is not connected", "leader", at, "err", err)
			clock.Sleep(ctx, redialPause)
		}
	}
	return ctx.Err()
}

// serve connects to the leader and carries out its calls until the connection
// ends or another daemon leads.
func (w *Worker) serve(ctx context.Context, leader netip.AddrPort, changed <-chan struct{}) error {
	dctx, cancel := context.WithTimeout(ctx, dialTime)
	c, _, err := websocket.Dial(dctx, "ws://"+leader.String()+Path, &websocket.DialOptions{CompressionMode: websocket.CompressionDisabled}) //nolint:bodyclose // the library closes it
	cancel()
	if err != nil {
		return errors.Wrap(err, "dial")
	}
	defer c.CloseNow() //nolint:errcheck // nothing is lost with the connection
	c.SetReadLimit(maxMessage)
	if err := write(ctx, c, hello{Name: w.Name, Zone: w.Zone, Power: w.RelativeCapacity}); err != nil {
		return err
	}
	w.Logger.Log("msg", "relay is connected", "leader", leader)
	cctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	results := make(chan result, batchCalls)
	go func() { stop(writeBatches(cctx, c, results)) }()
	go func() {
		select {
		case <-cctx.Done():
		case <-changed:
			stop(errChanged)
		}
	}()
	slots := make(chan struct{}, openCalls)
	for {
		var calls []call
		if err := read(cctx, c, &calls); err != nil {
			if cause := context.Cause(cctx); cause != nil {
				return cause
			}
			return err
		}
		for i := range calls {
			select {
			case slots <- struct{}{}:
			default:
				// The leader repeats what has no answer.
				w.Logger.Log("msg", "relay has too many open calls", "runner", calls[i].Runner)
				continue
			}
			go func() {
				defer func() { <-slots }()
				select {
				case results <- w.carryOut(cctx, &calls[i]):
				case <-cctx.Done():
				}
			}()
		}
	}
}

// errChanged ends the connection to a daemon that no longer leads.
var errChanged = errors.New("another daemon leads")

// carryOut makes one call to a runner.
func (w *Worker) carryOut(ctx context.Context, c *call) result {
	to := runner.Target{ID: c.Runner, Addr: c.Addr}
	var reply runner.Reply
	var rep *runner.Report
	var err error
	switch c.Kind {
	case startRun:
		reply, err = w.Runners.Start(ctx, to, c.Term, runner.Start{
			Task: c.Task, Attempt: c.Attempt, Spec: c.Spec, LeaseUntil: c.Until, Checkpoint: c.Saved, Permit: c.Permit,
		})
	case stopRun:
		reply, err = w.Runners.Stop(ctx, to, c.Term, c.Task, c.Attempt)
	case paceRun:
		reply, err = w.Runners.Throttle(ctx, to, c.Term, c.Task, c.Attempt, c.Percent)
	case lookAt:
		rep, reply, err = w.Runners.Poll(ctx, to, c.Term, runner.PollRequest{LeaseUntil: c.Until, Acked: c.Seen, Wait: c.Wait})
	default:
		err = errors.Wrapf(runner.ErrUnreachable, "call of kind %d", c.Kind)
	}
	r := result{Seq: c.Seq, Verdict: reply.Verdict, Clock: reply.Clock, Report: rep}
	switch {
	case errors.Is(err, runner.ErrUnreachable):
		r.Outcome, r.Err = notSent, err.Error()
	case err != nil:
		r.Outcome, r.Err = noAnswer, err.Error()
	}
	return r
}
