package overload

import (
	"slices"
	"time"
)

const (
	// MaxAge is the age from which a view is not used.
	MaxAge = time.Second
	// shortWait is a wait for which no job is rejected: until the next view, the daemon
	// does not know whether the pool has become idle.
	shortWait = 300 * time.Millisecond
	// maxUse is the share of the time that is left for the accepted work which it may
	// take; daemons with views of different ages accept more than any of them knows. It
	// is that of the smallest jobs. For the largest it is lower by sizeUse, so that they
	// are rejected first. With equal shares for all sizes, the trials in
	// docs/design/overload.md completed a fifth fewer jobs within their objective.
	maxUse  = 0.7
	sizeUse = 0.6
)

// Reason is why a job is rejected.
type Reason string

// Reasons.
const (
	Backlog  Reason = "backlog"  // the accepted work takes too long for the job
	Promised Reason = "promised" // with the job, accepted work would take too long
	Share    Reason = "share"    // one of these, for a job beyond the share of its workspace
)

// Decision is the decision on a submission.
type Decision struct {
	Reject bool
	Reason Reason
	// Wait is the predicted time until the accepted work of its urgency is started.
	Wait time.Duration
	// RetryAfter is when the caller should submit the job again, in whole seconds.
	RetryAfter time.Duration
}

// Decide decides on a job, by a view of the given age and the jobs that this daemon has
// accepted and the view may lack. A nil view accepts.
func (v *View) Decide(j *Job, age time.Duration, unseen []Job) Decision {
	if v == nil || age > MaxAge {
		return Decision{}
	}
	p := v.pool(j.Pool)
	if p == nil || p.Cores <= 0 && len(p.Arriving) == 0 || j.Work <= 0 || p.mayBeIdle(j, age, unseen) {
		return Decision{}
	}
	l := v.assess(p, j, age, unseen)
	d := Decision{Wait: p.clears(l.work+j.Work, l.above, age)}
	if d.Wait <= shortWait {
		return d
	}
	use := maxUse
	if l.rate > 0 {
		use -= sizeUse * l.smaller / l.rate
	}
	available := time.Duration(use * float64(Left(j.Objective, 0, j.Chain)))
	switch {
	case d.Wait > available:
		d.Reason = Backlog
	case slices.ContainsFunc(l.promises, func(x promise) bool {
		return p.clears(x.work+j.Work, l.above, age) > time.Duration(use*float64(x.left))
	}):
		d.Reason, available = Promised, 0
	default:
		return d
	}
	if l.rank.Beyond {
		d.Reason = Share
	}
	d.Reject = true
	d.RetryAfter = retryAfter(j, p.clears(l.work, 0, age)-available)
	return d
}

// mayBeIdle reports whether capacity for the first steps of a job may be idle now: it was
// when the view was computed, or what waited for capacity has been started since. Jobs
// that other daemons have accepted since are not known.
func (p *Pool) mayBeIdle(j *Job, age time.Duration, unseen []Job) bool {
	idle, ready := p.Idle, p.Ready
	for i := range unseen {
		if u := &unseen[i]; u.Pool == j.Pool {
			idle -= u.Cores
			ready += u.Work
		}
	}
	return idle >= j.Cores || ready <= p.Cores*age.Seconds()
}

// load is what a job meets in its pool.
type load struct {
	rank     Rank
	work     float64 // that waits, of its urgency and higher ones
	above    float64 // work of higher urgency that arrives per second
	rate     float64 // the same with that of its urgency
	smaller  float64 // of rate, that of higher urgency or of smaller jobs
	promises []promise
}

// promise is the accepted work of one size: some of it has no value any more unless what
// is started before it is done within the time left.
type promise struct {
	work float64
	left time.Duration
}

// assess returns the load that a job meets now: that of the view, with what has been
// done and has arrived since. The arrivals of all daemons continue at the rate of the view.
func (v *View) assess(p *Pool, j *Job, age time.Duration, unseen []Job) load {
	l := load{rank: v.rank(j)}
	late := 0.0 // of the urgency of the job
	for i := range p.Classes {
		c := &p.Classes[i]
		urgency := c.Rank().compareUrgency(l.rank)
		if urgency > 0 {
			break
		}
		l.work += c.Timely + c.Late
		l.rate += c.Rate
		if urgency < 0 {
			l.above += c.Rate
		} else {
			late += c.Late
		}
		if c.Rank().Compare(l.rank) < 0 {
			l.smaller += c.Rate
		}
	}
	own := 0.0
	for i := range unseen {
		if u := &unseen[i]; u.Pool == j.Pool && v.rank(u).compareUrgency(l.rank) <= 0 {
			own += u.Work
		}
	}
	done, arrived := p.Cores*age.Seconds(), max(l.rate*age.Seconds(), own)
	before := l.work - late // timely work is started before late work, whatever its size
	for i := range p.Classes {
		c := &p.Classes[i]
		if c.Rank().compareUrgency(l.rank) != 0 {
			continue
		}
		before += c.Late
		if c.Left > 0 {
			l.promises = append(l.promises, promise{work: max(before-done, 0) + arrived, left: max(c.Left-age, 0)})
		}
	}
	l.work = max(l.work-done, 0) + arrived
	return l
}

func (v *View) rank(j *Job) Rank {
	_, beyond := slices.BinarySearch(v.Beyond, j.Workspace)
	return Rank{Beyond: beyond, Priority: j.Priority, Size: Size(j.Work)}
}
