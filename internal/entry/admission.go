package entry

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/lead"
	"gypsumtrestle.example/gypsumtrestle/internal/overload"
)

const (
	// loadInterval is the shortest time between two refreshes of the load.
	loadInterval = 250 * time.Millisecond
	// loadLinger is how long after the last submission the load is refreshed: at the
	// mean demand of the deployments a daemon gets several submissions in it.
	loadLinger = time.Second
	// inputLag is the time in which the leader certainly reads a job once it is stored.
	inputLag = 300 * time.Millisecond
	// unknownTime is how long after an attempt without a verdict from the store a job is
	// not rejected: the attempt may still store it.
	unknownTime   = 10 * time.Second
	pruneInterval = time.Second
)

// LoadSource is the part of a lead.Leader that an Admission needs.
type LoadSource interface {
	Holder() *lead.Holder
	// Load returns the load if this daemon leads.
	Load() (*overload.View, bool)
}

// LoadClient asks the leader for the load.
type LoadClient interface {
	Load(ctx context.Context, to netip.AddrPort) (*overload.View, error)
}

// Admission decides which submissions are rejected before they are stored. It keeps the
// newest view of the load, and what this daemon has accepted since.
type Admission struct {
	Leader LoadSource
	Client LoadClient
	Logger log.Logger
	Now    func() clock.BootTime
	Count  func(queue, reason string) // counts rejections
	// Enabled reports whether jobs may be rejected now; nil: always.
	Enabled func() bool

	mu       sync.Mutex
	view     *overload.View // nil: none
	viewAt   clock.BootTime // no later than its computation
	viewFrom *lead.Holder   // the leader that it is from
	lastTerm int64
	usedAt   clock.BootTime // when a submission last arrived
	recent   map[job.ID]*attempt
	prunedAt clock.BootTime

	lookups chan struct{} // see notStored
	wakeup  chan struct{}
	done    chan struct{}
}

// attempt is a submission that is being stored, or was lately.
type attempt struct {
	job      overload.Job
	counts   bool // as load; others are always accepted
	inFlight int  // attempts without a verdict yet
	unknown  bool // an attempt ended without a verdict of the store
	accepted bool // an attempt was accepted
	at       clock.BootTime
}

// NewAdmission returns an Admission; its Run method must be called to get views.
func NewAdmission(l LoadSource, c LoadClient, logger log.Logger) *Admission {
	return &Admission{
		Leader: l, Client: c, Logger: logger, Now: clock.Now, Count: func(string, string) {},
		recent: make(map[job.ID]*attempt), lookups: make(chan struct{}, maxLookups), wakeup: make(chan struct{}, 1), done: make(chan struct{}),
	}
}

// Done is closed when Run has returned.
func (a *Admission) Done() <-chan struct{} { return a.done }

// Run refreshes the view until the context ends, while submissions arrive.
func (a *Admission) Run(ctx context.Context) error {
	defer close(a.done)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.wakeup:
		}
		for ctx.Err() == nil && a.inUse() {
			a.refresh(ctx)
			clock.Sleep(ctx, loadInterval)
		}
	}
	return ctx.Err()
}

func (a *Admission) inUse() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.Now().Sub(a.usedAt) < loadLinger
}

// refresh gets the view from the leader. After a failure the last one stays until it is
// too old.
func (a *Admission) refresh(ctx context.Context) {
	from, sent := a.Leader.Holder(), a.Now()
	if from == nil {
		return
	}
	v, leading := a.Leader.Load()
	if !leading {
		var err error
		if v, err = a.Client.Load(ctx, from.Addr); err != nil {
			a.Logger.Log("msg", "load query failed", "leader", from.Name, "err", err)
			return
		}
	}
	a.set(v, from, sent)
}

// set replaces the view by one for which the query was sent at the given time. The view
// of an earlier term is ignored. Nil means that the leader does not know the load: it may
// have started a term again, and the last view is that of an earlier one.
func (a *Admission) set(v *overload.View, from *lead.Holder, sent clock.BootTime) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if v == nil {
		a.view = nil
		return
	}
	if v.Term < a.lastTerm {
		return
	}
	a.view, a.viewAt, a.viewFrom, a.lastTerm = v, sent.Add(-v.Age), from, v.Term
}

// prune removes the attempts that no decision needs any more.
func (a *Admission) prune(now clock.BootTime) {
	if now.Sub(a.prunedAt) < pruneInterval {
		return
	}
	a.prunedAt = now
	for id, x := range a.recent {
		keep := overload.MaxAge + inputLag
		if x.unknown {
			keep = unknownTime
		}
		if x.inFlight == 0 && now.Sub(x.at) > keep {
			delete(a.recent, id)
		}
	}
}

// sinceView reports whether the view may lack an accepted job.
func (a *Admission) sinceView(x *attempt) bool {
	return x.inFlight > 0 || x.at.Add(inputLag).After(a.viewAt)
}

// rejection is a decision against a job, with what it was made from.
type rejection struct {
	overload.Decision
	term int64
	age  time.Duration
}

// begin decides on a job. If it is not rejected, it counts as accepted until end says
// otherwise.
func (a *Admission) begin(j *job.Job) (rejection, bool) {
	x, may := overload.NewJob(j)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Now()
	a.usedAt = now
	a.prune(now)
	select {
	case a.wakeup <- struct{}{}:
	default:
	}
	if may && a.recent[j.ID] == nil {
		if r := a.decide(&x, now); r.Reject {
			return r, true
		}
	}
	a.start(x, may, now)
	return rejection{}, false
}

// accept counts a job as accepted although it was to be rejected.
func (a *Admission) accept(j *job.Job) {
	x, may := overload.NewJob(j)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.start(x, may, a.Now())
}

func (a *Admission) start(x overload.Job, counts bool, now clock.BootTime) {
	t := a.recent[x.ID]
	if t == nil {
		t = &attempt{job: x, counts: counts}
		a.recent[x.ID] = t
	}
	t.inFlight, t.at = t.inFlight+1, now
}

// submitted reports whether this daemon is storing a job, or did so lately.
func (a *Admission) submitted(id job.ID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.recent[id] != nil
}

// end records the verdict of the store on a job.
func (a *Admission) end(id job.ID, v Verdict) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.recent[id]
	if t == nil {
		return
	}
	t.inFlight, t.at, t.unknown, t.accepted = t.inFlight-1, a.Now(), t.unknown || v == Unknown, t.accepted || v == Accepted
	if t.inFlight == 0 && !t.unknown && !t.accepted {
		delete(a.recent, id)
	}
}

// decide decides by the view if it is fresh and that of the present leader.
func (a *Admission) decide(x *overload.Job, now clock.BootTime) rejection {
	if a.view == nil || a.viewFrom != a.Leader.Holder() {
		return rejection{}
	}
	age := now.Sub(a.viewAt)
	if age > overload.MaxAge {
		return rejection{}
	}
	var since []overload.Job
	for _, t := range a.recent {
		if t.counts && a.sinceView(t) {
			since = append(since, t.job)
		}
	}
	return rejection{Decision: a.view.Decide(x, age, since), term: a.view.Term, age: age}
}
