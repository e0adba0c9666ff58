// Package runners is a stand-in of the platform's runners in memory. Runners
// keep fences, attempts and ends as the contract says, and record each start.
// Tasks end as done after a number of looks; leases do not lapse.
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

// Runners is a set of runners, created as they are first addressed.
type Runners struct {
	// LoseEvery carries out each n-th order without an answer.
	LoseEvery int

	mu     sync.Mutex
	by     map[runner.ID]*one
	orders int
	starts map[job.Task]int
}

type one struct {
	fence   runner.Term
	running map[job.Task]int
	barred  map[job.Task]int
	ends    []runner.RunResult
	seen    int
}

func (r *Runners) get(id runner.ID) *one {
	if r.by == nil {
		r.by, r.starts = make(map[runner.ID]*one), make(map[job.Task]int)
	}
	o := r.by[id]
	if o == nil {
		o = &one{running: make(map[job.Task]int), barred: make(map[job.Task]int)}
		r.by[id] = o
	}
	return o
}

// Starts returns how often each task has begun to run.
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

// answer loses the answer of some orders.
func (r *Runners) answer(v runner.Verdict) (runner.Reply, error) {
	r.orders++
	if r.LoseEvery > 0 && r.orders%r.LoseEvery == 0 {
		return runner.Reply{}, errors.Wrap(runner.ErrNoResponse, "answer lost")
	}
	return runner.Reply{Verdict: v, Clock: now()}, nil
}

// Start begins a run.
func (r *Runners) Start(_ context.Context, to runner.Target, t runner.Term, s runner.Start) (runner.Reply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.get(to.ID)
	if t < o.fence {
		return runner.Reply{Verdict: runner.Fenced, Clock: now()}, nil
	}
	o.fence = t
	switch {
	case o.running[s.Task] == s.Attempt:
	case s.Attempt <= o.barred[s.Task] || o.running[s.Task] > 0:
		return r.answer(runner.Superseded)
	default:
		o.running[s.Task] = s.Attempt
		r.starts[s.Task]++
	}
	return r.answer(runner.Accepted)
}

// Stop ends a run.
func (r *Runners) Stop(_ context.Context, to runner.Target, t runner.Term, task job.Task, attempt int) (runner.Reply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.get(to.ID)
	if t < o.fence {
		return runner.Reply{Verdict: runner.Fenced, Clock: now()}, nil
	}
	o.fence = t
	o.barred[task] = max(o.barred[task], attempt)
	if a, ok := o.running[task]; ok && a <= attempt {
		o.end(task, runner.Stopped)
	}
	return r.answer(runner.Accepted)
}

func (o *one) end(task job.Task, c runner.Cause) {
	a := o.running[task]
	delete(o.running, task)
	o.barred[task] = max(o.barred[task], a)
	o.ends = append(o.ends, runner.RunResult{Seq: len(o.ends) + 1, Task: task, Attempt: a, Cause: c})
}

// Poll lists the runs and the ends, and then lets the runs end as done.
func (r *Runners) Poll(ctx context.Context, to runner.Target, t runner.Term, l runner.PollRequest) (*runner.Report, runner.Reply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ctx.Err() != nil {
		return nil, runner.Reply{}, errors.Wrap(runner.ErrNoResponse, "look ended")
	}
	o := r.get(to.ID)
	if t < o.fence {
		return nil, runner.Reply{Verdict: runner.Fenced, Clock: now()}, nil
	}
	o.fence = t
	o.seen = max(o.seen, min(l.Acked, len(o.ends)))
	rep := &runner.Report{Incarnation: 1, Clock: now(), Results: append([]runner.RunResult(nil), o.ends[o.seen:]...)}
	for task, a := range o.running {
		rep.Running = append(rep.Running, runner.Run{Task: task, Attempt: a, Percent: 100})
	}
	for _, run := range rep.Running {
		o.end(run.Task, runner.Done)
	}
	return rep, runner.Reply{Clock: rep.Clock}, nil
}

// Throttle does nothing.
func (r *Runners) Throttle(context.Context, runner.Target, runner.Term, job.Task, int, int) (runner.Reply, error) {
	return runner.Reply{Clock: now()}, nil
}
