package backend

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	standin "gypsumtrestle.example/gypsumtrestle/internal/standin/backend"
)

// testbed is a Client with one runner of the stand-in.
type testbed struct {
	Client
	host   standin.Host
	runner Runner
}

func newTestbed(t testing.TB, slots int) *testbed {
	t.Helper()
	b := &testbed{host: standin.Host{Name: "h1"}}
	addr, err := b.host.Start("t1", "ascent", slots)
	if err != nil {
		t.Fatal(err)
	}
	b.runner = Runner{Host: "h1", Addr: addr, Slots: slots}
	t.Cleanup(func() {
		b.Close()
		<-b.Done()
		b.host.Close()
	})
	return b
}

// fault makes one fault occur n times.
func (b *testbed) fault(t *testing.T, f standin.Fault, n int) {
	t.Helper()
	if err := b.host.SetFaults(standin.Faults{Remaining: map[standin.Fault]int{f: n}}); err != nil {
		t.Fatal(err)
	}
}

// send exchanges one request with a deadline that is far away.
func (b *testbed) send(id, method string, h http.Header) Result {
	return b.Exchange(context.Background(), b.runner, request(id, method, h))
}

func request(id, method string, h http.Header) *Request {
	return &Request{ID: id, Method: method, Target: "/x", Header: h, Deadline: time.Now().Add(time.Minute)}
}

// TestOutcomeOfEachFault guards against a wrong outcome and against a request
// that is sent twice: http.Transport sends a GET, and a POST with an
// Idempotency-Key, again if a reused connection has failed. Each request uses a
// new connection or, after one successful exchange, a reused one.
func TestOutcomeOfEachFault(t *testing.T) {
	for _, c := range []struct {
		fault   standin.Fault
		outcome Outcome
		reason  string
		runs    int
	}{
		{"", Answered, ReasonOK, 1},
		{standin.Lost, Unknown, ReasonConnectionLost, 1},
		{standin.Crossed, Unknown, ReasonIDMismatch, 1},
		{standin.Truncated, Unknown, ReasonTruncated, 1},
		{standin.Fail, Answered, ReasonOK, 0},
	} {
		for i := range 4 {
			reused, method := i&1 == 1, []string{"GET", "POST"}[i/2]
			t.Run(fmt.Sprintf("%s %s reused=%v", c.fault, method, reused), func(t *testing.T) {
				b := newTestbed(t, 8)
				if reused {
					b.send("r0", "POST", nil)
				}
				if c.fault != "" {
					b.fault(t, c.fault, 1)
				}
				res := b.send("r1", method, http.Header{"Idempotency-Key": {"k1"}})
				if res.Outcome != c.outcome || res.Reason != c.reason || (res.Response != nil) != (c.outcome == Answered) {
					t.Errorf("got outcome %v, reason %s", res.Outcome, res.Reason)
				}
				if runs := b.host.Runs(); runs.Requests["r1"] != c.runs || runs.Keys["k1"] != c.runs {
					t.Errorf("unexpected runs %v", runs)
				}
			})
		}
	}
}

// TestRefusedConnections guards against requests that are counted as run
// although no connection was accepted, or the connection was reset before the
// request was sent or run. Only without a listener is it certain that the
// request was not run.
func TestRefusedConnections(t *testing.T) {
	b := newTestbed(t, 8)
	b.fault(t, standin.Refuse, -1)
	if res := b.send("r1", "POST", nil); res.Outcome != NotRun || res.Reason != ReasonRefused {
		t.Errorf("connection refused: outcome %v, reason %s", res.Outcome, res.Reason)
	}
	b.fault(t, standin.Reset, 1)
	if res := b.send("r2", "POST", nil); res.Outcome == Answered {
		t.Errorf("connection reset: outcome %v, reason %s", res.Outcome, res.Reason)
	}
	if res := b.send("r3", "POST", nil); res.Outcome != Answered {
		t.Errorf("after the faults: outcome %v, reason %s", res.Outcome, res.Reason)
	}
	if runs := b.host.Runs().Requests; len(runs) != 1 {
		t.Errorf("unexpected runs %v", runs)
	}
}

// TestBusyFrozenAndLeaving guards the outcomes at a frozen and at a stopping
// runner. A frozen runner may still run a cancelled request when it resumes, so
// the outcome of that one is unknown. A request that finds no free slot is not
// run. A stopping runner reports that it is leaving, finishes its work and then
// stops.
func TestBusyFrozenAndLeaving(t *testing.T) {
	b := newTestbed(t, 1)
	b.fault(t, standin.Freeze, 1)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan Result)
	go func() { ended <- b.Exchange(ctx, b.runner, request("r1", "POST", nil)) }()
	<-b.host.Frozen()
	if res := b.send("r2", "GET", nil); res.Outcome != NotRun || res.Reason != ReasonBusy || res.Leaving {
		t.Errorf("request to a busy runner: %+v", res)
	}
	stopping, cancelStop := context.WithCancel(context.Background())
	cancelStop()
	if err := b.host.Stop(stopping, "t1"); !errors.Is(err, context.Canceled) {
		t.Errorf("stop with a request running: got error %v, want context.Canceled", err)
	}
	if res := b.send("r3", "GET", nil); res.Outcome != NotRun || res.Reason != ReasonLeaving || !res.Leaving {
		t.Errorf("request to a leaving runner: %+v", res)
	}
	cancel()
	if res := <-ended; res.Outcome != Unknown || res.Reason != ReasonCancelled {
		t.Errorf("cancelled request: outcome %v, reason %s", res.Outcome, res.Reason)
	}
	b.fault(t, standin.Freeze, 0)
	if err := b.host.Stop(context.Background(), "t1"); err != nil {
		t.Error(err)
	}
	if runs := b.host.Runs().Requests; len(runs) != 1 || runs["r1"] != 1 {
		t.Errorf("unexpected runs %v", runs)
	}
}

// TestMismatchedResponsesAreNotReturned guards against a caller that receives
// the response to another caller's request, also if the server mixes up
// concurrent ones.
func TestMismatchedResponsesAreNotReturned(t *testing.T) {
	b := newTestbed(t, 60)
	b.fault(t, standin.Crossed, 40)
	var wg sync.WaitGroup
	var mismatches atomic.Int32
	for i := range 10 {
		wg.Go(func() {
			for j := range 20 {
				id := fmt.Sprintf("r%d-%d", i, j)
				res := b.send(id, "GET", nil)
				var reply standin.Reply
				switch {
				case res.Outcome == Unknown && res.Reason == ReasonIDMismatch && res.Response == nil:
					mismatches.Add(1)
				case res.Outcome != Answered || json.Unmarshal(res.Response.Body, &reply) != nil || reply.Request != id:
					t.Errorf("request %s: outcome %v, reason %s, reply %+v", id, res.Outcome, res.Reason, reply)
				}
			}
		})
	}
	wg.Wait()
	if mismatches.Load() != 40 {
		t.Errorf("got %d ID mismatches, want 40", mismatches.Load())
	}
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// BenchmarkExchange measures one exchange over the loopback interface with the
// stand-in in the same process, one request at a time.
func BenchmarkExchange(b *testing.B) {
	tb := newTestbed(b, 8)
	b.ReportAllocs()
	for b.Loop() {
		if res := tb.send("r1", "GET", nil); res.Outcome != Answered {
			b.Fatal(res.Outcome, res.Reason)
		}
	}
}
