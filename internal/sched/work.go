package sched

import (
	"slices"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/kv"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// phase is how far a run has come.
type phase int

const (
	starting phase = iota // ordered, not yet confirmed
	running
	stopping // its stop has been ordered
)

// run is one attempt of a task on a runner.
type run struct {
	task      *task
	attempt   int
	node      *node
	phase     phase
	demand    job.Resources
	ordered   clock.BootTime // when the start was first ordered
	confirmed clock.BootTime // when the runner first showed it
	stopped   clock.BootTime // when the stop was confirmed; zero before
	percent   int            // pace that the runner reports
	pace      int            // pace that is wanted
	paced     clock.BootTime // when the pace was last changed
	load      int
	why       string // reason of the stop
	// unsure tells that an order to start had no answer, so that it may yet be
	// carried out even if a repeated one is refused.
	unsure  bool
	stalled clock.BootTime // since when it uses no processor; zero: it does
	sending bool           // an order about the run is being sent
}

// task is one task of an occurrence.
type task struct {
	work    *work
	name    job.Task
	step    *step
	done    bool
	failed  []int // attempts that failed
	attempt int   // highest ordered
	saved   string
	runs    []*run
	after   clock.BootTime // not started again before this
	avoid   []runner.ID
	retried bool           // a slow run was given a copy or another attempt
	ended   clock.BootTime // when its last run ended
	// doubt tells that the lease of a run has lapsed unseen, so that it may
	// have ended as done.
	doubt bool
	// reserved is the number of the next run that the store has been told of,
	// or is being told of as reservedIn of the job's versions; 0: none.
	reserved   int
	reservedIn uint64
}

// live tells whether a run may exist.
func (t *task) live() bool { return len(t.runs) > 0 }

// step is one step of an occurrence.
type step struct {
	occ     *occurrence
	spec    *job.Step
	index   int
	tasks   []*task
	done    int
	permits permits
}

// complete tells whether all tasks of the step are done.
func (s *step) complete() bool { return s.done == len(s.tasks) }

// occurrence is one pass through the steps of a job.
type occurrence struct {
	work  *work
	n     int
	due   time.Time
	steps []*step
	done  int // complete steps
}

// ready tells whether the steps before s are complete.
func (o *occurrence) ready(s *step) bool {
	for _, a := range s.spec.DependsOn {
		if !o.steps[a].complete() {
			return false
		}
	}
	return true
}

// work is a job with its progress.
type work struct {
	job       *job.Job
	created   kv.Revision
	arrived   clock.BootTime // when it was accepted
	outcome   job.Outcome
	cancelled bool
	begun     bool
	occs      []*occurrence // those that are due or have progress
	finished  int           // complete occurrences
	chain     time.Duration // estimate of the longest chain of tasks
	total     float64       // estimated core-seconds of one occurrence
	// version counts the changes of the progress, flushed those in the store.
	version, flushed uint64
	rev              kv.Revision    // of the progress in the store; 0: none
	closed           clock.BootTime // when the outcome became known
	stored           map[job.Task]*job.TaskProgress
}

func (w *work) open() bool { return w.outcome == job.Open && !w.cancelled }

// dirty records a change of the durable progress.
func (w *work) dirty() { w.version++ }

// occurrence returns the n-th occurrence, creating it if needed.
func (w *work) occurrence(n int) *occurrence {
	for _, o := range w.occs {
		if o.n == n {
			return o
		}
	}
	o := &occurrence{work: w, n: n, due: w.job.Due(n)}
	for i := range w.job.Steps {
		s := &step{occ: o, spec: &w.job.Steps[i], index: i}
		s.tasks = make([]*task, s.spec.Count)
		for k := range s.tasks {
			t := &task{work: w, step: s, name: job.Task{Job: w.job.ID, Occ: n, Step: i, Index: k}}
			if p := w.stored[t.name]; p != nil {
				t.done, t.failed, t.attempt, t.saved = p.Done, p.Failed, p.Attempt, p.Checkpoint
				if t.done {
					s.done++
				}
			}
			s.tasks[k] = t
		}
		if s.complete() {
			o.done++
		}
		o.steps = append(o.steps, s)
	}
	w.occs = append(w.occs, o)
	if o.done == len(o.steps) {
		w.finished++
	}
	return o
}

// task finds a task by its name, or nil if the job has none such.
func (w *work) task(name job.Task) *task {
	if name.Occ >= w.job.Occurrences() || name.Step >= len(w.job.Steps) || name.Index >= w.job.Steps[name.Step].Count {
		return nil
	}
	return w.occurrence(name.Occ).steps[name.Step].tasks[name.Index]
}

// estimate sets the longest chain and the total work of one occurrence.
func (w *work) estimate() {
	ends := make([]time.Duration, len(w.job.Steps))
	for i := range w.job.Steps {
		s := &w.job.Steps[i]
		var from time.Duration
		for _, a := range s.DependsOn {
			from = max(from, ends[a])
		}
		ends[i] = from + s.Estimate
		w.chain = max(w.chain, ends[i])
		w.total += float64(s.Count) * float64(s.Resources.CPU) / 1000 * s.Estimate.Seconds()
	}
}

// remaining returns the longest chain and the work that an occurrence still
// needs.
func (o *occurrence) remaining() (chain time.Duration, cores float64) {
	ends := make([]time.Duration, len(o.steps))
	for i, s := range o.steps {
		if s.complete() {
			continue
		}
		var from time.Duration
		for _, a := range s.spec.DependsOn {
			from = max(from, ends[a])
		}
		ends[i] = from + s.spec.Estimate
		chain = max(chain, ends[i])
		cores += float64(len(s.tasks)-s.done) * float64(s.spec.Resources.CPU) / 1000 * s.spec.Estimate.Seconds()
	}
	return chain, cores
}

// progress returns the durable record.
func (w *work) progress() *job.Progress {
	p := &job.Progress{Outcome: w.outcome, Started: w.begun}
	if w.outcome != job.Open {
		return p
	}
	for _, o := range w.occs {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if !t.done && len(t.failed) == 0 && t.attempt == 0 {
					continue
				}
				r := job.TaskProgress{
					Occ: o.n, Step: s.index, Index: t.name.Index,
					Done: t.done, Failed: slices.Clone(t.failed), Attempt: t.attempt,
				}
				if !t.done {
					r.Checkpoint = t.saved
				}
				p.Tasks = append(p.Tasks, r)
			}
		}
	}
	return p
}
