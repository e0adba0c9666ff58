package overload

import (
	"slices"
	"time"
)

// MaxAge is the age from which a view is not used.
const MaxAge = time.Second

const (
	// startShare is the share of the time that a job's objective leaves beside its run
	// time in which it must be able to start; the rest is taken by storing the job,
	// planning and reports.
	startShare = 0.8
	// minSizeFactor bounds how much earlier large jobs are rejected than the average
	// one of their queue.
	minSizeFactor = 0.5
)

// Reason is why a job is rejected.
type Reason string

// Reasons.
const (
	Backlog  Reason = "backlog"  // the work before it takes too long
	Promised Reason = "promised" // accepted work of its rank would be too late with it
	Share    Reason = "share"    // the same for a job beyond the share of its workspace
)

// Decision is the decision on a submission.
type Decision struct {
	Reject bool
	Reason Reason
	Wait   time.Duration // predicted time to the start of the job
	// RetryAfter is when the caller should submit the job again, in whole seconds.
	RetryAfter time.Duration
}

// Decide decides on a job, by a view of the given age and the jobs that this daemon has
// accepted since the view was computed. A nil view accepts.
func (v *View) Decide(j *Job, age time.Duration, since []Job) Decision {
	if v == nil || age > MaxAge {
		return Decision{}
	}
	p := v.pool(j.Pool)
	if p == nil || p.Cores <= 0 && len(p.Arriving) == 0 || j.Work <= 0 {
		return Decision{}
	}
	a := v.assess(p, j, age, since)
	if a.idle >= j.Cores {
		return Decision{}
	}
	limit := min(a.left, Left(j.Objective, 0, j.Chain))
	start := p.clears(a.before+j.Work, a.taken, age)
	all := p.clears(a.before+a.late+j.Work, a.taken, age)
	allowed := time.Duration(startShare * a.sizeFactor * float64(j.Objective-j.Chain))
	if start <= allowed && all <= limit {
		return Decision{}
	}
	if p.clears(a.before+a.late+j.Work, a.taken+a.rate, age) <= limit {
		return Decision{}
	}
	d := Decision{Reject: true, Reason: Backlog, Wait: start}
	switch {
	case a.rank.Beyond:
		d.Reason = Share
	case start <= allowed:
		d.Reason, d.Wait = Promised, all
	}
	d.RetryAfter = retryAfter(j, p.clears(a.before+a.late+j.Work, 0, age)-allowed)
	return d
}

// assessment is the load that a job meets.
type assessment struct {
	rank         Rank
	before, late float64 // work started before the job, and after it once it is late
	taken, rate  float64 // cores that arrivals of higher and of its own rank take
	idle         float64 // cores that are idle for it
	left         time.Duration
	sizeFactor   float64
}

// assess returns the load that a job meets now: that of the view, with what has been
// done and has arrived since.
func (v *View) assess(p *Pool, j *Job, age time.Duration, since []Job) assessment {
	a := assessment{rank: v.rank(j), idle: p.Idle, left: never, sizeFactor: 1}
	arrived, own := 0.0, 0.0
	for i := range p.Classes {
		c := &p.Classes[i]
		order := c.Rank().Compare(a.rank)
		if order > 0 {
			break
		}
		a.idle -= c.Ready
		a.before += c.Timely
		arrived += c.Rate * age.Seconds()
		if order < 0 {
			a.before += c.Late
			a.taken += c.Rate
			continue
		}
		a.late, a.rate = c.Late, c.Rate
		if c.Left > 0 {
			a.left = max(c.Left-age, 0)
		}
		if c.Size > 0 {
			a.sizeFactor = min(max(c.Size/j.Work, minSizeFactor), 1)
		}
	}
	for i := range since {
		if s := &since[i]; s.Pool == j.Pool && v.rank(s).Compare(a.rank) <= 0 {
			own += s.Work
		}
	}
	done := p.Cores * age.Seconds()
	a.late = max(a.late-max(done-a.before, 0), 0)
	arrived = max(arrived, own)
	a.before = max(a.before-done, 0) + arrived
	// What has arrived is assumed to need cores in the proportion of this job.
	a.idle -= arrived / j.Work * j.Cores
	return a
}

func (v *View) rank(j *Job) Rank {
	_, beyond := slices.BinarySearch(v.Beyond, j.Workspace)
	return Rank{Beyond: beyond, Priority: j.Priority}
}
