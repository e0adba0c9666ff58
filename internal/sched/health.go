package sched

import (
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
)

const (
	// suspectJobs is how many different jobs must fail in a row on a runner
	// before it is set aside. One job may fail everywhere by its own fault.
	suspectJobs = 2
	// firstPause is how long a runner is set aside the first time.
	firstPause = 3 * time.Second
	// longestPause bounds the pause, which doubles each time.
	longestPause = 12 * time.Second
)

// health judges a runner by the runs that ended on it, since a runner may fail
// all that it starts and still report that it is well.
type health struct {
	failing []job.ID // jobs that failed since the last success
	pause   time.Duration
	aside   clock.BootTime // set aside until then
	probing bool           // may run one task only, until that ends
}

// failed records a run that ended as failed, and tells whether the runner is
// set aside by it.
func (h *health) failed(id job.ID, now clock.BootTime) bool {
	for _, f := range h.failing {
		if f == id && !h.probing {
			return false
		}
	}
	h.failing = append(h.failing, id)
	if len(h.failing) < suspectJobs && !h.probing {
		return false
	}
	h.pause = min(max(h.pause*2, firstPause), longestPause)
	h.aside = now.Add(h.pause)
	h.probing = true
	return true
}

// succeeded records a run that ended as done.
func (h *health) succeeded() {
	*h = health{}
}

// allows tells whether the runner may get one more run beside those it has.
func (h *health) allows(now clock.BootTime, runs int) bool {
	if h.aside.After(now) {
		return false
	}
	return !h.probing || runs == 0
}
