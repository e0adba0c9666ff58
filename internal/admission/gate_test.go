package admission_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/admission"
	"gypsumtrestle.example/gypsumtrestle/pkg/text"
)

// newGate returns a gate with the given slots and a declared run time of 1 s.
func newGate(slots int) *admission.Gate {
	return &admission.Gate{Scheduler: admission.Scheduler{Slots: slots, DeclaredRunTime: time.Second}}
}

// enter starts a request that must wait. The channel receives its decision.
func enter(ctx context.Context, g *admission.Gate, c text.Class, deadline time.Time) <-chan admission.Decision {
	out := make(chan admission.Decision, 1)
	go func() {
		_, d := g.Enter(ctx, c, deadline)
		out <- d
	}()
	synctest.Wait()
	return out
}

// Guards against a freed slot that is not assigned to a waiting request, and
// against a second Done that frees the slot of another request.
func TestGateReusesFreedSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(1)
		first, d := g.Enter(t.Context(), text.Normal, time.Time{})
		if d.Verdict != admission.Run {
			t.Fatalf("first request: got %v, want Run", d)
		}
		second := enter(t.Context(), g, text.Normal, time.Time{})
		third := enter(t.Context(), g, text.Normal, time.Time{})
		first.Done(time.Now())
		first.Done(time.Now())
		if d := <-second; d.Verdict != admission.Run {
			t.Fatalf("second request after the first ended: got %v, want Run", d)
		}
		synctest.Wait()
		if len(third) != 0 {
			t.Fatal("third request was admitted while the only slot was in use")
		}
		g.SetSlots(2)
		if d := <-third; d.Verdict != admission.Run {
			t.Fatalf("third request with 2 slots: got %v, want Run", d)
		}
	})
}

// Guards against queued requests that never return, or that keep their queue
// position, after they were cancelled, their deadline expired or the gate closed.
func TestGateEndsWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(1)
		tk, _ := g.Enter(t.Context(), text.Normal, time.Time{})
		ctx, cancel := context.WithCancel(t.Context())
		cancelled := enter(ctx, g, text.Urgent, time.Time{})
		expired := enter(t.Context(), g, text.Normal, time.Now().Add(10*time.Second))
		closed := enter(t.Context(), g, text.Background, time.Time{})
		cancel()
		if d := <-cancelled; d.Verdict != admission.Cancel {
			t.Errorf("cancelled request: got %v, want Cancel", d)
		}
		if d := <-expired; d.Verdict != admission.Reject || d.Reason != admission.Expired {
			t.Errorf("expired request: got %v, want Reject for Expired", d)
		}
		g.Close()
		if d := <-closed; d.Verdict != admission.Reject || d.Reason != admission.Closed {
			t.Errorf("request queued at close: got %v, want Reject for Closed", d)
		}
		if _, d := g.Enter(t.Context(), text.Urgent, time.Time{}); d.Reason != admission.Closed {
			t.Errorf("request after close: got %v, want reason Closed", d)
		}
		if d := g.Demand(); d != [text.Classes]int{text.Normal: 1} {
			t.Errorf("demand %v while one request runs, want only that one", d)
		}
		tk.Abandon()
		if d := g.Demand(); d != [text.Classes]int{} {
			t.Errorf("demand %v after all requests ended, want 0", d)
		}
	})
}

// Guards against a request rejected by the runners that loses its queue position,
// is retried without a delay, or remains after Close.
func TestGateRequeue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(1)
		first, _ := g.Enter(t.Context(), text.Normal, time.Time{})
		second := enter(t.Context(), g, text.Normal, time.Time{})
		start := time.Now()
		again, d := first.Requeue(t.Context())
		if d.Verdict != admission.Run || !time.Now().After(start) {
			t.Fatalf("requeued request: got %v after %v, want Run after a delay", d, time.Since(start))
		}
		first.Done(time.Now())
		synctest.Wait()
		if len(second) != 0 {
			t.Fatal("Done on an ended ticket freed a slot")
		}
		g.Close()
		if d := <-second; d.Reason != admission.Closed {
			t.Fatalf("request queued at close: got %v, want reason Closed", d)
		}
		if _, d := again.Requeue(t.Context()); d.Reason != admission.Closed {
			t.Fatalf("request requeued after close: got %v, want reason Closed", d)
		}
		if d := g.Demand(); d != [text.Classes]int{} {
			t.Fatalf("demand %v after all requests ended, want 0", d)
		}
	})
}

// Guards against requests that stay queued at the daemon's share of slots while
// the zone has more slots.
func TestGateSpare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(1)
		g.SetZoneSlots(3)
		for i, want := range []admission.Reason{admission.Free, admission.Spare, admission.Spare} {
			if _, d := g.Enter(t.Context(), text.Normal, time.Time{}); d.Reason != want {
				t.Fatalf("request %d: reason %v, want %v", i, d.Reason, want)
			}
		}
		last := enter(t.Context(), g, text.Normal, time.Time{})
		if len(last) != 0 {
			t.Fatalf("request above the slots of the zone was not queued: got %v", <-last)
		}
		g.Close()
	})
}

// Guards against slots that are lost or granted twice when decisions,
// cancellations, rejections and deadlines of many requests coincide.
func TestGateConcurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots, requests = 4, 500
		g := newGate(slots)
		var running atomic.Int32
		var wg sync.WaitGroup
		for i := range requests {
			r := rand.New(rand.NewPCG(1, uint64(i)))
			ms := func(n int) time.Duration { return time.Duration(r.IntN(n)) * time.Millisecond }
			wg.Go(func() {
				time.Sleep(ms(1000)) // virtual time
				ctx, cancel := context.WithTimeout(t.Context(), ms(2000))
				defer cancel()
				tk, d := g.Enter(ctx, text.Class(i%text.Classes), time.Now().Add(ms(3000)))
				for d.Verdict == admission.Run && r.IntN(3) == 0 {
					tk, d = tk.Requeue(ctx)
				}
				if d.Verdict != admission.Run {
					return
				}
				if n := running.Add(1); n > slots {
					t.Errorf("%d requests are running on %d slots", n, slots)
				}
				time.Sleep(ms(40))
				running.Add(-1)
				tk.Done(time.Now())
			})
		}
		wg.Wait()
		time.Sleep(time.Hour) // rejected requests no longer count as demand
		if d := g.Demand(); d != [text.Classes]int{} {
			t.Errorf("demand %v after all requests ended, want 0", d)
		}
		var ended uint64
		s := g.Stats()
		for c := range text.Classes {
			ended += s.Run[c] - s.Requeued[c] + s.Cancelled[c] + s.Full[c] + s.Late[c] + s.Expired[c]
		}
		if ended != requests {
			t.Errorf("statistics count %d of %d requests as ended: %+v", ended, requests, s)
		}
	})
}

func ExampleGate() {
	g := &admission.Gate{}
	g.SetShares([text.Classes]int{6, 4, 3})
	g.SetSlots(8)
	ticket, d := g.Enter(context.Background(), text.Urgent, time.Now().Add(time.Second))
	fmt.Println(d.Verdict, d.Reason)
	ticket.Done(time.Now())

	g.Close()
	_, d = g.Enter(context.Background(), text.Urgent, time.Now().Add(time.Second))
	fmt.Println(d.Verdict, d.Reason)
	// Output:
	// run free
	// reject closed
}
