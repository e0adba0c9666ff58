package sched

import (
	"slices"
	"time"

	"github.com/go-kit/log"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/kv"
	"gypsumtrestle.example/gypsumtrestle/internal/machine"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// Limits are the bounds that the platform sets.
type Limits struct {
	MaxRunnerLease   time.Duration // longest lease of a runner
	OutcomeRetention time.Duration // how long the outcome of a job can be asked for
	// RunnerTakeover is how long after the begin of a term an earlier leader may
	// still extend the lease of a runner that this term has not reached.
	RunnerTakeover  time.Duration
	EarlyStart      time.Duration // how much before its time a task may start
	MaintenanceTime time.Duration // a machine in upkeep is back after this
	MoveTime        time.Duration // a moved machine is back after this
	// MachineTakeover is how long after the begin of a term a machine must not be ordered
	// that an earlier term may have ordered.
	MachineTakeover time.Duration
}

// State is what the leader of one term knows. It is not safe for concurrent
// use.
type State struct {
	Term   runner.Term
	Limits Limits
	Logger log.Logger

	began clock.BootTime
	// confirmed is when this term last surely led.
	confirmed clock.BootTime
	cfg       *job.Config
	jobs      map[job.ID]*work
	open      map[string][]*work // by service, in order of acceptance
	nodes     map[runner.ID]*node
	byMachine map[machine.ID]*node // newest runner
	slow      clock.BootTime       // when the slower parts of a plan were last done
	// inherited is what earlier terms may have left on runners that this term
	// has not reached.
	inherited map[runner.ID]*inherited
	rostered  map[runner.ID]bool // the stored roster has an open row
	unseen    bool               // a row was given up without its runner being reached
	reached   bool               // no open row is inherited any more
	possible  map[job.Task]bool  // tasks of inherited closed rows
	orders    []Command
	questions []PolicyQuery
	changed   bool // a flush is due
	closed    []*work
	waves     map[int]*wave
	hosts     map[machine.ID]*host
	listedAt  clock.BootTime     // when the machines were last listed
	heard     clock.BootTime     // when the input was last known to be complete
	short     bool               // a pool has fewer machines than timely work needs
	logged    clock.BootTime     // when the pools were last logged
	arrivals  map[string]arrival // by pool
	intents   map[machine.ID]Intent
	// ordered is when the answer to the last order to a machine came.
	ordered map[machine.ID]clock.BootTime
	// intended is what the store holds of intents.
	intended map[machine.ID]Intent
}

// New returns the state at the begin of a term.
func New(t runner.Term, now clock.BootTime, l Limits, logger log.Logger) *State {
	return &State{
		Term: t, Limits: l, Logger: logger, began: now, heard: now,
		jobs: make(map[job.ID]*work), open: make(map[string][]*work),
		nodes: make(map[runner.ID]*node), byMachine: make(map[machine.ID]*node), inherited: make(map[runner.ID]*inherited), rostered: make(map[runner.ID]bool),
		waves: make(map[int]*wave), hosts: make(map[machine.ID]*host), arrivals: make(map[string]arrival), intents: make(map[machine.ID]Intent), ordered: make(map[machine.ID]clock.BootTime),
	}
}

// Configure puts a configuration in force.
func (s *State) Configure(c *job.Config) {
	s.cfg = c
	for svc, ws := range s.open {
		keep := ws[:0:0]
		for _, w := range ws {
			if s.service(w) == svc {
				keep = append(keep, w)
			}
		}
		if len(keep) == len(ws) {
			continue
		}
		moved := slices.DeleteFunc(slices.Clone(ws), func(w *work) bool { return s.service(w) == svc })
		s.open[svc] = keep
		for _, w := range moved {
			s.open[s.service(w)] = append(s.open[s.service(w)], w)
		}
	}
}

// service is the pool that runs a job: that of its queue, or the pool at its
// acceptance if the queue is no longer configured.
func (s *State) service(w *work) string {
	if q := s.queue(w); q != nil {
		return q.Service
	}
	return w.job.Service
}

// queue is the job's queue, or nil if it is no longer configured.
func (s *State) queue(w *work) *job.Queue {
	if s.cfg == nil {
		return nil
	}
	return s.cfg.Queues[w.job.Queue]
}

// attempts is how many failed runs of a task end its job.
func (s *State) attempts(w *work) int {
	if q := s.queue(w); q != nil {
		return q.MaxAttempts
	}
	return 1
}

// InputCurrent takes that the store has told of all jobs that were accepted up to now.
func (s *State) InputCurrent(now clock.BootTime) { s.heard = now }

// AddJob adds a job that the store holds, with its progress if there is any.
func (s *State) AddJob(j *job.Job, created kv.Revision, p *job.Progress, rev kv.Revision, now clock.BootTime, wall time.Time) {
	if s.jobs[j.ID] != nil {
		return
	}
	age := min(max(wall.Sub(j.Accepted), 0), longestAge)
	w := &work{job: j, created: created, rev: rev, arrived: now.Add(-age)}
	if p != nil {
		w.outcome, w.begun = p.Outcome, p.Started
		w.stored = make(map[job.Task]*job.TaskProgress, len(p.Tasks))
		for i := range p.Tasks {
			t := &p.Tasks[i]
			w.stored[job.Task{Job: j.ID, Occ: t.Occ, Step: t.Step, Index: t.Index}] = t
		}
	}
	s.jobs[j.ID] = w
	if w.outcome != job.Open {
		w.closed = now
		s.closed = append(s.closed, w)
		return
	}
	w.estimate()
	for t := range w.stored {
		w.occurrence(t.Occ)
	}
	if w.job.Repeats == 0 {
		w.occurrence(0)
	}
	svc := s.service(w)
	s.open[svc] = append(s.open[svc], w)
	if created > kv.Revision(s.Term) {
		s.arrived(w, now)
	}
	s.Logger.Log("msg", "job is open", "job", j.ID, "queue", j.Queue, "service", svc, "rev", int64(created), "begun", w.begun)
	s.conclude(w, now)
}

// longestAge bounds the age that is believed of a job, since the clocks of the
// hosts may jump.
const longestAge = time.Minute

// CancelJob ends a job without further runs.
func (s *State) CancelJob(id job.ID, now clock.BootTime) {
	w := s.jobs[id]
	if w == nil || !w.open() {
		return
	}
	w.cancelled = true
	s.close(w, job.Cancelled, "cancelled", now)
}

// close sets the outcome of a job and stops its runs.
func (s *State) close(w *work, o job.Outcome, why string, now clock.BootTime) {
	w.outcome, w.closed = o, now
	s.touch(w)
	svc := s.service(w)
	s.open[svc] = slices.DeleteFunc(s.open[svc], func(x *work) bool { return x == w })
	for _, oc := range w.occs {
		for _, st := range oc.steps {
			for _, t := range st.tasks {
				for _, r := range slices.Clone(t.runs) {
					s.stop(r, why)
				}
			}
		}
	}
	s.closed = append(s.closed, w)
	s.Logger.Log("msg", "job has ended", "job", w.job.ID, "queue", w.job.Queue, "outcome", o, "why", why)
}

// conclude closes a job whose occurrences are all complete.
func (s *State) conclude(w *work, now clock.BootTime) {
	if w.open() && w.finished >= w.job.Occurrences() {
		s.close(w, job.Completed, "all tasks are done", now)
	}
}

// touch records that the progress of a job has changed.
func (s *State) touch(w *work) {
	w.dirty()
	s.changed = true
}

// Status is what callers are told of a job.
type Status struct {
	Known   bool
	Started bool
	Outcome job.Outcome
}

// Query returns the state of a job. An outcome is told only once it is stored.
func (s *State) Query(id job.ID) Status {
	w := s.jobs[id]
	if w == nil {
		return Status{}
	}
	st := Status{Known: true, Started: w.begun}
	if w.flushed == w.version {
		st.Outcome = w.outcome
	}
	return st
}

// Pending counts the open jobs of a queue of which no task has started.
func (s *State) Pending(queue string) int {
	n := 0
	for _, ws := range s.open {
		for _, w := range ws {
			if w.job.Queue == queue && !w.begun {
				n++
			}
		}
	}
	return n
}

// Stats sums up the state for metrics.
type Stats struct {
	Open, Known, Runners, Reached, Runs int
}

// Stats returns the size of the state.
func (s *State) Stats() Stats {
	c := Stats{Known: len(s.jobs), Runners: len(s.nodes)}
	for _, ws := range s.open {
		c.Open += len(ws)
	}
	for _, n := range s.nodes {
		c.Runs += len(n.runs)
		if n.contacted && !n.silent {
			c.Reached++
		}
	}
	return c
}
