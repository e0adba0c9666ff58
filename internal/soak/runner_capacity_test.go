package soak

import (
	"hash/fnv"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
)

const (
	// fullCapacity is the capacity of a runner that has not shrunk.
	fullCapacity = 8000
	// maxStopTime is how long an accounting runner takes at most to stop a run.
	maxStopTime = 200 * time.Millisecond
)

// shrinkage is a capacity that a runner had until it shrunk.
type shrinkage struct {
	from int
	at   time.Time
}

// setCapacity changes the capacity of a runner. The next incarnation of a runner
// that crashes has the same capacity.
func (r *runnerServer) setCapacity(cpu int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if cpu == r.capacity {
		return
	}
	if cpu < r.capacity {
		r.shrunk = append(r.shrunk, shrinkage{from: r.capacity, at: time.Now()})
	}
	r.capacity = cpu
	r.ledger.event("runner capacity changed", r.id, "cpu", cpu, "used", r.used())
}

// used returns the capacity that the runs on the runner occupy, including those
// that are being stopped.
func (r *runnerServer) used() int {
	sum := 0
	for _, run := range r.running {
		sum += run.cpu
	}
	return sum
}

// finishSlowly ends a run as stopped after some time. The run may end by itself
// before.
func (r *runnerServer) finishSlowly(t job.Task, run *runnerRun) {
	h := fnv.New32a()
	_, _ = h.Write([]byte("stop " + t.String())) // a hash never returns a write error
	stopTime := time.Duration(h.Sum32()) % maxStopTime
	time.AfterFunc(stopTime, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.expireLease()
		if r.running[t] == run {
			r.finish(t, "stopped")
		}
	})
}

// runs reports whether an attempt of a task is running.
func (r *runnerServer) runs(t job.Task, attempt int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expireLease()
	run := r.running[t]
	return run != nil && run.attempt == attempt
}
