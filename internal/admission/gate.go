package admission

import (
	"context"
	"sync"
	"time"

	"gypsumtrestle.example/gypsumtrestle/pkg/text"
)

// Gate admits the requests of one pool at one daemon. It is safe for
// concurrent use. The fields of Scheduler may be set directly before the first
// call of Enter; after it, only through the methods of Gate.
type Gate struct {
	Scheduler Scheduler

	mu      sync.Mutex
	closed  bool
	waiters []chan Decision // by entry index
	timer   *time.Timer     // calls onTimer at timerAt
	timerAt time.Time
	stats   Stats
}

// Ticket is an admitted request. The first call of Done, Abandon or Requeue ends
// it; further calls have no effect.
type Ticket struct {
	gate *Gate
	id   ID
}

// Enter requests a slot and blocks while the request is queued. The ticket is
// valid if the verdict is Run. If ctx is done, the request leaves the queue.
func (g *Gate) Enter(ctx context.Context, class text.Class, deadline time.Time) (Ticket, Decision) {
	now := time.Now()
	g.mu.Lock()
	if g.closed {
		d := Decision{Verdict: Reject, Reason: Closed, RetryAfter: now}
		g.stats.count(class, d)
		g.mu.Unlock()
		return Ticket{}, d
	}
	id, d := g.Scheduler.Arrive(now, class, deadline)
	g.stats.count(class, d)
	if d.Verdict != Wait {
		g.mu.Unlock()
		return Ticket{g, id}, d
	}
	return g.wait(ctx, now, id)
}

// Requeue returns the request to the head of its queue after the runners
// rejected it as busy, and blocks like Enter. The old ticket has ended.
func (t Ticket) Requeue(ctx context.Context) (Ticket, Decision) {
	g, now := t.gate, time.Now()
	if g == nil {
		return Ticket{}, Decision{Verdict: Reject, Reason: Closed, RetryAfter: now}
	}
	g.mu.Lock()
	class, ok := g.Scheduler.Class(t.id)
	if ok && g.closed {
		g.Scheduler.Abandon(t.id)
	}
	if !ok || g.closed {
		d := Decision{Verdict: Reject, Reason: Closed, RetryAfter: now}
		g.stats.count(class, d)
		g.mu.Unlock()
		return Ticket{}, d
	}
	id, _ := g.Scheduler.Requeue(now, t.id)
	g.stats.Requeued[class]++
	return g.wait(ctx, now, id)
}

// wait blocks until the queued request is decided, ctx is done or the latest
// start time of the request has passed. The caller must hold mu, which wait
// releases.
func (g *Gate) wait(ctx context.Context, now time.Time, id ID) (Ticket, Decision) {
	w := make(chan Decision, 1)
	for int(id.index) >= len(g.waiters) {
		g.waiters = append(g.waiters, nil)
	}
	g.waiters[id.index] = w
	class, _ := g.Scheduler.Class(id)
	latest := g.Scheduler.LatestStart(id)
	g.dispatch(now)
	g.mu.Unlock()

	var expired <-chan time.Time
	if !latest.IsZero() {
		t := time.NewTimer(latest.Sub(now))
		defer t.Stop()
		expired = t.C
	}
	select {
	case d := <-w:
		return Ticket{g, id}, d
	case <-ctx.Done():
		return g.endWait(id, class, w, Decision{Verdict: Cancel, Reason: Cancelled})
	case now := <-expired:
		return g.endWait(id, class, w, Decision{Verdict: Reject, Reason: Expired, RetryAfter: now})
	}
}

// endWait removes a queued request whose caller no longer waits.
func (g *Gate) endWait(id ID, class text.Class, w <-chan Decision, d Decision) (Ticket, Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case decided := <-w:
		if decided.Verdict != Run {
			return Ticket{}, decided
		}
		// A slot was granted concurrently; Abandon frees it.
		g.stats.Run[class]--
	default:
	}
	g.Scheduler.Abandon(id)
	g.stats.count(class, d)
	g.dispatch(time.Now())
	return Ticket{}, d
}

// Done ends the run and frees the slot.
func (t Ticket) Done(now time.Time) {
	if t.gate == nil {
		return
	}
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	if t.gate.Scheduler.Done(now, t.id) {
		t.gate.dispatch(now)
	}
}

// Abandon frees the slot of a request that did not run. The run-time estimates
// do not change.
func (t Ticket) Abandon() {
	if t.gate == nil {
		return
	}
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	if t.gate.Scheduler.Abandon(t.id) {
		t.gate.dispatch(time.Now())
	}
}

// SetSlots sets how many requests may run at once. If the number decreases,
// running requests above it end normally.
func (g *Gate) SetSlots(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Scheduler.Slots = n
	g.dispatch(time.Now())
}

// SetZoneSlots sets the number of slots of the pool in the zone. Queued
// requests may run above the slots of this daemon, up to this number.
func (g *Gate) SetZoneSlots(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Scheduler.ZoneSlots = n
	g.dispatch(time.Now())
}

// SetShares sets the weights of the classes.
func (g *Gate) SetShares(shares [text.Classes]int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Scheduler.Shares = shares
}

// Demand returns the number of slots that each class could use now.
func (g *Gate) Demand() [text.Classes]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Scheduler.Demand(time.Now())
}

// Close rejects all queued requests and all later ones. Running requests end
// normally.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	now := time.Now()
	if g.timer != nil {
		g.timer.Stop()
	}
	for {
		id, class, ok := g.Scheduler.Drop()
		if !ok {
			return
		}
		g.deliver(id, class, Decision{Verdict: Reject, Reason: Closed, RetryAfter: now})
	}
}

// dispatch delivers all decisions that are due and sets the timer for the next
// one. The caller must hold mu.
func (g *Gate) dispatch(now time.Time) {
	for {
		id, class, d, ok := g.Scheduler.Next(now)
		if !ok {
			break
		}
		g.deliver(id, class, d)
	}
	at := g.Scheduler.NextWake()
	if at.IsZero() || at.Equal(g.timerAt) {
		return
	}
	g.timerAt = at
	if g.timer == nil {
		g.timer = time.AfterFunc(at.Sub(now), g.onTimer)
		return
	}
	g.timer.Reset(at.Sub(now))
}

// onTimer dispatches after the delay that follows a busy rejection.
func (g *Gate) onTimer() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timerAt = time.Time{}
	g.dispatch(time.Now())
}

// deliver sends the decision to the waiter of a request that left the queue.
// The caller must hold mu.
func (g *Gate) deliver(id ID, class text.Class, d Decision) {
	g.stats.count(class, d)
	g.waiters[id.index] <- d
	g.waiters[id.index] = nil
}
