package sched

import (
	"net/netip"
	"slices"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

const (
	modelMaxLease    = 6 * time.Second
	modelStopTimeout = 5 * time.Second // a leader without the store stops after this
	// modelStartTimeout is after which it starts no tasks.
	modelStartTimeout = 4 * time.Second
	maxModelTasks     = 2 // that a runner has capacity for
	modelTaskCPU      = 1000
)

// modelRunner is a runner that keeps the contract.
type modelRunner struct {
	id           runner.ID
	addr         netip.AddrPort
	incarnation  runner.Incarnation
	startedAt    clock.BootTime
	down         bool
	rate         float64 // speed of its clock
	tasks        int     // that its capacity is for
	fence        runner.Term
	until        clock.RunnerTime
	running      map[job.Task]int
	highestEnded map[job.Task]int // highest attempt that ended or was stopped
	endedBefore  map[job.Task]int // the same of all earlier incarnations
	results      []runner.RunResult
	endedAt      map[int]clock.BootTime
	expiredAt    clock.BootTime
	acked        int
}

func (r *modelRunner) clock(now clock.BootTime) clock.RunnerTime {
	return clock.RunnerTime(1000 + float64(now.Sub(r.startedAt).Milliseconds())*r.rate)
}

func (r *modelRunner) end(t job.Task, c runner.Cause, now clock.BootTime) {
	attempt := r.running[t]
	delete(r.running, t)
	r.highestEnded[t] = max(r.highestEnded[t], attempt)
	r.results = append(r.results, runner.RunResult{Seq: len(r.results) + 1, Task: t, Attempt: attempt, Cause: c})
	r.endedAt[len(r.results)] = now
}

// expire ends the runs when the lease has expired. The expiry has no effect on
// a runner without runs.
func (r *modelRunner) expire(now clock.BootTime) {
	if r.clock(now) <= r.until || r.until == 0 || len(r.running) == 0 {
		return
	}
	if r.expiredAt == 0 || r.expiredAt < now {
		r.expiredAt = now
	}
	for _, t := range sortedTasks(r.running) {
		r.end(t, runner.LeaseExpired, now)
	}
}

func (r *modelRunner) extend(until clock.RunnerTime, now clock.BootTime) {
	r.until = max(r.until, min(until, r.clock(now).Add(modelMaxLease)))
}

// crash ends the incarnation with all of its runs and results.
func (r *modelRunner) crash() { r.down, r.running = true, nil }

// restart starts the next incarnation, which knows nothing of the previous one.
func (r *modelRunner) restart(now clock.BootTime) {
	if r.endedBefore == nil {
		r.endedBefore = make(map[job.Task]int)
	}
	for t, attempt := range r.highestEnded {
		r.endedBefore[t] = max(r.endedBefore[t], attempt)
	}
	r.incarnation++
	r.startedAt, r.down, r.fence, r.until, r.results, r.expiredAt, r.acked = now, false, 0, 0, nil, 0, 0
	r.running, r.highestEnded, r.endedAt = make(map[job.Task]int), make(map[job.Task]int), make(map[int]clock.BootTime)
}

// entry returns the runner's entry in the store.
func (r *modelRunner) entry() runner.Info {
	i := info(r.id, "p")
	i.Incarnation, i.Addr, i.Capacity = r.incarnation, r.addr, job.Resources{CPU: r.tasks * modelTaskCPU, Mem: 8000}
	return i
}

func sortedTasks[V any](m map[job.Task]V) []job.Task {
	ts := make([]job.Task, 0, len(m))
	for t := range m {
		ts = append(ts, t)
	}
	slices.SortFunc(ts, compareTasks)
	return ts
}
