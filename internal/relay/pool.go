package relay

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

const (
	// CommandTimeout bounds a command through a relay, which does not begin it later.
	// It is somewhat longer than the relay itself waits for the runner.
	CommandTimeout = 600 * time.Millisecond
	// pollGrace is the same for a poll, in addition to the time that the poll
	// may wait.
	pollGrace = 600 * time.Millisecond
	// maxTimeouts is the number of consecutive calls without a result after
	// which a relay is disconnected.
	maxTimeouts = 3
	// helloTimeout bounds the wait for the hello message of a new connection.
	helloTimeout = time.Second
)

// Pool is the leader's end. It executes calls through the connected relays, and
// calls runners directly if there is no relay. The zero value with Direct set
// calls all runners directly; Logger and CallDirectly must be set before a
// relay connects.
type Pool struct {
	Direct runner.Client
	Logger log.Logger
	// CallDirectly reports whether there are so few runners that the leader
	// calls them itself.
	CallDirectly func() bool
	// Runners returns the number of runners. It determines how many of the
	// relays are used; if it is nil, all are.
	Runners func() int
	// Replied is called when a relay has replied to a message that was sent to it at
	// a time or later; nil: it is not.
	Replied func(name, incarnation string, at clock.BootTime)

	mu     sync.Mutex
	relays []*member // ordered by name
	used   atomic.Pointer[selection]
}

var _ runner.Client = (*Pool)(nil)

// member is one connected relay.
type member struct {
	hello
	calls    chan call
	cancel   context.CancelCauseFunc
	done     <-chan struct{}
	timeouts atomic.Int32 // calls without a result since the last result
	reading  atomic.Pointer[reading]

	mu      sync.Mutex
	seq     uint64
	pending map[uint64]chan result
}

// Handler accepts connections of relays.
func (p *Pool) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
		if err != nil {
			p.Logger.Log("msg", "relay connection rejected", "from", r.RemoteAddr, "err", err)
			return
		}
		c.SetReadLimit(maxMessage)
		p.serve(r.Context(), c)
	})
}

// serve handles one relay until its connection ends.
func (p *Pool) serve(ctx context.Context, c *websocket.Conn) {
	defer c.CloseNow() //nolint:errcheck // nothing is lost with the connection
	m := &member{calls: make(chan call, maxOpenCalls), pending: make(map[uint64]chan result)}
	hctx, hcancel := context.WithTimeout(ctx, helloTimeout)
	err := read(hctx, c, &m.hello)
	hcancel()
	helloAt := clock.Now()
	if err == nil {
		m.received(m.SentAt)
		err = write(ctx, c, m.message(nil))
	}
	if err != nil {
		p.Logger.Log("msg", "relay hello failed", "err", err)
		return
	}
	ctx, m.cancel = context.WithCancelCause(ctx)
	defer m.cancel(nil)
	m.done = ctx.Done()
	p.update(m, true)
	defer p.update(m, false)
	go func() { m.cancel(writeBatches(ctx, c, m.calls, callDelay, nil, m.message)) }()
	for {
		var b resultBatch
		if err := read(ctx, c, &b); err != nil {
			if cause := context.Cause(ctx); cause != nil {
				err = cause
			}
			p.Logger.Log("msg", "relay disconnected", "relay", m.Name, "zone", m.Zone, "err", err)
			return
		}
		m.received(b.SentAt)
		if p.Replied != nil {
			// A relay sends results only after it has read the reply to its hello.
			p.Replied(m.Name, m.Incarnation, helloAt)
		}
		rs := b.Results
		if len(rs) > 0 {
			m.timeouts.Store(0)
		}
		for i := range rs {
			if err := rs[i].check(); err != nil {
				p.Logger.Log("msg", "invalid result of a relay", "relay", m.Name, "err", err)
				rs[i] = result{Seq: rs[i].Seq, Outcome: noReply, Err: err.Error()}
			}
			m.deliver(&rs[i])
		}
	}
}

// update adds or removes a relay.
func (p *Pool) update(m *member, add bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.relays = slices.DeleteFunc(p.relays, func(x *member) bool { return x == m })
	if add {
		p.relays = append(p.relays, m)
		slices.SortFunc(p.relays, func(a, b *member) int { return cmp.Compare(a.Name, b.Name) })
		p.Logger.Log("msg", "relay connected", "relay", m.Name, "zone", m.Zone, "power", m.RelativeCapacity, "relays", len(p.relays))
	}
	p.choose()
}

const (
	// runnersPerRelay is the number of runners that a relay on a reference host
	// serves. Fewer relays send fuller messages, which saves the leader system
	// calls.
	runnersPerRelay = 120
	// minRelays is the minimum number of relays used in a zone, for the failure
	// of one.
	minRelays = 2
	// maxGrowth is the factor of the number of runners above or below which the
	// relays are chosen again.
	maxGrowth = 1.25
)

// Relays returns the number of connected relays.
func (p *Pool) Relays() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.relays)
}

// received takes a reading with a message that the relay sent at a time of its
// clock.
func (m *member) received(sentAt relayTime) {
	m.reading.Store(&reading{SentAt: sentAt, ReceivedAt: leaderTime(clock.Now())})
}

// message returns a message with calls.
func (m *member) message(calls []call) any {
	return callBatch{Reading: *m.reading.Load(), Calls: calls}
}

// do executes a call through a relay. The call expires when do gives up on it, or
// earlier.
func (m *member) do(ctx context.Context, c call, until clock.BootTime) result {
	c.Expiry = leaderTime(until)
	ch := make(chan result, 1)
	m.mu.Lock()
	m.seq++
	c.Seq = m.seq
	m.pending[c.Seq] = ch
	m.mu.Unlock()
	select {
	case m.calls <- c:
	default:
		m.removePending(c.Seq)
		return result{Outcome: notSent, Err: "relay " + m.Name + " has too many queued calls"}
	}
	t := time.NewTimer(until.Sub(clock.Now()))
	defer t.Stop()
	select {
	case r := <-ch:
		return r
	case <-m.done:
		m.removePending(c.Seq)
		return result{Outcome: noReply, Err: "relay " + m.Name + " disconnected"}
	case <-ctx.Done():
		m.removePending(c.Seq)
		return result{Outcome: noReply, Err: ctx.Err().Error()}
	case <-t.C:
		m.removePending(c.Seq)
		if m.timeouts.Add(1) >= maxTimeouts {
			m.cancel(errors.Errorf("%d consecutive calls timed out", maxTimeouts))
		}
		return result{Outcome: noReply, Err: "call through relay " + m.Name + " timed out"}
	}
}

func (m *member) removePending(seq uint64) {
	m.mu.Lock()
	delete(m.pending, seq)
	m.mu.Unlock()
}

func (m *member) deliver(r *result) {
	m.mu.Lock()
	ch := m.pending[r.Seq]
	delete(m.pending, r.Seq)
	m.mu.Unlock()
	if ch != nil {
		ch <- *r
	}
}

// sendCommand executes a call that is not a poll.
func (m *member) sendCommand(ctx context.Context, c call) (runner.Reply, error) {
	r := m.doCommand(ctx, c)
	return runner.Reply{Verdict: r.Verdict, Clock: r.Clock}, r.err()
}

// doCommand executes a call that is not a poll. It expires no later than the send
// deadline. A poll may arrive after that, since its lease is no later for it.
func (m *member) doCommand(ctx context.Context, c call) result {
	now := clock.Now()
	until := now.Add(CommandTimeout)
	if at := runner.SendDeadline(ctx); at != 0 {
		until = min(until, at)
	}
	if !until.After(now) {
		return result{Outcome: notSent, Err: "send deadline has passed"}
	}
	return m.do(ctx, c, until)
}

// Start starts a run.
func (p *Pool) Start(ctx context.Context, to runner.Target, t runner.Term, s runner.Start) (runner.Reply, error) {
	m := p.pick(to)
	if m == nil {
		return p.Direct.Start(ctx, to, t, s)
	}
	return m.sendCommand(ctx, call{
		Kind: startRun, Runner: to.ID, Addr: to.Addr, Term: t, Task: s.Task, Attempt: s.Attempt,
		Spec: s.Spec, LeaseUntil: s.LeaseUntil, Checkpoint: s.Checkpoint, Permit: s.Permit,
	})
}

// StartAll starts several runs on a runner. The lease of all is the latest of
// theirs.
func (p *Pool) StartAll(ctx context.Context, to runner.Target, t runner.Term, starts []runner.Start) []runner.StartOutcome {
	outcomes := make([]runner.StartOutcome, len(starts))
	m := p.pick(to)
	if m == nil {
		var wg sync.WaitGroup
		for i := range starts {
			wg.Go(func() {
				outcomes[i].Reply, outcomes[i].Err = p.Direct.Start(ctx, to, t, starts[i])
			})
		}
		wg.Wait()
		return outcomes
	}
	c := call{Kind: startRuns, Runner: to.ID, Addr: to.Addr, Term: t}
	for _, s := range starts {
		spec := slices.Index(c.Specs, s.Spec)
		if spec < 0 {
			spec = len(c.Specs)
			c.Specs = append(c.Specs, s.Spec)
		}
		c.Starts = append(c.Starts, start{Task: s.Task, Attempt: s.Attempt, Spec: spec, Checkpoint: s.Checkpoint, Permit: s.Permit})
		c.LeaseUntil = max(c.LeaseUntil, s.LeaseUntil)
	}
	r := m.doCommand(ctx, c)
	err := r.err()
	if err == nil && len(r.Starts) != len(starts) {
		err = errors.Wrapf(runner.ErrNoResponse, "%d outcomes of %d starts through relay %s", len(r.Starts), len(starts), m.Name)
	}
	for i := range outcomes {
		if err != nil {
			outcomes[i].Err = err
			continue
		}
		x := &r.Starts[i]
		outcomes[i] = runner.StartOutcome{Reply: runner.Reply{Verdict: x.Verdict, Clock: x.Clock}, Err: x.Outcome.error(x.Err)}
	}
	return outcomes
}

// Stop stops a run.
func (p *Pool) Stop(ctx context.Context, to runner.Target, t runner.Term, task job.Task, attempt int) (runner.Reply, error) {
	m := p.pick(to)
	if m == nil {
		return p.Direct.Stop(ctx, to, t, task, attempt)
	}
	return m.sendCommand(ctx, call{Kind: stopRun, Runner: to.ID, Addr: to.Addr, Term: t, Task: task, Attempt: attempt})
}

// Throttle limits a run to a percentage of its full speed.
func (p *Pool) Throttle(ctx context.Context, to runner.Target, t runner.Term, task job.Task, attempt, percent int) (runner.Reply, error) {
	m := p.pick(to)
	if m == nil {
		return p.Direct.Throttle(ctx, to, t, task, attempt, percent)
	}
	return m.sendCommand(ctx, call{Kind: throttleRun, Runner: to.ID, Addr: to.Addr, Term: t, Task: task, Attempt: attempt, Percent: percent})
}

// Poll returns the running tasks and the results of a runner.
func (p *Pool) Poll(ctx context.Context, to runner.Target, t runner.Term, req runner.PollRequest) (*runner.Report, runner.Reply, error) {
	m := p.pick(to)
	if m == nil {
		return p.Direct.Poll(ctx, to, t, req)
	}
	r := m.do(ctx, call{Kind: pollRunner, Runner: to.ID, Addr: to.Addr, Term: t, LeaseUntil: req.LeaseUntil, Acked: req.Acked, Wait: req.Wait}, clock.Now().Add(req.Wait+pollGrace))
	return r.Report, runner.Reply{Verdict: r.Verdict, Clock: r.Clock}, r.err()
}
