package sched

import (
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
)

const (
	// quarantineJobs is how many different jobs must fail in a row on a runner
	// before it is quarantined. A single job may fail everywhere through its
	// own fault.
	quarantineJobs = 2
	// minQuarantine is the duration of the first quarantine.
	minQuarantine = 3 * time.Second
	// maxQuarantine limits the duration, which doubles each time.
	maxQuarantine = 12 * time.Second
)

// health tracks the results of the runs on a runner, because a runner may fail
// all runs and still report itself as healthy.
type health struct {
	failing          []job.ID // jobs that failed since the last success
	quarantine       time.Duration
	quarantinedUntil clock.BootTime // no new runs before this time
	probing          bool           // may have only one run until that run ends
}

// recordFailure records a failed run, and reports whether the runner is
// quarantined because of it.
func (h *health) recordFailure(id job.ID, now clock.BootTime) bool {
	for _, f := range h.failing {
		if f == id && !h.probing {
			return false
		}
	}
	h.failing = append(h.failing, id)
	if len(h.failing) < quarantineJobs && !h.probing {
		return false
	}
	h.quarantine = min(max(h.quarantine*2, minQuarantine), maxQuarantine)
	h.quarantinedUntil = now.Add(h.quarantine)
	h.probing = true
	return true
}

// recordSuccess records a run that ended as done.
func (h *health) recordSuccess() {
	*h = health{}
}

// allows reports whether the runner may be given one more run beside its
// present ones.
func (h *health) allows(now clock.BootTime, runs int) bool {
	if h.quarantinedUntil.After(now) {
		return false
	}
	return !h.probing || runs == 0
}
