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

// fakeRunners answers calls, or keeps them open until their context ends.
type fakeRunners struct {
	silent atomic.Bool
	calls  atomic.Int64
	reply  runner.Reply
	err    error
}

func (f *fakeRunners) take(ctx context.Context) (runner.Reply, error) {
	f.calls.Add(1)
	if f.silent.Load() {
		<-ctx.Done()
		return runner.Reply{}, errors.Wrap(runner.ErrNoResponse, "silent")
	}
	return f.reply, f.err
}

func (f *fakeRunners) Start(ctx context.Context, _ runner.Target, _ runner.Term, _ runner.Start) (runner.Reply, error) {
	return f.take(ctx)
}

func (f *fakeRunners) Stop(ctx context.Context, _ runner.Target, _ runner.Term, _ job.Task, _ int) (runner.Reply, error) {
	return f.take(ctx)
}

func (f *fakeRunners) Throttle(ctx context.Context, _ runner.Target, _ runner.Term, _ job.Task, _, _ int) (runner.Reply, error) {
	return f.take(ctx)
}

func (f *fakeRunners) Poll(ctx context.Context, to runner.Target, t runner.Term, l runner.PollRequest) (*runner.Report, runner.Reply, error) {
	r, err := f.take(ctx)
	if err != nil {
		return nil, r, err
	}
	task := job.Task{Job: "0123456789abcdef", Occ: int(t), Step: l.Acked, Index: int(to.Addr.Port())}
	return &runner.Report{Incarnation: 3, Running: []runner.Run{{Task: task, Attempt: 2, Checkpoint: "s", Percent: 50, Load: 7, ReportsLoad: true}}}, r, nil
}

// rig is a pool with relays in two zones.
type rig struct {
	pool    *Pool
	direct  *fakeRunners
	relays  map[string]*fakeRunners
	stop    context.CancelFunc
	changed chan struct{}
}

func newRig(t *testing.T, zones ...string) *rig {
	t.Helper()
	r := &rig{direct: &fakeRunners{}, relays: make(map[string]*fakeRunners), changed: make(chan struct{})}
	r.pool = &Pool{Direct: r.direct, Logger: log.NewNopLogger(), CallDirectly: func() bool { return false }}
	s := httptest.NewServer(r.pool.Handler())
	ctx, cancel := context.WithCancel(t.Context())
	r.stop = cancel
	at := netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
	done := make(chan struct{}, len(zones))
	for _, z := range zones {
		f := &fakeRunners{}
		r.relays[z] = f
		w := &Worker{
			Name: "host-" + z, Zone: z, RelativeCapacity: 1, Runners: f, Logger: log.NewNopLogger(),
			Leader: func() (netip.AddrPort, <-chan struct{}) { return at, r.changed },
		}
		go func() {
			if err := w.Run(ctx); !errors.Is(err, context.Canceled) {
				t.Errorf("worker ended with %v", err)
			}
			done <- struct{}{}
		}()
	}
	t.Cleanup(func() {
		cancel()
		for range zones {
			<-done
		}
		s.Close()
		goleak.VerifyNone(t)
	})
	r.waitRelays(t, len(zones))
	return r
}

func (r *rig) waitRelays(t *testing.T, n int) {
	t.Helper()
	for r.pool.Relays() != n {
		if t.Context().Err() != nil {
			t.Fatalf("%d relays, want %d", r.pool.Relays(), n)
		}
		time.Sleep(time.Millisecond)
	}
}

func target(zone string) runner.Target {
	return runner.Target{ID: "r", Addr: netip.MustParseAddrPort("127.0.0.1:77"), Zone: zone}
}

// TestCallThroughRelay guards against calls and answers that change on the way,
// and against calls that take a relay of another zone than the runner's.
func TestCallThroughRelay(t *testing.T) {
	r := newRig(t, "a", "b")
	r.relays["b"].reply = runner.Reply{Verdict: runner.Superseded, Clock: 99}
	reply, err := r.pool.Start(t.Context(), target("b"), 5, runner.Start{Attempt: 1})
	if err != nil || reply != r.relays["b"].reply {
		t.Errorf("start: %+v, %v", reply, err)
	}
	rep, reply, err := r.pool.Poll(t.Context(), target("b"), 5, runner.PollRequest{Acked: 4, Wait: time.Millisecond})
	if err != nil || reply != r.relays["b"].reply {
		t.Fatalf("look: %+v, %v", reply, err)
	}
	want := runner.Run{Task: job.Task{Job: "0123456789abcdef", Occ: 5, Step: 4, Index: 77}, Attempt: 2, Checkpoint: "s", Percent: 50, Load: 7, ReportsLoad: true}
	if rep.Incarnation != 3 || len(rep.Running) != 1 || rep.Running[0] != want {
		t.Errorf("report %+v, want a run %+v", rep, want)
	}
	if n := r.relays["a"].calls.Load() + r.direct.calls.Load(); n != 0 {
		t.Errorf("%d calls did not take the relay of the zone", n)
	}
	if _, err := r.pool.Stop(t.Context(), target("c"), 5, job.Task{}, 1); err != nil {
		t.Errorf("stop in a zone without relays: %v", err)
	}
}

// TestErrorsThroughRelay guards against an order that may have been carried out
// and is reported as one that was not, or the other way round.
func TestErrorsThroughRelay(t *testing.T) {
	r := newRig(t, "a")
	for _, want := range []error{runner.ErrNoResponse, runner.ErrUnreachable} {
		r.relays["a"].err = errors.Wrap(want, "call")
		if _, err := r.pool.Start(t.Context(), target("a"), 5, runner.Start{}); !errors.Is(err, want) {
			t.Errorf("error %v, want %v", err, want)
		}
	}
}

// TestSilentRelay guards against a relay that stands still and keeps the leader
// from its runners: its orders count as without an answer, it is disconnected,
// and the leader calls the runners itself.
func TestSilentRelay(t *testing.T) {
	r := newRig(t, "a")
	r.relays["a"].silent.Store(true)
	for range missedCalls {
		if _, err := r.pool.Start(t.Context(), target("a"), 5, runner.Start{}); !errors.Is(err, runner.ErrNoResponse) {
			t.Errorf("error %v, want no answer", err)
		}
	}
	r.stop()
	r.waitRelays(t, 0)
	if _, err := r.pool.Start(t.Context(), target("a"), 5, runner.Start{}); err != nil || r.direct.calls.Load() != 1 {
		t.Errorf("call without a relay: %v, %d direct calls", err, r.direct.calls.Load())
	}
}

// TestFewRunners guards against relays that cost more than they save.
func TestFewRunners(t *testing.T) {
	r := newRig(t, "a")
	r.pool.CallDirectly = func() bool { return true }
	if _, err := r.pool.Start(t.Context(), target("a"), 5, runner.Start{}); err != nil || r.direct.calls.Load() != 1 {
		t.Errorf("call to one of few runners: %v, %d direct calls", err, r.direct.calls.Load())
	}
}

// TestPickMovesFew guards against a relay that comes or goes and changes the
// path of runners that it did not serve.
func TestPickMovesFew(t *testing.T) {
	var rs []*remote
	for _, n := range []string{"a", "b", "c", "d"} {
		rs = append(rs, &remote{hello: hello{Name: n, Zone: "z", Power: 1}})
	}
	for i := range 200 {
		to := runner.Target{ID: runner.ID(strings.Repeat("x", i)), Zone: "z"}
		before, after := best(rs, to, true), best(rs[1:], to, true)
		if before != rs[0] && before != after {
			t.Fatalf("runner %d moved from %s to %s when a left", i, before.Name, after.Name)
		}
	}
}
