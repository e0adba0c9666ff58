package relay

import (
	"cmp"
	"context"
	"math"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/coder/websocket"
	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

const (
	// orderTime is how long an order may take through a relay: somewhat longer
	// than the relay itself waits for the runner.
	orderTime = 600 * time.Millisecond
	// lookSlack is the same for a look, beyond the time that it may wait.
	lookSlack = 600 * time.Millisecond
	// missedCalls in a row without an answer end a relay's connection.
	missedCalls = 3
	// helloTime is how long a new connection may take to say who it is.
	helloTime = time.Second
)

// Pool is the leader's end: it carries out calls through the connected relays,
// and itself where there is none. The zero value with Direct set works.
type Pool struct {
	Direct runner.Client
	Logger log.Logger
	// CallDirectly is the number of runners up to which the leader calls them itself.
	CallDirectly func() bool

	mu     sync.Mutex
	relays atomic.Pointer[[]*remote] // replaced whole, ordered by name
}

var _ runner.Client = (*Pool)(nil)

// remote is one connected relay.
type remote struct {
	hello
	calls  chan call
	cancel context.CancelCauseFunc
	done   <-chan struct{}
	missed atomic.Int32 // calls without an answer since the last one with

	mu      sync.Mutex
	seq     uint64
	waiting map[uint64]chan result
}

// Handler takes connections of relays.
func (p *Pool) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
		if err != nil {
			p.Logger.Log("msg", "relay is not accepted", "from", r.RemoteAddr, "err", err)
			return
		}
		c.SetReadLimit(maxMessage)
		p.serve(r.Context(), c)
	})
}

// serve keeps one relay until its connection ends.
func (p *Pool) serve(ctx context.Context, c *websocket.Conn) {
	defer c.CloseNow() //nolint:errcheck // nothing is lost with the connection
	m := &remote{calls: make(chan call, openCalls), waiting: make(map[uint64]chan result)}
	hctx, hcancel := context.WithTimeout(ctx, helloTime)
	err := read(hctx, c, &m.hello)
	hcancel()
	if err != nil {
		p.Logger.Log("msg", "relay does not say who it is", "err", err)
		return
	}
	ctx, m.cancel = context.WithCancelCause(ctx)
	defer m.cancel(nil)
	m.done = ctx.Done()
	p.change(m, true)
	defer p.change(m, false)
	go func() { m.cancel(writeBatches(ctx, c, m.calls)) }()
	for {
		var rs []result
		if err := read(ctx, c, &rs); err != nil {
			if cause := context.Cause(ctx); cause != nil {
				err = cause
			}
			p.Logger.Log("msg", "relay has left", "relay", m.Name, "zone", m.Zone, "err", err)
			return
		}
		m.missed.Store(0)
		for i := range rs {
			m.deliver(&rs[i])
		}
	}
}

// change adds or removes a relay.
func (p *Pool) change(m *remote, add bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var rs []*remote
	if old := p.relays.Load(); old != nil {
		rs = slices.DeleteFunc(slices.Clone(*old), func(x *remote) bool { return x == m })
	}
	if add {
		rs = append(rs, m)
		slices.SortFunc(rs, func(a, b *remote) int { return cmp.Compare(a.Name, b.Name) })
		p.Logger.Log("msg", "relay has come", "relay", m.Name, "zone", m.Zone, "power", m.Power, "relays", len(rs))
	}
	p.relays.Store(&rs)
}

// Relays is how many relays are connected.
func (p *Pool) Relays() int {
	if rs := p.relays.Load(); rs != nil {
		return len(*rs)
	}
	return 0
}

// pick chooses the relay for a runner, or nil if the leader calls it itself.
func (p *Pool) pick(to runner.Target) *remote {
	rs := p.relays.Load()
	if rs == nil || p.CallDirectly() {
		return nil
	}
	if m := best(*rs, to, true); m != nil {
		return m
	}
	return best(*rs, to, false)
}

// best chooses among relays by a weighted hash of relay and runner.
func best(rs []*remote, to runner.Target, near bool) *remote {
	var chosen *remote
	var top float64
	for _, m := range rs {
		if near && m.Zone != to.Zone {
			continue
		}
		h := xxhash.Sum64String(m.Name + " " + string(to.ID))
		// A uniform figure in (0, 1), raised to the inverse of the weight.
		u := (float64(h>>11) + 0.5) / (1 << 53)
		if s := math.Log(u) / max(m.Power, leastPower); chosen == nil || s > top {
			chosen, top = m, s
		}
	}
	return chosen
}

// leastPower keeps the weight of a host that reports none above zero.
const leastPower = 0.05

// do carries a call out through a relay.
func (m *remote) do(ctx context.Context, c call, within time.Duration) result {
	ch := make(chan result, 1)
	m.mu.Lock()
	m.seq++
	c.Seq = m.seq
	m.waiting[c.Seq] = ch
	m.mu.Unlock()
	select {
	case m.calls <- c:
	default:
		m.forget(c.Seq)
		return result{Outcome: notSent, Err: "relay " + m.Name + " takes no more calls"}
	}
	t := time.NewTimer(within)
	defer t.Stop()
	select {
	case r := <-ch:
		return r
	case <-m.done:
		m.forget(c.Seq)
		return result{Outcome: noAnswer, Err: "relay " + m.Name + " has left"}
	case <-ctx.Done():
		m.forget(c.Seq)
		return result{Outcome: noAnswer, Err: ctx.Err().Error()}
	case <-t.C:
		m.forget(c.Seq)
		if m.missed.Add(1) >= missedCalls {
			m.cancel(errors.Errorf("%d calls in a row had no answer", missedCalls))
		}
		return result{Outcome: noAnswer, Err: "relay " + m.Name + " gave no answer"}
	}
}

func (m *remote) forget(seq uint64) {
	m.mu.Lock()
	delete(m.waiting, seq)
	m.mu.Unlock()
}

func (m *remote) deliver(r *result) {
	m.mu.Lock()
	ch := m.waiting[r.Seq]
	delete(m.waiting, r.Seq)
	m.mu.Unlock()
	if ch != nil {
		ch <- *r
	}
}

// order carries out a call that is not a look.
func (m *remote) order(ctx context.Context, c call) (runner.Reply, error) {
	r := m.do(ctx, c, orderTime)
	return runner.Reply{Verdict: r.Verdict, Clock: r.Clock}, r.err()
}

// Start orders a run.
func (p *Pool) Start(ctx context.Context, to runner.Target, t runner.Term, s runner.Start) (runner.Reply, error) {
	m := p.pick(to)
	if m == nil {
		return p.Direct.Start(ctx, to, t, s)
	}
	return m.order(ctx, call{
		Kind: startRun, Runner: to.ID, Addr: to.Addr, Term: t, Task: s.Task, Attempt: s.Attempt,
		Spec: s.Spec, Until: s.LeaseUntil, Saved: s.Checkpoint, Permit: s.Permit,
	})
}

// Stop orders the end of a run.
func (p *Pool) Stop(ctx context.Context, to runner.Target, t runner.Term, task job.Task, attempt int) (runner.Reply, error) {
	m := p.pick(to)
	if m == nil {
		return p.Direct.Stop(ctx, to, t, task, attempt)
	}
	return m.order(ctx, call{Kind: stopRun, Runner: to.ID, Addr: to.Addr, Term: t, Task: task, Attempt: attempt})
}

// Throttle slows a run down, or lets it work fully.
func (p *Pool) Throttle(ctx context.Context, to runner.Target, t runner.Term, task job.Task, attempt, percent int) (runner.Reply, error) {
	m := p.pick(to)
	if m == nil {
		return p.Direct.Throttle(ctx, to, t, task, attempt, percent)
	}
	return m.order(ctx, call{Kind: paceRun, Runner: to.ID, Addr: to.Addr, Term: t, Task: task, Attempt: attempt, Percent: percent})
}

// Poll asks what runs and what has ended.
func (p *Pool) Poll(ctx context.Context, to runner.Target, t runner.Term, l runner.PollRequest) (*runner.Report, runner.Reply, error) {
	m := p.pick(to)
	if m == nil {
		return p.Direct.Poll(ctx, to, t, l)
	}
	r := m.do(ctx, call{Kind: lookAt, Runner: to.ID, Addr: to.Addr, Term: t, Until: l.LeaseUntil, Seen: l.Acked, Wait: l.Wait}, l.Wait+lookSlack)
	return r.Report, runner.Reply{Verdict: r.Verdict, Clock: r.Clock}, r.err()
}
