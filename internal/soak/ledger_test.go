package soak

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
)

// Limits of the contract that the daemons are configured with and the ledger
// checks.
const (
	cancelTimeout   = 3 * time.Second // from the cancellation of a job until none of its tasks starts
	recoveryTimeout = 3 * time.Second // from the end of the last fault until the limits apply again
	visibleTimeout  = 3 * time.Second // from the acceptance of a job until queries return it
	maxAttempts     = 4               // failed runs of a task after which its job fails
)

// jobRecord is what callers have observed of a job.
type jobRecord struct {
	spec           string
	steps          []wireStep
	pendingSubmits int  // attempts to submit it without a response yet
	submitUnknown  bool // the outcome of an attempt to submit it is unknown
	acceptedAt     time.Time
	cancelAckedAt  time.Time // when the cancellation was acknowledged
	cancelSent     bool
	outcome        string
	deadly         *job.Task // crashes each runner that starts it; nil if there is none
}

// taskRecord is what runners have observed of a task.
type taskRecord struct {
	runningOn map[*runnerServer]activeRun
	done      bool // a run ended as done
	acked     bool // the result done was acknowledged
	starts    []time.Time
	failed    map[int]bool // attempts that ended as failed
	crashes   int          // runners that crashed during a run of it
	// startsAfterCrashes counts the starts after maxCrashes crashes.
	startsAfterCrashes int
}

// activeRun is a run with the ID of its runner at the start.
type activeRun struct {
	attempt int
	runner  string
}

// ledger checks the guarantees that the package comment lists. Each violation is
// reported as a test error.
type ledger struct {
	t  *testing.T
	mu sync.Mutex
	// calmSince is when the last fault ended; zero while a fault is active.
	calmSince    time.Time
	activeFaults int
	jobs         map[job.ID]*jobRecord
	tasks        map[job.Task]*taskRecord
	violations   int
	violated     map[string]int // number of violations by format of the message
	violatedJobs []job.ID       // jobs whose log lines explain the violations
	events       []string       // log lines of the stand-ins
	shrunkStarts int            // starts that were checked against a capacity that has shrunk
}

func newLedger(t *testing.T) *ledger {
	return &ledger{t: t, jobs: make(map[job.ID]*jobRecord), tasks: make(map[job.Task]*taskRecord), violated: make(map[string]int), calmSince: time.Now()}
}

// violation records a violated guarantee and reports it as a test error. The ID
// is empty if it does not concern a job.
func (l *ledger) violation(id job.ID, format string, args ...any) {
	l.violations++
	l.violated[format]++
	// Jobs with different violations are explained first.
	if id != "" && !slices.Contains(l.violatedJobs, id) && (l.violated[format] == 1 || len(l.violatedJobs) < maxExplainedJobs) {
		l.violatedJobs = append(l.violatedJobs, id)
	}
	l.t.Errorf("%s: %s", time.Now().Format("05.000"), fmt.Sprintf(format, args...))
}

func (l *ledger) task(t job.Task) *taskRecord {
	rec := l.tasks[t]
	if rec == nil {
		rec = &taskRecord{runningOn: make(map[*runnerServer]activeRun), failed: make(map[int]bool)}
		l.tasks[t] = rec
	}
	return rec
}

// started records the start of a run and checks that it was allowed.
func (l *ledger) started(on *runnerServer, t job.Task, attempt int, spec string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	rec := l.task(t)
	j := l.jobs[t.Job]
	switch {
	case j == nil || t.Step >= len(j.steps) || t.Index >= j.steps[t.Step].Count:
		l.violation(t.Job, "task %s started on runner %s, but was not submitted", t, on.id)
		return
	case j.spec != spec:
		l.violation(t.Job, "task %s started with a spec other than the submitted one", t)
	case j.pendingSubmits == 0 && !j.submitUnknown && j.acceptedAt.IsZero():
		l.violation(t.Job, "task %s started, but every attempt to submit its job was rejected", t)
	}
	for _, a := range rec.runningOn {
		l.violation(t.Job, "task %s started on runner %s as attempt %d while it runs on runner %s as attempt %d", t, on.id, attempt, a.runner, a.attempt)
	}
	l.checkBudget(on, t, rec)
	if rec.acked {
		l.violation(t.Job, "task %s started on runner %s after its result done was acknowledged", t, on.id)
	}
	if len(rec.failed) >= maxAttempts {
		l.violation(t.Job, "task %s started after %d failed runs", t, len(rec.failed))
	}
	for _, s := range j.steps[t.Step].After {
		for i := range j.steps[s].Count {
			if dependency := (job.Task{Job: t.Job, Step: s, Index: i}); !l.task(dependency).done {
				l.violation(t.Job, "task %s started before task %s was done", t, dependency)
			}
		}
	}
	if !j.cancelAckedAt.IsZero() && !l.calmSince.IsZero() {
		since := j.cancelAckedAt
		if c := l.calmSince.Add(recoveryTimeout); c.After(since) {
			since = c
		}
		if now.Sub(since) > cancelTimeout {
			l.violation(t.Job, "task %s started %v after the cancellation of its job was acknowledged", t, now.Sub(j.cancelAckedAt))
		}
	}
	rec.runningOn[on] = activeRun{attempt: attempt, runner: on.id}
	rec.starts = append(rec.starts, now)
}

// ended records the end of a run.
func (l *ledger) ended(on *runnerServer, t job.Task, attempt int, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rec := l.task(t)
	delete(rec.runningOn, on)
	switch how {
	case "done":
		rec.done = true
	case "failed":
		rec.failed[attempt] = true
	case "crashed":
		rec.crashes++
	}
}

// resultAcked records that the daemons have acknowledged the result done of a
// run that ended at the given time.
func (l *ledger) resultAcked(t job.Task, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rec := l.task(t)
	rec.acked = true
	if slices.ContainsFunc(rec.starts, func(s time.Time) bool { return s.After(at) }) {
		l.violation(t.Job, "result done of task %s acknowledged, although the task was started again after it", t)
	}
}

// stateReported records the state of a job that a caller received, and checks
// it.
func (l *ledger) stateReported(id job.ID, state string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[id]
	switch state {
	case "completed":
		for s, step := range j.steps {
			for i := range step.Count {
				if t := (job.Task{Job: id, Step: s, Index: i}); !l.task(t).done {
					l.violation(id, "job %s reported as completed, but task %s is not done", id, t)
				}
			}
		}
	case "failed":
		if !l.hasFailed(id, j) && !l.hasCrashed(id, j) {
			l.violation(id, "job %s reported as failed, but none of its tasks has failed or crashed runners often enough", id)
		}
	case "cancelled":
		if !j.cancelSent {
			l.violation(id, "job %s reported as cancelled, but no caller cancelled it", id)
		}
	case "gone":
		if !j.acceptedAt.IsZero() && time.Since(j.acceptedAt) > visibleTimeout && !j.cancelSent {
			l.violation(id, "job %s was accepted, but is reported as gone", id)
		}
		return
	case "queued", "running":
		return
	default:
		l.violation(id, "job %s reported in unknown state %q", id, state)
	}
	j.outcome = state
}

func (l *ledger) hasFailed(id job.ID, j *jobRecord) bool {
	for s, step := range j.steps {
		for i := range step.Count {
			if len(l.task(job.Task{Job: id, Step: s, Index: i}).failed) >= maxAttempts {
				return true
			}
		}
	}
	return false
}

// unfinished returns the accepted jobs whose outcome no caller has received.
// Jobs that a caller has tried to cancel are left out.
func (l *ledger) unfinished() []job.ID {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ids []job.ID
	for id, j := range l.jobs {
		if !j.acceptedAt.IsZero() && j.outcome == "" && !j.cancelSent {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// addActiveFaults adds n to the number of active faults. Zero starts the calm
// time.
func (l *ledger) addActiveFaults(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.activeFaults += n
	l.calmSince = time.Time{}
	if l.activeFaults == 0 {
		l.calmSince = time.Now()
	}
}
