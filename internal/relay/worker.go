package relay

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

const (
	// dialTimeout bounds an attempt to connect to the leader.
	dialTimeout = 500 * time.Millisecond
	// redialDelay follows a connection that failed or ended.
	redialDelay = 200 * time.Millisecond
	// maxOpenCalls bounds the calls that a relay executes at once, and those
	// that the leader queues for it. Each runner has one poll and a few commands
	// open.
	maxOpenCalls = 1024
)

// Worker executes calls for the leader at a daemon that does not lead.
type Worker struct {
	Name             string
	Incarnation      string // of this process
	Zone             string
	RelativeCapacity float64
	// Leader returns the address of the leader, or no address if there is no
	// leader or this daemon leads, and a channel that is closed when that
	// changes.
	Leader  func() (netip.AddrPort, <-chan struct{})
	Runners runner.Client
	Logger  log.Logger
}

// Run connects to the current leader and serves it, until the context ends.
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
		if ctx.Err() == nil && !errors.Is(err, errLeaderChanged) {
			w.Logger.Log("msg", "relay connection to leader failed", "leader", at, "err", err)
			clock.Sleep(ctx, redialDelay)
		}
	}
	return ctx.Err()
}

// serve connects to the leader and executes its calls until the connection ends
// or the leader changes.
func (w *Worker) serve(ctx context.Context, leader netip.AddrPort, changed <-chan struct{}) error {
	dctx, cancel := context.WithTimeout(ctx, dialTimeout)
	c, _, err := websocket.Dial(dctx, "ws://"+leader.String()+Path, &websocket.DialOptions{CompressionMode: websocket.CompressionDisabled}) //nolint:bodyclose // the library closes it
	cancel()
	if err != nil {
		return errors.Wrap(err, "dial")
	}
	defer c.CloseNow() //nolint:errcheck // nothing is lost with the connection
	c.SetReadLimit(maxMessage)
	cctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	go func() {
		select {
		case <-cctx.Done():
		case <-changed:
			stop(errLeaderChanged)
		}
	}()
	openedAt := relayTime(clock.Now())
	first, err := w.hello(cctx, c, openedAt)
	if err != nil {
		return cause(cctx, err)
	}
	w.Logger.Log("msg", "relay connected to leader", "leader", leader, "exchange", time.Duration(relayTime(clock.Now())-openedAt))
	// The first reply shows the leader that this process lives.
	if err := write(cctx, c, resultBatch{SentAt: relayTime(clock.Now())}); err != nil {
		return cause(cctx, err)
	}
	results := make(chan result, maxBatch)
	ticker := time.NewTicker(readingPeriod)
	defer ticker.Stop()
	go func() {
		stop(writeBatches(cctx, c, results, resultDelay, ticker.C, func(rs []result) any {
			return resultBatch{SentAt: relayTime(clock.Now()), Results: rs}
		}))
	}()
	return cause(cctx, w.executeAll(cctx, c, openedAt, first, results))
}

// cause returns why a context ended, or err if it has not ended.
func cause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c != nil {
		return c
	}
	return err
}

// hello opens a connection and returns the first reading.
func (w *Worker) hello(ctx context.Context, c *websocket.Conn, openedAt relayTime) (reading, error) {
	if err := write(ctx, c, hello{Name: w.Name, Incarnation: w.Incarnation, Zone: w.Zone, RelativeCapacity: w.RelativeCapacity, SentAt: openedAt}); err != nil {
		return reading{}, err
	}
	rctx, cancel := context.WithTimeout(ctx, maxExchange)
	defer cancel()
	var b callBatch
	if err := read(rctx, c, &b); err != nil {
		return reading{}, errors.Wrap(err, "reply to hello")
	}
	now := relayTime(clock.Now())
	if d := time.Duration(now - openedAt); d > maxExchange {
		return reading{}, errors.Errorf("reply to hello took %v", d)
	}
	return b.Reading, b.Reading.check(openedAt, now)
}

// executeAll executes calls until the connection ends. Of the leader's readings
// it uses the one with the lowest bound.
func (w *Worker) executeAll(ctx context.Context, c *websocket.Conn, openedAt relayTime, best reading, results chan<- result) error {
	slots := make(chan struct{}, maxOpenCalls)
	for {
		var m callBatch
		if err := read(ctx, c, &m); err != nil {
			return err
		}
		now := relayTime(clock.Now())
		if err := m.Reading.check(openedAt, now); err != nil {
			return err
		}
		if m.Reading.upperBound(now) < best.upperBound(now) {
			best = m.Reading
		}
		b := newBatch(len(m.Calls))
		for i := range m.Calls {
			x := &m.Calls[i]
			select {
			case slots <- struct{}{}:
			default:
				// The leader sends a call without a result again.
				w.Logger.Log("msg", "call dropped: too many open calls", "runner", x.Runner)
				b.end(w.Logger)
				continue
			}
			until := expiry{at: x.Expiry, reading: best, batch: b}
			go func() {
				defer func() { <-slots }()
				r := w.execute(ctx, x, until)
				b.end(w.Logger)
				select {
				case results <- r:
				case <-ctx.Done():
				}
			}()
		}
	}
}

// errLeaderChanged ends the connection to a daemon that no longer leads.
var errLeaderChanged = errors.New("leader changed")

// execute makes one call to a runner, unless it has expired.
func (w *Worker) execute(ctx context.Context, c *call, until expiry) result {
	ctx, cancel := until.context(ctx)
	defer cancel()
	if c.Kind == startRuns {
		return result{Seq: c.Seq, Starts: w.startAll(ctx, c, until)}
	}
	to := runner.Target{ID: c.Runner, Addr: c.Addr}
	var reply runner.Reply
	var rep *runner.Report
	err := until.check()
	if err == nil {
		switch c.Kind {
		case startRun:
			reply, err = w.Runners.Start(ctx, to, c.Term, runner.Start{
				Task: c.Task, Attempt: c.Attempt, Spec: c.Spec, LeaseUntil: c.LeaseUntil, Checkpoint: c.Checkpoint, Permit: c.Permit,
			})
		case stopRun:
			reply, err = w.Runners.Stop(ctx, to, c.Term, c.Task, c.Attempt)
		case throttleRun:
			reply, err = w.Runners.Throttle(ctx, to, c.Term, c.Task, c.Attempt, c.Percent)
		case pollRunner:
			rep, reply, err = w.Runners.Poll(ctx, to, c.Term, runner.PollRequest{LeaseUntil: c.LeaseUntil, Acked: c.Acked, Wait: c.Wait})
		default:
			err = errors.Wrapf(runner.ErrUnreachable, "call of kind %d", c.Kind)
		}
	}
	r := result{Seq: c.Seq, Verdict: reply.Verdict, Clock: reply.Clock, Report: rep}
	r.Outcome, r.Err = outcomeOf(err)
	return r
}

// startAll makes several starts on a runner at once. Those that have expired are
// not made.
func (w *Worker) startAll(ctx context.Context, c *call, until expiry) []startOutcome {
	to := runner.Target{ID: c.Runner, Addr: c.Addr}
	outcomes := make([]startOutcome, len(c.Starts))
	var wg sync.WaitGroup
	for i := range c.Starts {
		x := &c.Starts[i]
		if x.Spec < 0 || x.Spec >= len(c.Specs) {
			outcomes[i] = startOutcome{Outcome: notSent, Err: "invalid index of a spec"}
			continue
		}
		wg.Go(func() {
			var reply runner.Reply
			err := until.check()
			if err == nil {
				reply, err = w.Runners.Start(ctx, to, c.Term, runner.Start{
					Task: x.Task, Attempt: x.Attempt, Spec: c.Specs[x.Spec], LeaseUntil: c.LeaseUntil, Checkpoint: x.Checkpoint, Permit: x.Permit,
				})
			}
			o := startOutcome{Verdict: reply.Verdict, Clock: reply.Clock}
			o.Outcome, o.Err = outcomeOf(err)
			outcomes[i] = o
		})
	}
	wg.Wait()
	return outcomes
}
