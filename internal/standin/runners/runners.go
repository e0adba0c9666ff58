// Package runners is an in-memory stand-in for the platform's runners. Runners
// track fences, attempts and results as the platform's contract requires, and
// count each start. Tasks end as done after a poll has listed them; leases do
// not expire. Runners owns all state, which is lost when the process ends.
package runners

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// Runners is a set of runners. Each is created when it is first called.
type Runners struct {
	// LoseEvery loses the reply to each n-th command, which is carried out; zero
	// loses none.
	LoseEvery int

	mu       sync.Mutex
	byID     map[runner.ID]*runnerState
	commands int
	starts   map[job.Task]int
}

type runnerState struct {
	fence      runner.Term
	running    map[job.Task]int // attempt of each active run
	rejectUpTo map[job.Task]int // attempts up to this one are not started
	results    []runner.RunResult
	acked      int // number of acknowledged results
}

func (r *Runners) get(id runner.ID) *runnerState {
	if r.byID == nil {
		r.byID, r.starts = make(map[runner.ID]*runnerState), make(map[job.Task]int)
	}
	rs := r.byID[id]
	if rs == nil {
		rs = &runnerState{running: make(map[job.Task]int), rejectUpTo: make(map[job.Task]int)}
		r.byID[id] = rs
	}
	return rs
}

// Starts returns how often each task has been started.
func (r *Runners) Starts() map[job.Task]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := make(map[job.Task]int, len(r.starts))
	for t, n := range r.starts {
		m[t] = n
	}
	return m
}

func now() clock.RunnerTime { return clock.RunnerTime(time.Now().UnixMilli()) }

// reply returns the reply to a command, or an error if the reply is lost.
func (r *Runners) reply(v runner.Verdict) (runner.Reply, error) {
	r.commands++
	if r.LoseEvery > 0 && r.commands%r.LoseEvery == 0 {
		return runner.Reply{}, errors.Wrap(runner.ErrNoResponse, "reply lost")
	}
	return runner.Reply{Verdict: v, Clock: now()}, nil
}

// Start starts a run.
func (r *Runners) Start(_ context.Context, to runner.Target, t runner.Term, s runner.Start) (runner.Reply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rs := r.get(to.ID)
	if t < rs.fence {
		return runner.Reply{Verdict: runner.Fenced, Clock: now()}, nil
	}
	rs.fence = t
	switch {
	case rs.running[s.Task] == s.Attempt:
	case s.Attempt <= rs.rejectUpTo[s.Task] || rs.running[s.Task] > 0:
		return r.reply(runner.Superseded)
	default:
		rs.running[s.Task] = s.Attempt
		r.starts[s.Task]++
	}
	return r.reply(runner.Accepted)
}

// Stop stops a run.
func (r *Runners) Stop(_ context.Context, to runner.Target, t runner.Term, task job.Task, attempt int) (runner.Reply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rs := r.get(to.ID)
	if t < rs.fence {
		return runner.Reply{Verdict: runner.Fenced, Clock: now()}, nil
	}
	rs.fence = t
	rs.rejectUpTo[task] = max(rs.rejectUpTo[task], attempt)
	if a, ok := rs.running[task]; ok && a <= attempt {
		rs.finish(task, runner.Stopped)
	}
	return r.reply(runner.Accepted)
}

func (rs *runnerState) finish(task job.Task, c runner.Cause) {
	a := rs.running[task]
	delete(rs.running, task)
	rs.rejectUpTo[task] = max(rs.rejectUpTo[task], a)
	rs.results = append(rs.results, runner.RunResult{Seq: len(rs.results) + 1, Task: task, Attempt: a, Cause: c})
}

// Poll returns the runs and the unacknowledged results. The runs that it returns
// then end as done.
func (r *Runners) Poll(ctx context.Context, to runner.Target, t runner.Term, q runner.PollRequest) (*runner.Report, runner.Reply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ctx.Err() != nil {
		return nil, runner.Reply{}, errors.Wrap(runner.ErrNoResponse, "poll canceled")
	}
	rs := r.get(to.ID)
	if t < rs.fence {
		return nil, runner.Reply{Verdict: runner.Fenced, Clock: now()}, nil
	}
	rs.fence = t
	rs.acked = max(rs.acked, min(q.Acked, len(rs.results)))
	report := &runner.Report{Incarnation: 1, Clock: now(), Results: append([]runner.RunResult(nil), rs.results[rs.acked:]...)}
	for task, a := range rs.running {
		report.Running = append(report.Running, runner.Run{Task: task, Attempt: a, Percent: 100})
	}
	for _, run := range report.Running {
		rs.finish(run.Task, runner.Done)
	}
	return report, runner.Reply{Clock: report.Clock}, nil
}

// Throttle does nothing.
func (r *Runners) Throttle(context.Context, runner.Target, runner.Term, job.Task, int, int) (runner.Reply, error) {
	return runner.Reply{Clock: now()}, nil
}
