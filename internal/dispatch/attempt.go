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
	// maxAttempts bounds the exchanges of one request, not counting those that
	// a runner rejected as busy. A zone has 3 or 4 runners of a pool, and each
	// is tried once.
	maxAttempts = 4
	// maxBusyTries bounds the runners that a request tries each time it is
	// admitted. Load reports of other daemons arrive late, so a second runner
	// is often free.
	maxBusyTries = 2
)

// jobRun is the execution of one admitted job: its exchanges with runners.
type jobRun struct {
	*Dispatcher
	job  *Job
	pool *pool.Pool
	res  Result
	// tried holds the hosts that are not picked again for this job.
	tried []string
	// countedAttempts is the number of exchanges that were not rejected as busy.
	countedAttempts int
}

// tryRunners makes exchanges until the job ends. It returns false if the job
// must wait in its queue because no runner has a free slot. With spare, the job
// runs above this daemon's share of the slots and tries one runner only.
func (r *jobRun) tryRunners(ctx context.Context, spare bool) bool {
	tries := maxBusyTries
	if spare {
		tries = 1
	}
	excluded := r.tried
	for {
		// An exchange of a keyed job continues after its caller disconnects,
		// but a new one is not started.
		if ctx.Err() != nil {
			r.setUnsentReason(backend.ReasonCancelled)
			return true
		}
		c := r.Pools.Picker.Pick(route.Query{Pool: r.job.Service, Tried: excluded, AllowBusy: true, Now: time.Now()})
		switch {
		case c.Member == nil && c.Reason == route.NoSlot:
			return false
		case c.Member == nil && len(excluded) > len(r.tried):
			return false // all other runners were busy
		case c.Member == nil:
			r.setUnsentReason(c.Reason.String())
			return true
		}
		switch r.exchange(ctx, &c, tries > 1) {
		case requeue:
			return false
		case tryAnother:
			tries--
			excluded = append(excluded[:len(excluded):len(excluded)], c.Member.Host)
		case Return:
			return true
		case Retry:
			r.tried = append(r.tried, c.Member.Host)
			excluded = r.tried
		}
	}
}

// setUnsentReason sets the reason of a job that ends before any exchange. The
// reason of an earlier exchange is kept.
func (r *jobRun) setUnsentReason(reason string) {
	if r.res.Attempts == 0 {
		r.res.Reason = reason
	}
}

// exchange sends the request to one runner and decides what follows. With more,
// another runner is tried without requeueing if this one rejects it as busy.
func (r *jobRun) exchange(ctx context.Context, c *route.Decision, more bool) Action {
	m, start := c.Member, time.Now()
	got := r.Exchange.Exchange(exchangeContext(ctx, r.job), m.Runner, r.uniqueRequest())
	now := time.Now()
	change := r.Pools.Picker.Finish(*c, r.healthResult(got), now)
	r.logExchange(r.job, c, &got, change)
	if got.Leaving && r.OnLeaving != nil {
		r.OnLeaving(m.Host, now)
	}
	r.res.Outcome = combinedOutcome(r.res.Outcome, got.Outcome)
	r.res.Attempts++
	r.res.Reason, r.res.Response, r.res.Host, r.res.Zone = got.Reason, got.Response, m.Host, m.Zone

	x := exchanged{r.countedAttempts, r.job.Idempotent, got.Outcome, got.Reason, now, r.job.Request.Deadline}
	action, allowed := requeue, false
	switch {
	case got.Reason != backend.ReasonBusy:
		r.countedAttempts++
		x.attempts = r.countedAttempts
		action = next(&x, func() bool { allowed = r.pool.Budget.AllowRetry(); return allowed })
	case more:
		action = tryAnother
	}
	r.recordSend(r.job, m, &x, start, allowed, action)
	return action
}

// uniqueRequest returns the request with an ID that no other exchange has.
// Callers choose request IDs and may choose the same one; the response to one
// request must not be taken for the response to another.
func (r *jobRun) uniqueRequest() *backend.Request {
	req := *r.job.Request
	req.ID += "." + r.Pools.Self + "." + strconv.FormatUint(r.lastExchange.Add(1), 36)
	return &req
}

// healthResult returns the result that is recorded for the health of the runner.
// A missed short deadline is recorded as cancelled, so that callers with short
// deadlines cannot cause the ejection of healthy runners.
func (r *jobRun) healthResult(got backend.Result) backend.Result {
	if r.job.ShortDeadline && got.Reason == backend.ReasonDeadline {
		got.Reason = backend.ReasonCancelled
	}
	return got
}

// releaseSlot frees the slot. A job that no server ran is left out of the run
// time estimate.
func (r *jobRun) releaseSlot(t admission.Ticket) {
	if r.res.Outcome == backend.NotRun {
		t.Abandon()
	} else {
		t.Done(time.Now())
	}
}

// exchangeContext lets a keyed job finish after its caller disconnects, so that
// the response is stored for the caller's next attempt with the key.
func exchangeContext(ctx context.Context, j *Job) context.Context {
	if j.Key == "" {
		return ctx
	}
	return context.WithoutCancel(ctx)
}
