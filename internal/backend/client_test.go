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

// bed is a Client with one runner of the stand-in.
type bed struct {
	Client
	host   standin.Host
	runner Runner
}

func newBed(t testing.TB, slots int) *bed {
	t.Helper()
	b := &bed{host: standin.Host{Name: "h1"}}
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

// fault lets one fault act n times.
func (b *bed) fault(t *testing.T, f standin.Fault, n int) {
	t.Helper()
	if err := b.host.SetFaults(standin.Faults{Left: map[standin.Fault]int{f: n}}); err != nil {
		t.Fatal(err)
	}
}

// send exchanges one request with a generous deadline.
func (b *bed) send(id, method string, h http.Header) Result {
	return b.Exchange(context.Background(), b.runner, request(id, method, h))
}

func request(id, method string, h http.Header) *Request {
	return &Request{ID: id, Method: method, Target: "/x", Header: h, Deadline: time.Now().Add(time.Minute)}
}

// A daemon must tell what it knows of a request, no more and no less, and
// must not send it twice: http.Transport sends a GET, and a POST with an
// Idempotency-Key, again when a reused connection has failed. Each request
// goes over a new connection and, after one good exchange, over a reused one.
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
				b := newBed(t, 8)
				if reused {
					b.send("r0", "POST", nil)
				}
				if c.fault != "" {
					b.fault(t, c.fault, 1)
				}
				res := b.send("r1", method, http.Header{"Idempotency-Key": {"k1"}})
				if res.Outcome != c.outcome || res.Reason != c.reason || (res.Response != nil) != (c.outcome == Answered) {
					t.Errorf("got %v %s", res.Outcome, res.Reason)
				}
				if runs := b.host.Runs(); runs.Requests["r1"] != c.runs || runs.Keys["k1"] != c.runs {
					t.Errorf("ran %v", runs)
				}
			})
		}
	}
}

// A request that meets no listener, or a reset before it is sent or run, must
// not count as run by the server; only the first is known as not run for sure.
func TestRefusedConnections(t *testing.T) {
	b := newBed(t, 8)
	b.fault(t, standin.Refuse, -1)
	if res := b.send("r1", "POST", nil); res.Outcome != NotRun || res.Reason != ReasonRefused {
		t.Errorf("refused: %v %s", res.Outcome, res.Reason)
	}
	b.fault(t, standin.Reset, 1)
	if res := b.send("r2", "POST", nil); res.Outcome == Answered {
		t.Errorf("reset: %v %s", res.Outcome, res.Reason)
	}
	if res := b.send("r3", "POST", nil); res.Outcome != Answered {
		t.Errorf("listening again: %v %s", res.Outcome, res.Reason)
	}
	if runs := b.host.Runs().Requests; len(runs) != 1 {
		t.Errorf("ran %v", runs)
	}
}

// A frozen runner may still run the request when it wakes: given up is unknown.
// The other request finds no slot and is known as not run. A runner that is
// being stopped says so, finishes its work and then stops.
func TestBusyFrozenAndLeaving(t *testing.T) {
	b := newBed(t, 1)
	b.fault(t, standin.Freeze, 1)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan Result)
	go func() { ended <- b.Exchange(ctx, b.runner, request("r1", "POST", nil)) }()
	<-b.host.Held()
	if res := b.send("r2", "GET", nil); res.Outcome != NotRun || res.Reason != ReasonBusy || res.Leaving {
		t.Errorf("second request: %+v", res)
	}
	stopping, giveUp := context.WithCancel(context.Background())
	giveUp()
	if err := b.host.Stop(stopping, "t1"); !errors.Is(err, context.Canceled) {
		t.Errorf("stop with a request running: %v", err)
	}
	if res := b.send("r3", "GET", nil); res.Outcome != NotRun || res.Reason != ReasonLeaving || !res.Leaving {
		t.Errorf("third request: %+v", res)
	}
	cancel()
	if res := <-ended; res.Outcome != Unknown || res.Reason != ReasonCancelled {
		t.Errorf("cancelled request: %v %s", res.Outcome, res.Reason)
	}
	b.fault(t, standin.Freeze, 0)
	if err := b.host.Stop(context.Background(), "t1"); err != nil {
		t.Error(err)
	}
	if runs := b.host.Runs().Requests; len(runs) != 1 || runs["r1"] != 1 {
		t.Errorf("ran %v", runs)
	}
}

// A caller must never see another caller's answer, also when the server mixes
// up concurrent ones.
func TestCrossedAnswersNeverReachTheCaller(t *testing.T) {
	b := newBed(t, 60)
	b.fault(t, standin.Crossed, 40)
	var wg sync.WaitGroup
	var crossed atomic.Int32
	for i := range 10 {
		wg.Go(func() {
			for j := range 20 {
				id := fmt.Sprintf("r%d-%d", i, j)
				res := b.send(id, "GET", nil)
				var reply standin.Reply
				switch {
				case res.Outcome == Unknown && res.Reason == ReasonIDMismatch && res.Response == nil:
					crossed.Add(1)
				case res.Outcome != Answered || json.Unmarshal(res.Response.Body, &reply) != nil || reply.Request != id:
					t.Errorf("%s: %v %s %+v", id, res.Outcome, res.Reason, reply)
				}
			}
		})
	}
	wg.Wait()
	if crossed.Load() != 40 {
		t.Errorf("%d crossed", crossed.Load())
	}
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// BenchmarkExchange measures one exchange over loopback with the stand-in in
// the same process, one request at a time.
func BenchmarkExchange(b *testing.B) {
	bed := newBed(b, 8)
	b.ReportAllocs()
	for b.Loop() {
		if res := bed.send("r1", "GET", nil); res.Outcome != Answered {
			b.Fatal(res.Outcome, res.Reason)
		}
	}
}
