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
	// idleMargin is how much earlier than estimated what waited may have been started.
	idleMargin = 50 * time.Millisecond
	// timelyShare and lateShare are how much work may be started before a job, in shares
	// of what the pool can do in the time left, for a job that can meet its objective and
	// for one that cannot. The first is above one because smaller jobs may stop arriving.
	timelyShare = 2
	lateShare   = 1
	// severe is the multiple of its capacity from which a surge makes a pool keep capacity
	// for accepted work. Below it, late work is mostly completed without that.
	severe = 3
	// severeFactor reduces timelyShare and lateShare in a severe surge, in which smaller
	// jobs do not stop arriving and late work gets little capacity.
	severeFactor = 0.25
	// promiseShare and openShare define what is kept in a severe surge: while the work
	// before an accepted job takes more than promiseShare of the time left to it, sizes
	// are accepted from small upward until their arrivals take openShare of the capacity.
	promiseShare = 0.5
	openShare    = 0.5
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
	left, factor := Left(j.Objective, 0, j.Chain), 1.0
	surge := p.Peak*left.Seconds() > severe*p.room(left, 0, age)
	if surge {
		factor = severeFactor
	}
	late := l.before+j.Work > factor*timelyShare*p.room(j.Objective-j.Chain, l.smaller, age)
	switch {
	case late && l.work+j.Work > factor*lateShare*p.room(left, l.rate, age):
		d.Reason = Backlog
	case surge && l.upTo > openShare*p.Cores && slices.ContainsFunc(l.promises, func(x promise) bool {
		return x.work+j.Work > promiseShare*p.room(x.left, l.above, age)
	}):
		d.Reason = Promised
	default:
		return d
	}
	if l.rank.Beyond {
		d.Reason = Share
	}
	d.Reject = true
	d.RetryAfter = retryAfter(j, p.clears(l.work, 0, age))
	return d
}

// mayBeIdle reports whether capacity for the first steps of a job may be idle now: it was
// when the view was computed, or what waited for capacity has been started since, or its
// tasks are smaller than those that wait and fit where these do not. Jobs that other
// daemons have accepted since are not known.
func (p *Pool) mayBeIdle(j *Job, age time.Duration, unseen []Job) bool {
	idle, ready := p.Idle, p.Ready
	for i := range unseen {
		if u := &unseen[i]; u.Pool == j.Pool {
			idle -= u.Cores
			ready += u.Work
		}
	}
	return idle >= j.Cores || p.gapsHold(j, unseen) || ready <= p.Cores*(age+idleMargin).Seconds()
}

// load is what a job meets in its pool: the work that waits, and the work that arrives
// per second from all daemons.
type load struct {
	rank     Rank
	work     float64 // that waits, of its urgency and higher ones
	before   float64 // of work, what is started before the job while that is timely
	above    float64 // arrivals of higher urgency
	smaller  float64 // the same with those of smaller jobs of its urgency
	upTo     float64 // the same with those of its size
	rate     float64 // the same with all of its urgency
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
			l.before += c.Late
		} else {
			late += c.Late
		}
		order := c.Rank().Compare(l.rank)
		if order < 0 {
			l.smaller += c.Rate
		}
		if order <= 0 {
			l.upTo += c.Rate
			l.before += c.Timely
		}
	}
	own, ownBefore := 0.0, 0.0
	for i := range unseen {
		u := &unseen[i]
		if u.Pool != j.Pool || v.rank(u).compareUrgency(l.rank) > 0 {
			continue
		}
		own += u.Work
		if v.rank(u).Compare(l.rank) <= 0 {
			ownBefore += u.Work
		}
	}
	done, arrived := p.Cores*age.Seconds(), max(l.rate*age.Seconds(), own)
	start := l.work - late // timely work is started before late work, whatever its size
	for i := range p.Classes {
		c := &p.Classes[i]
		if c.Rank().compareUrgency(l.rank) != 0 {
			continue
		}
		start += c.Late
		if c.Left > 0 {
			l.promises = append(l.promises, promise{work: max(start-done, 0) + arrived, left: max(c.Left-age, 0)})
		}
	}
	l.work = max(l.work-done, 0) + arrived
	l.before = max(l.before-done, 0) + max(l.smaller*age.Seconds(), ownBefore)
	return l
}

func (v *View) rank(j *Job) Rank {
	_, beyond := slices.BinarySearch(v.Beyond, j.Workspace)
	return Rank{Beyond: beyond, Priority: j.Priority, Size: Size(j.Work)}
}
