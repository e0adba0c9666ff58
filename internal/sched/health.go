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
	// maxQuarantine limits the duration, which doubles each time. Jobs that always
	// fail may quarantine a whole pool, and a long-running task must run again
	// within nine seconds.
	maxQuarantine = 6 * time.Second
	// probeTime is how long a long-running task must be at work to count as a
	// success of its runner, since it never ends as done.
	probeTime = time.Second
	// maxProbeTime is how long a run keeps others off a runner that is probed by it. A
	// batch run may take much longer to end.
	maxProbeTime = 3 * time.Second
)

// health tracks the results of the runs on a runner, because a runner may fail
// all runs and still report itself as healthy.
type health struct {
	failing          []job.ID // jobs that failed since the last success
	quarantine       time.Duration
	quarantinedUntil clock.BootTime // no new runs before this time
	probing          bool           // may have only one new run in maxProbeTime, until one succeeds
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

// allows reports whether the runner may be given one more run, beside those that probe
// it.
func (h *health) allows(now clock.BootTime, probes int) bool {
	if h.quarantinedUntil.After(now) {
		return false
	}
	return !h.probing || probes == 0
}

// isProbe reports whether a run was started since the quarantine of its runner.
func (r *run) isProbe() bool {
	h := &r.runner.health
	return h.probing && !h.quarantinedUntil.After(r.scheduledAt)
}

// probes returns the number of runs that probe a runner: they were started after its
// quarantine, and no longer than maxProbeTime before its last reply.
func (rs *runnerState) probes() int {
	n := 0
	if rs.health.probing {
		for _, r := range rs.runs {
			if r.isProbe() && rs.lastReply.Sub(r.scheduledAt) < maxProbeTime {
				n++
			}
		}
	}
	return n
}

// hasPassed reports whether a long-running task has been at work for long enough
// to show that its runner, which is probed by it, does not fail all runs.
func (r *run) hasPassed(now clock.BootTime) bool {
	return r.task.step.spec.LongRunning && r.percent >= 100 && r.isProbe() && now.Sub(r.confirmedAt) >= probeTime
}
