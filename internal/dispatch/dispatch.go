package dispatch

import (
	"context"
	"expvar"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"gypsumtrestle.example/gypsumtrestle/internal/admission"
	"gypsumtrestle.example/gypsumtrestle/internal/backend"
	"gypsumtrestle.example/gypsumtrestle/internal/pool"
	"gypsumtrestle.example/gypsumtrestle/internal/route"
	"gypsumtrestle.example/gypsumtrestle/internal/trace"
)

// notListedRetryDelay is how long a caller must wait before it retries at a
// daemon that is not listed in the zone map.
const notListedRetryDelay = time.Second

// requestsEnded counts ended requests by outcome and reason, such as not-run.late.
var requestsEnded = expvar.NewMap("requests")

// exchanger sends one request to a runner.
type exchanger interface {
	Exchange(ctx context.Context, r backend.Runner, req *backend.Request) backend.Result
}

// Dispatcher runs jobs. All fields are set before the first Do.
type Dispatcher struct {
	Pools    *pool.Table
	Exchange exchanger
	// Claims obtains the right to run a key; if nil, no keyed job runs.
	Claims claimer
	// OnLeaving is called with each host whose server reports that it is
	// shutting down.
	OnLeaving func(host string, now time.Time)
	// Trace records the decisions; nil disables recording.
	Trace  *trace.Recorder
	Logger log.Logger

	lastExchange atomic.Uint64 // number of the last exchange
}

// Do runs a job to its end and logs its result.
func (d *Dispatcher) Do(ctx context.Context, j *Job) Result {
	d.recordArrive(j)
	var res Result
	if j.Key == "" {
		res = d.run(ctx, j)
	} else {
		res = d.runKeyed(ctx, j)
	}
	requestsEnded.Add(res.Outcome.String()+"."+res.Reason, 1)
	d.recordEnd(j, &res)
	d.log(j, &res)
	return res
}

func (d *Dispatcher) log(j *Job, res *Result) {
	if d.Logger == nil {
		return
	}
	d.Logger.Log("msg", "request ended", "request", j.Request.ID, "service", j.Service, "class", j.Class,
		"key", j.Key, "outcome", res.Outcome, "reason", res.Reason, "host", res.Host, "zone", res.Zone, "attempts", res.Attempts)
}

// run admits a job and makes its exchanges. If no runner has a free slot, the
// job returns to its queue.
func (d *Dispatcher) run(ctx context.Context, j *Job) Result {
	p := d.Pools.Get(j.Service)
	if p == nil {
		return Result{Outcome: backend.NotRun, Reason: "no-pool"}
	}
	if !d.Pools.Listed() {
		// Fail at once: another daemon can serve the request now.
		return Result{Outcome: backend.NotRun, Reason: "not-listed", RetryAfter: time.Now().Add(notListedRetryDelay)}
	}
	p.Budget.AddRequest()
	r := jobRun{Dispatcher: d, job: j, pool: p}
	ticket, dec := p.Gate.Enter(ctx, j.Class, j.Request.Deadline)
	d.recordAdmit(j, &dec)
	for dec.Verdict == admission.Run {
		if r.tryRunners(ctx, dec.Reason == admission.Spare) {
			r.releaseSlot(ticket)
			return r.res
		}
		ticket, dec = ticket.Requeue(ctx)
		d.recordAdmit(j, &dec)
	}
	if r.res.Outcome == backend.NotRun {
		r.res.Reason, r.res.RetryAfter = dec.Reason.String(), dec.RetryAfter
	}
	return r.res
}

func (d *Dispatcher) logExchange(j *Job, c *route.Decision, got *backend.Result, change route.Change) {
	if d.Logger == nil {
		return
	}
	m := c.Member
	d.Logger.Log("msg", "request routed", "request", j.Request.ID, "service", j.Service, "host", m.Host, "zone", m.Zone,
		"why", c.Reason, "outstanding", c.Outstanding, "outcome", got.Outcome, "reason", got.Reason)
	switch change {
	case route.Ejected:
		d.Logger.Log("msg", "runner ejected", "service", j.Service, "host", m.Host, "reason", got.Reason)
	case route.Readmitted:
		d.Logger.Log("msg", "runner readmitted", "service", j.Service, "host", m.Host)
	case route.Unchanged:
	}
}
