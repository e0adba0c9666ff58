package relay

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// fakeRunners replies to calls, or keeps them open until their context ends.
type fakeRunners struct {
	hanging  atomic.Bool
	calls    atomic.Int64
	canceled atomic.Int64 // calls whose context ended
	reply    runner.Reply
	err      error
}

func (f *fakeRunners) handle(ctx context.Context) (runner.Reply, error) {
	f.calls.Add(1)
	if f.hanging.Load() {
		<-ctx.Done()
		f.canceled.Add(1)
		return runner.Reply{}, errors.Wrap(runner.ErrNoResponse, "hanging")
	}
	return f.reply, f.err
}

func (f *fakeRunners) Start(ctx context.Context, _ runner.Target, _ runner.Term, _ runner.Start) (runner.Reply, error) {
	return f.handle(ctx)
}

func (f *fakeRunners) Stop(ctx context.Context, _ runner.Target, _ runner.Term, _ job.Task, _ int) (runner.Reply, error) {
	return f.handle(ctx)
}

func (f *fakeRunners) Throttle(ctx context.Context, _ runner.Target, _ runner.Term, _ job.Task, _, _ int) (runner.Reply, error) {
	return f.handle(ctx)
}

func (f *fakeRunners) Poll(ctx context.Context, to runner.Target, t runner.Term, req runner.PollRequest) (*runner.Report, runner.Reply, error) {
	r, err := f.handle(ctx)
	if err != nil {
		return nil, r, err
	}
	task := job.Task{Job: "0123456789abcdef", Occ: int(t), Step: req.Acked, Index: int(to.Addr.Port())}
	return &runner.Report{Incarnation: 3, Running: []runner.Run{{Task: task, Attempt: 2, Checkpoint: "s", Percent: 50, Load: 7, ReportsLoad: true}}}, r, nil
}

// fixture is a pool with one relay in each of its zones.
type fixture struct {
	pool    *Pool
	direct  *fakeRunners
	relays  map[string]*fakeRunners
	stop    context.CancelFunc
	changed chan struct{}
	link    *link // between the leader and the relays; nil without one
	log     logLines
}

func newFixture(t *testing.T, zones ...string) *fixture {
	t.Helper()
	return startFixture(t, false, zones)
}

// newLinkedFixture returns a fixture whose relays reach the leader through a link
// that can be held.
func newLinkedFixture(t *testing.T, zones ...string) *fixture {
	t.Helper()
	return startFixture(t, true, zones)
}

func startFixture(t *testing.T, linked bool, zones []string) *fixture {
	t.Helper()
	r := &fixture{direct: &fakeRunners{}, relays: make(map[string]*fakeRunners), changed: make(chan struct{})}
	r.pool = &Pool{Direct: r.direct, Logger: log.NewNopLogger(), CallDirectly: func() bool { return false }}
	s := httptest.NewServer(r.pool.Handler())
	ctx, cancel := context.WithCancel(t.Context())
	r.stop = cancel
	at := netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
	if linked {
		r.link, at = newLink(t, at)
	}
	done := make(chan struct{}, len(zones))
	for _, z := range zones {
		f := &fakeRunners{}
		r.relays[z] = f
		w := &Worker{
			Name: "host-" + z, Zone: z, RelativeCapacity: 1, Runners: f, Logger: &r.log,
			Leader: func() (netip.AddrPort, <-chan struct{}) { return at, r.changed },
		}
		go func() {
			if err := w.Run(ctx); !errors.Is(err, context.Canceled) {
				t.Errorf("worker returned %v, want context.Canceled", err)
			}
			done <- struct{}{}
		}()
	}
	t.Cleanup(func() {
		cancel()
		for range zones {
			<-done
		}
		if r.link != nil {
			r.link.close()
		}
		s.Close()
		goleak.VerifyNone(t)
	})
	r.waitRelays(t, len(zones))
	waitFor(t, "relays ready", func() bool { return r.log.count("relay connected to leader") == len(zones) })
	return r
}

func (f *fixture) waitRelays(t *testing.T, n int) {
	t.Helper()
	for f.pool.Relays() != n {
		if t.Context().Err() != nil {
			t.Fatalf("%d relays connected, want %d", f.pool.Relays(), n)
		}
		time.Sleep(time.Millisecond)
	}
}

func target(zone string) runner.Target {
	return runner.Target{ID: "r", Addr: netip.MustParseAddrPort("127.0.0.1:77"), Zone: zone}
}

// TestCallThroughRelay guards against calls and replies that change in transit,
// and against calls through a relay in another zone than the runner's.
func TestCallThroughRelay(t *testing.T) {
	r := newFixture(t, "a", "b")
	r.relays["b"].reply = runner.Reply{Verdict: runner.Superseded, Clock: 99}
	reply, err := r.pool.Start(t.Context(), target("b"), 5, runner.Start{Attempt: 1})
	if err != nil || reply != r.relays["b"].reply {
		t.Errorf("start: %+v, %v", reply, err)
	}
	rep, reply, err := r.pool.Poll(t.Context(), target("b"), 5, runner.PollRequest{Acked: 4, Wait: time.Millisecond})
	if err != nil || reply != r.relays["b"].reply {
		t.Fatalf("poll: %+v, %v", reply, err)
	}
	want := runner.Run{Task: job.Task{Job: "0123456789abcdef", Occ: 5, Step: 4, Index: 77}, Attempt: 2, Checkpoint: "s", Percent: 50, Load: 7, ReportsLoad: true}
	if rep.Incarnation != 3 || len(rep.Running) != 1 || rep.Running[0] != want {
		t.Errorf("report %+v, want a run %+v", rep, want)
	}
	if n := r.relays["a"].calls.Load() + r.direct.calls.Load(); n != 0 {
		t.Errorf("%d calls did not go through the relay of the runner's zone", n)
	}
	if _, err := r.pool.Stop(t.Context(), target("c"), 5, job.Task{}, 1); err != nil {
		t.Errorf("stop of a run in a zone without relays: %v", err)
	}
}

// TestErrorsThroughRelay guards against a command that may have been executed
// but is reported as not sent, and the reverse.
func TestErrorsThroughRelay(t *testing.T) {
	r := newFixture(t, "a")
	for _, want := range []error{runner.ErrNoResponse, runner.ErrUnreachable} {
		r.relays["a"].err = errors.Wrap(want, "call")
		if _, err := r.pool.Start(t.Context(), target("a"), 5, runner.Start{}); !errors.Is(err, want) {
			t.Errorf("start returned %v, want %v", err, want)
		}
	}
}

// TestSilentRelay guards against a relay that makes no progress and cuts the
// leader off from its runners. Commands through it must time out with an
// unknown outcome, the relay must be disconnected, and the leader must then
// call the runners itself.
func TestSilentRelay(t *testing.T) {
	r := newFixture(t, "a")
	r.relays["a"].hanging.Store(true)
	for range maxTimeouts {
		if _, err := r.pool.Start(t.Context(), target("a"), 5, runner.Start{}); !errors.Is(err, runner.ErrNoResponse) {
			t.Errorf("start returned %v, want no response", err)
		}
	}
	r.stop()
	r.waitRelays(t, 0)
	if _, err := r.pool.Start(t.Context(), target("a"), 5, runner.Start{}); err != nil || r.direct.calls.Load() != 1 {
		t.Errorf("call without a relay: %v, %d direct calls", err, r.direct.calls.Load())
	}
}

// TestFewRunners guards against the use of relays for few runners, where they
// cost more than they save.
func TestFewRunners(t *testing.T) {
	r := newFixture(t, "a")
	r.pool.CallDirectly = func() bool { return true }
	if _, err := r.pool.Start(t.Context(), target("a"), 5, runner.Start{}); err != nil || r.direct.calls.Load() != 1 {
		t.Errorf("call with few runners: %v, %d direct calls", err, r.direct.calls.Load())
	}
}

// TestPickMovesFew guards against a relay that connects or disconnects and
// changes the relay of runners that it did not serve.
func TestPickMovesFew(t *testing.T) {
	var rs []*member
	for _, n := range []string{"a", "b", "c", "d"} {
		rs = append(rs, &member{hello: hello{Name: n, Zone: "z", RelativeCapacity: 1}})
	}
	for i := range 200 {
		to := runner.Target{ID: runner.ID(strings.Repeat("x", i)), Zone: "z"}
		before, after := best(rs, to, true), best(rs[1:], to, true)
		if before != rs[0] && before != after {
			t.Fatalf("runner %d moved from %s to %s when a left", i, before.Name, after.Name)
		}
	}
}

// TestStrongestRelaysUsed guards against calls that are spread over so many
// relays that each message carries one call, and against weak hosts that are
// given more runners than they can serve.
func TestStrongestRelaysUsed(t *testing.T) {
	relays := func(capacities ...float64) []*member {
		var rs []*member
		for i, c := range capacities {
			rs = append(rs, &member{hello: hello{Name: string(rune('a' + i)), Zone: "z", RelativeCapacity: c}})
		}
		return rs
	}
	names := func(rs []*member) string {
		s := ""
		for _, m := range rs {
			s += m.Name
		}
		return s
	}
	for _, x := range []struct {
		capacities []float64
		runners    int
		want       string
	}{
		{[]float64{0.1, 1, 0.1, 1, 1}, 50, "bd"},
		{[]float64{0.1, 1, 0.1, 1, 1}, 250, "bde"},
		{[]float64{0.1, 0.2, 0.1, 0.2}, 50, "abd"},
		{[]float64{0.1, 0.2}, 500, "ab"},
	} {
		if got := names(strongest(relays(x.capacities...), x.runners)); got != x.want {
			t.Errorf("%d runners, capacities %v: relays %s, want %s", x.runners, x.capacities, got, x.want)
		}
	}
	other := relays(1, 1, 1)
	for _, m := range other {
		m.Zone = "y"
	}
	if got := len(strongest(append(relays(1, 1, 1), other...), 100)); got != 2*minRelays {
		t.Errorf("%d relays of two zones, want %d", got, 2*minRelays)
	}
}

// TestStartsTogether guards against starts in one message that are carried out
// with the content or reported with the outcome of another.
func TestStartsTogether(t *testing.T) {
	r := newFixture(t, "a")
	r.relays["a"].reply = runner.Reply{Verdict: runner.NoCapacity, Clock: 7}
	starts := make([]runner.Start, 3)
	for i := range starts {
		starts[i] = runner.Start{Task: job.Task{Job: "0123456789abcdef", Index: i}, Attempt: i + 1, Spec: strings.Repeat("s", i/2)}
	}
	for i, o := range r.pool.StartAll(t.Context(), target("a"), 5, starts) {
		if o.Err != nil || o.Reply != r.relays["a"].reply {
			t.Errorf("start %d: %+v", i, o)
		}
	}
	if n := r.relays["a"].calls.Load(); n != 3 {
		t.Errorf("%d calls, want 3", n)
	}
	r.relays["a"].err = errors.Wrap(runner.ErrUnreachable, "call")
	for i, o := range r.pool.StartAll(t.Context(), target("a"), 5, starts) {
		if !errors.Is(o.Err, runner.ErrUnreachable) {
			t.Errorf("start %d returned %v, want unreachable", i, o.Err)
		}
	}
	r.relays["a"].hanging.Store(true)
	for i, o := range r.pool.StartAll(t.Context(), target("a"), 5, starts) {
		if !errors.Is(o.Err, runner.ErrNoResponse) {
			t.Errorf("start %d without a reply returned %v, want no response", i, o.Err)
		}
	}
	r.stop()
	r.waitRelays(t, 0)
	if o := r.pool.StartAll(t.Context(), target("a"), 5, starts); len(o) != 3 || o[2].Err != nil || r.direct.calls.Load() != 3 {
		t.Errorf("starts without a relay: %+v, %d direct calls", o, r.direct.calls.Load())
	}
}
