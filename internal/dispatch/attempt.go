package dispatch

import (
	"context"
	"strconv"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/admission"
	"gypsumtrestle.example/gypsumtrestle/internal/backend"
	"gypsumtrestle.example/gypsumtrestle/internal/pool"
	"gypsumtrestle.example/gypsumtrestle/internal/route"
)

const (
	// maxAttempts bounds the exchanges of one request that were not refused
	// as busy: a zone has 3 or 4 runners of a pool, and each is tried once.
	maxAttempts = 4
	// maxBusy bounds the runners that one turn of the queue asks. The load
	// reports of other daemons are late, so a second runner is often free.
	maxBusy = 2
)

// runner makes the exchanges of one job.
type runner struct {
	*Dispatcher
	job  *Job
	pool *pool.Pool
	res  Result
	// tried holds the hosts that the job does not go to again.
	tried []string
	// made counts the exchanges that were not refused as busy.
	made int
}

// attempts makes exchanges until the job ends. It returns false when the job
// should wait in its queue because no runner has a free slot. A spare turn,
// which runs above this daemon's division, asks one runner only.
func (r *runner) attempts(ctx context.Context, spare bool) bool {
	ask := maxBusy
	if spare {
		ask = 1
	}
	avoid := r.tried
	for {
		// An exchange of a keyed job goes on without its caller, but none
		// begins so.
		if ctx.Err() != nil {
			r.stay(backend.ReasonCancelled)
			return true
		}
		c := r.Pools.Picker.Pick(route.Query{Pool: r.job.Service, Tried: avoid, AllowBusy: true, Now: time.Now()})
		switch {
		case c.Member == nil && c.Reason == route.NoSlot:
			return false
		case c.Member == nil && len(avoid) > len(r.tried):
			return false // all others were busy in this turn
		case c.Member == nil:
			r.stay(c.Reason.String())
			return true
		}
		switch r.exchange(ctx, &c, ask > 1) {
		case requeue:
			return false
		case another:
			ask--
			avoid = append(avoid[:len(avoid):len(avoid)], c.Member.Host)
		case Return:
			return true
		case Retry:
			r.tried = append(r.tried, c.Member.Host)
			avoid = r.tried
		}
	}
}

// stay ends a job without an exchange; an earlier exchange's reason stays.
func (r *runner) stay(reason string) {
	if r.res.Attempts == 0 {
		r.res.Reason = reason
	}
}

// exchange makes one exchange and decides what follows it. With more, a busy
// runner's refusal is followed by another runner in the same turn.
func (r *runner) exchange(ctx context.Context, c *route.Decision, more bool) Action {
	m, begun := c.Member, time.Now()
	got := r.Exchange.Exchange(exchangeContext(ctx, r.job), m.Runner, r.wire())
	now := time.Now()
	change := r.Pools.Picker.Finish(*c, r.health(got), now)
	r.logExchange(r.job, c, &got, change)
	if got.Leaving && r.OnLeaving != nil {
		r.OnLeaving(m.Host, now)
	}
	r.res.Outcome = combined(r.res.Outcome, got.Outcome)
	r.res.Attempts++
	r.res.Reason, r.res.Response, r.res.Host, r.res.Zone = got.Reason, got.Response, m.Host, m.Zone

	x := exchanged{r.made, r.job.Idempotent, got.Outcome, got.Reason, now, r.job.Request.Deadline}
	step, allowed := requeue, false
	switch {
	case got.Reason != backend.ReasonBusy:
		r.made++
		x.attempts = r.made
		step = next(&x, func() bool { allowed = r.pool.Budget.Retry(); return allowed })
	case more:
		step = another
	}
	r.recordSend(r.job, m, &x, begun, allowed, step)
	return step
}

// wire is the request with an id that no other exchange has. Callers choose
// their ids and may choose the same one, and a server's answer to one request
// must not pass for the answer to another.
func (r *runner) wire() *backend.Request {
	req := *r.job.Request
	req.ID += "." + r.Pools.Self + "." + strconv.FormatUint(r.exchanges.Add(1), 36)
	return &req
}

// health is what a result says about its runner. Callers with hasty deadlines
// could otherwise have healthy runners ejected.
func (r *runner) health(got backend.Result) backend.Result {
	if r.job.ShortDeadline && got.Reason == backend.ReasonDeadline {
		got.Reason = backend.ReasonCancelled
	}
	return got
}

// end frees the slot. A job that no server ran says nothing about run times.
func (r *runner) end(t admission.Ticket) {
	if r.res.Outcome == backend.NotRun {
		t.Abandon()
	} else {
		t.Done(time.Now())
	}
}

// exchangeContext lets a keyed job finish after its caller has gone, so that
// the answer is there for the caller's next attempt with the key.
func exchangeContext(ctx context.Context, j *Job) context.Context {
	if j.Key == "" {
		return ctx
	}
	return context.WithoutCancel(ctx)
}
