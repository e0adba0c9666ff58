package soak

import (
	"fmt"
	"strings"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
)

// Limits of the contract on tasks that crash their runners and on capacities
// that shrink.
const (
	crashesToGiveUp = 2 // crashed runners after which a task may be given up
	maxCrashes      = 3 // crashed runners after which the starts of a deadly task are limited
	// excessStart is the start after maxCrashes crashes that violates the limit.
	excessStart = 3
	// heartbeatInterval is how often a runner writes its entry to the store.
	heartbeatInterval = 1500 * time.Millisecond
	// shrinkTimeout is how long the previous capacity of a runner still counts
	// after the capacity has shrunk.
	shrinkTimeout = recoveryTimeout + heartbeatInterval
)

// isDeadly reports whether a task crashes each runner that starts it.
func (l *ledger) isDeadly(t job.Task) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[t.Job]
	return j != nil && j.deadly != nil && *j.deadly == t
}

// cpu returns the demand of a task in thousandths of a core.
func (l *ledger) cpu(t job.Task) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[t.Job]
	if j == nil || t.Step >= len(j.steps) {
		return 0
	}
	return j.steps[t.Step].CPU
}

// checkBudget checks the start of a task that crashes its runners. It holds the
// lock.
func (l *ledger) checkBudget(on *runnerServer, t job.Task, rec *taskRecord) {
	j := l.jobs[t.Job]
	if j.deadly == nil || *j.deadly != t || rec.crashes < maxCrashes {
		return
	}
	rec.startsAfterCrashes++
	if rec.startsAfterCrashes == excessStart {
		l.violation(t.Job, "BUDGET: task %s started on runner %s, start %d after %d runners had crashed under it", t, on.id, excessStart, maxCrashes)
	}
}

// checkLimit checks that a start has not brought a runner over its capacity. The
// lock of the runner is held.
func (l *ledger) checkLimit(on *runnerServer, t job.Task) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now, limit := time.Now(), on.capacity
	for _, s := range on.shrunk {
		since := s.at
		if l.calmSince.After(since) {
			since = l.calmSince
		}
		if l.calmSince.IsZero() || now.Sub(since) <= shrinkTimeout {
			limit = max(limit, s.from)
		}
	}
	if limit < fullCapacity {
		l.shrunkStarts++
	}
	if used := on.used(); used > limit {
		l.violation(t.Job, "LIMIT: start of task %s brought runner %s to %d of a capacity of %d, counted as %d", t, on.id, used, on.capacity, limit)
	}
}

// hasCrashed reports whether enough runners crashed under one of the tasks of a
// job for the job to be given up.
func (l *ledger) hasCrashed(id job.ID, j *jobRecord) bool {
	for s, step := range j.steps {
		for i := range step.Count {
			if l.task(job.Task{Job: id, Step: s, Index: i}).crashes >= crashesToGiveUp {
				return true
			}
		}
	}
	return false
}

// crashCounts returns the number of jobs with a deadly task, how many of them
// were reported as failed, and the number of jobs without one that were given up
// because of crashes. The lock is held.
func (l *ledger) crashCounts() (deadly, failed, bystanders int) {
	for id, j := range l.jobs {
		switch {
		case j.deadly != nil:
			deadly++
			if j.outcome == "failed" {
				failed++
			}
		case j.outcome == "failed" && !l.hasFailed(id, j):
			bystanders++
		}
	}
	return deadly, failed, bystanders
}

// event records a log line of a stand-in in the format of the daemons.
func (l *ledger) event(msg, runner string, kv ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "at=%s host=stand-in msg=%q runner=%s", time.Now().UTC().Format(time.RFC3339Nano), msg, runner)
	for i := 0; i+1 < len(kv); i += 2 {
		_, _ = fmt.Fprintf(&b, " %v=%v", kv[i], kv[i+1])
	}
	l.events = append(l.events, b.String())
}
