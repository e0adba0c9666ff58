package job

import "time"

// Terms are what the operators promise for the jobs of a queue, apart from the pool that
// runs them. They are stored with a job, which goes on by the last terms of its queue
// when the queue is no longer configured.
type Terms struct {
	Priority    int           `cbor:"1,keyasint,omitempty"` // 0 is the highest
	MaxAttempts int           `cbor:"2,keyasint,omitempty"` // number of failed runs of one task that makes the job fail
	Stretch     float64       `cbor:"3,keyasint,omitempty"` // factor of the run time in Objective
	Target      time.Duration `cbor:"4,keyasint,omitempty"` // constant part of Objective
	Permits     bool          `cbor:"5,keyasint,omitempty"` // a policy service decides which runners may be used
}

// Terms returns the terms of the queue.
func (q *Queue) Terms() Terms {
	return Terms{Priority: q.Priority, MaxAttempts: max(q.MaxAttempts, 1), Stretch: q.Stretch, Target: q.Target, Permits: q.Policy != nil}
}

// Objective returns the time from acceptance within which a job should be
// complete, given the run time of its longest chain of tasks.
func (t *Terms) Objective(chain time.Duration) time.Duration {
	return time.Duration(t.Stretch*float64(chain)) + t.Target
}
