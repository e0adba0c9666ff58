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

// enter starts a request that must wait, and returns its future decision.
func enter(ctx context.Context, g *admission.Gate, c text.Class, deadline time.Time) <-chan admission.Decision {
	out := make(chan admission.Decision, 1)
	go func() {
		_, d := g.Enter(ctx, c, deadline)
		out <- d
	}()
	synctest.Wait()
	return out
}

// Guards against a freed slot that no waiting request receives, and against a
// second Done that frees a slot of another request.
func TestGateHandsOverSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(1)
		first, d := g.Enter(t.Context(), text.Normal, time.Time{})
		if d.Verdict != admission.Run {
			t.Fatalf("first request: %v", d)
		}
		second := enter(t.Context(), g, text.Normal, time.Time{})
		third := enter(t.Context(), g, text.Normal, time.Time{})
		first.Done(time.Now())
		first.Done(time.Now())
		if d := <-second; d.Verdict != admission.Run {
			t.Fatalf("second request: %v", d)
		}
		synctest.Wait()
		if len(third) != 0 {
			t.Fatal("two requests run on one slot")
		}
		g.SetSlots(2)
		if d := <-third; d.Verdict != admission.Run {
			t.Fatalf("third request: %v", d)
		}
	})
}

// Guards against cancelled, expired and closed requests that keep a queue
// position or never return.
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
			t.Errorf("cancelled request: %v", d)
		}
		if d := <-expired; d.Verdict != admission.Reject || d.Reason != admission.Expired {
			t.Errorf("expired request: %v", d)
		}
		g.Close()
		if d := <-closed; d.Verdict != admission.Reject || d.Reason != admission.Closed {
			t.Errorf("request queued at close: %v", d)
		}
		if _, d := g.Enter(t.Context(), text.Urgent, time.Time{}); d.Reason != admission.Closed {
			t.Errorf("request after close: %v", d)
		}
		if d := g.Demand(); d != [text.Classes]int{text.Normal: 1} {
			t.Errorf("demand %v, want only the running request", d)
		}
		tk.Abandon()
		if d := g.Demand(); d != [text.Classes]int{} {
			t.Errorf("demand %v after all requests ended", d)
		}
	})
}

// Guards against a refused request that loses its queue position, is retried
// without a gap, or outlives Close.
func TestGateRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(1)
		first, _ := g.Enter(t.Context(), text.Normal, time.Time{})
		second := enter(t.Context(), g, text.Normal, time.Time{})
		start := time.Now()
		again, d := first.Requeue(t.Context())
		if d.Verdict != admission.Run || !time.Now().After(start) {
			t.Fatalf("refused request: %v after %v", d, time.Since(start))
		}
		first.Done(time.Now())
		synctest.Wait()
		if len(second) != 0 {
			t.Fatal("the ended ticket freed a slot")
		}
		g.Close()
		if d := <-second; d.Reason != admission.Closed {
			t.Fatalf("request queued at close: %v", d)
		}
		if _, d := again.Requeue(t.Context()); d.Reason != admission.Closed {
			t.Fatalf("request refused after close: %v", d)
		}
		if d := g.Demand(); d != [text.Classes]int{} {
			t.Fatalf("demand %v after all requests ended", d)
		}
	})
}

// Guards against queued work that stays behind the division while the zone
// has room.
func TestGateSpare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(1)
		g.SetZone(3)
		for i, want := range []admission.Reason{admission.Free, admission.Spare, admission.Spare} {
			if _, d := g.Enter(t.Context(), text.Normal, time.Time{}); d.Reason != want {
				t.Fatalf("request %d: %v, want %v", i, d.Reason, want)
			}
		}
		last := enter(t.Context(), g, text.Normal, time.Time{})
		if len(last) != 0 {
			t.Fatalf("more requests run than the zone has slots: %v", <-last)
		}
		g.Close()
	})
}

// Guards against slots that are lost or granted twice when decisions,
// cancellations, refusals and deadlines of many requests coincide.
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
					t.Errorf("%d requests run on %d slots", n, slots)
				}
				time.Sleep(ms(40))
				running.Add(-1)
				tk.Done(time.Now())
			})
		}
		wg.Wait()
		time.Sleep(time.Hour) // rejected requests no longer count as demand
		if d := g.Demand(); d != [text.Classes]int{} {
			t.Errorf("demand %v after all requests ended", d)
		}
		var ended uint64
		s := g.Stats()
		for c := range text.Classes {
			ended += s.Run[c] - s.Refused[c] + s.Cancelled[c] + s.Full[c] + s.Late[c] + s.Expired[c]
		}
		if ended != requests {
			t.Errorf("%d ends of %d requests: %+v", ended, requests, s)
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
