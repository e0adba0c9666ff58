package sched

import (
	"cmp"
	"slices"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/crash"
	"gypsumtrestle.example/gypsumtrestle/internal/estimate"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/kv"
	"gypsumtrestle.example/gypsumtrestle/internal/quota"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// phase is the phase of a run.
type phase int

const (
	starting phase = iota // start requested, not yet confirmed
	running
	stopping // stop requested; its result may be outstanding
)

// run is one attempt of a task on a runner.
type run struct {
	task          *task
	attempt       int
	runner        *runnerState
	phase         phase
	demand        job.Resources
	scheduledAt   clock.BootTime // when the run was scheduled or adopted
	confirmedAt   clock.BootTime // when the runner first confirmed it
	stopConfirmed clock.BootTime // when the stop was confirmed; zero: not yet
	percent       int            // progress that the runner reports; of a best-effort task, its throttle
	throttle      int            // desired throttle in percent of full speed
	throttledAt   clock.BootTime // when the throttle was last changed
	load          int            // as in runner.Run
	stopReason    string         // why it is stopped
	replyUntil    clock.BootTime // until when a start without a reply is repeated; zero: none was sent, or it is withheld
	withheldAt    clock.BootTime // since when its start is withheld; zero: it is not
	stalledSince  clock.BootTime // since when it uses no CPU; zero: it does
	latencyAt     clock.BootTime // when its latency was last observed
	// The flags are together, since passes over all runs are limited by the memory that
	// these take.

	// startUnknown is set if a start had no reply, so that it may still be
	// carried out even if a repeated one is rejected.
	startUnknown bool
	unsettled    bool // started on the previous incarnation of the runner
	startSeen    bool // confirmedAt is when the runner accepted the start
	resumed      bool // started from a checkpoint
	sending      bool // a start or stop of the run is queued or in flight
	startSent    bool // a start is in flight
}

// task is one task of an occurrence.
type task struct {
	job        *jobState
	name       job.Task
	step       *step
	done       bool
	failed     []int // attempts that failed
	attempt    int   // highest attempt started or reserved
	checkpoint string
	runs       []*run
	notBefore  clock.BootTime // not started again before this time
	avoid      []runner.ID    // runners on which it failed or stalled, used only if no other fits
	retried    bool           // a slow or stalled run was given a copy or another attempt
	endedAt    clock.BootTime // when its last run ended
	scheduled  bool           // this term has scheduled a run
	keptOn     *runnerState   // keeps room for it; nil: none
	// possibleResult is set if the lease of a run expired while its runner was
	// unreachable, so that the run may have ended as done.
	possibleResult bool
	// unreported is set once the task was started although an earlier run may have
	// ended as done, or if that is not known.
	unreported bool
	// reserved is the attempt number of the next run, stored with the job's
	// progress of version reservedVersion or later; 0: none. So is the record
	// of a suspect.
	reserved        int
	reservedVersion uint64
	reservedFrom    int // highest attempt apart from the reserved one
	crashes         crash.Record
	counted         []countedStart // in crashes.Unresolved
	lostStarts      lostStarts
	proven          bool // a run of this term went on for crash.ProvenAfter
}

// live reports whether a run may exist.
func (t *task) live() bool { return len(t.runs) > 0 }

// step is one step of an occurrence.
type step struct {
	occ     *occurrence
	spec    *job.Step
	index   int
	tasks   []*task
	done    int // done tasks
	idle    int // tasks that are not done and have no run
	permits permits
	// startable is how many waiting tasks the cap of the workspace allowed to start in the
	// last full planning pass.
	startable int
	// siblings are the run times of its tasks, and expected how long a task is expected
	// to run, when that was last computed.
	siblings estimate.Siblings
	expected time.Duration
}

// complete reports whether all tasks of the step are done.
func (s *step) complete() bool { return s.done == len(s.tasks) }

// occurrence is one pass through the steps of a job.
type occurrence struct {
	job       *jobState
	n         int
	due       time.Time
	steps     []*step
	done      int           // complete steps
	remaining remainingWork // see State.remaining
}

// ready reports whether the steps that s depends on are complete.
func (o *occurrence) ready(s *step) bool {
	for _, a := range s.spec.DependsOn {
		if !o.steps[a].complete() {
			return false
		}
	}
	return true
}

// jobState is a job with its progress.
type jobState struct {
	def   *job.Job
	queue *job.Queue // nil if it is not configured
	// terms are those of the last configuration that had the queue, or the stored
	// ones; nil: an earlier version stored the job, and this term has seen none.
	terms *job.Terms
	// termsStored is set if the stored progress has terms.
	termsStored bool
	// limits are those of the last configuration that had the workspace of the job, or
	// those stored with the job; nil: it has no workspace.
	limits     *job.WorkspaceLimits
	account    *quota.Account // of its workspace; nil: it has none
	created    kv.Revision
	acceptedAt clock.BootTime // acceptance time
	outcome    job.Outcome
	cancelled  bool
	beyond     bool // its workspace's share; see beyondShare
	tooLarge   bool // a task of it exceeds the cap of its workspace on its own, which was logged
	started    bool // a task was scheduled
	// begun is set once a runner has confirmed a run. Callers count a job as
	// waiting until then: a start may be lost with its runner.
	begun    bool
	occs     []*occurrence // those that are due or have progress, but for dropped ones
	finished int           // complete occurrences
	// dropped are the complete occurrences that are no longer in occs; retried has
	// the attempts of those of their tasks whose earlier results must be withheld.
	dropped  job.Ranges
	retried  map[job.Task]int
	released int            // all occurrences before this one have been created
	chain    time.Duration  // estimated run time of the longest chain of tasks; see updateChain
	chainAt  clock.BootTime // when chain was last changed after the job was added; zero: never
	total    float64        // estimated core-seconds of one occurrence
	// version counts the changes of the progress; storedVersion is the version
	// in the store.
	version, storedVersion uint64
	dirty                  bool           // in State.dirty
	storing                bool           // its progress was taken; see TakeProgress
	rev                    kv.Revision    // of the progress in the store; 0: none
	closed                 clock.BootTime // when the outcome was set
	withoutTasks           bool           // the progress is stored without tasks
	storedTasks            map[job.Task]*job.TaskProgress
	isolatedOn             *isolation // nil: no suspect waits or is being tried
}

func (js *jobState) open() bool { return js.outcome == job.Open && !js.cancelled }

// occurrence returns the n-th occurrence, creating it if needed.
func (js *jobState) occurrence(n int) *occurrence {
	for _, o := range js.occs {
		if o.n == n {
			return o
		}
	}
	o := &occurrence{job: js, n: n, due: js.def.Due(n), remaining: remainingWork{done: -1}}
	for i := range js.def.Steps {
		s := &step{occ: o, spec: &js.def.Steps[i], index: i, expected: js.def.Steps[i].Estimate}
		s.tasks = make([]*task, s.spec.Count)
		for k := range s.tasks {
			t := &task{job: js, step: s, name: job.Task{Job: js.def.ID, Occ: n, Step: i, Index: k}}
			if p := js.storedTasks[t.name]; p != nil {
				t.done, t.failed, t.attempt, t.checkpoint = p.Done, p.Failed, p.Attempt, p.Checkpoint
				t.unreported = p.Attempt > 1
				t.crashes = crash.Record{Crashes: p.Crashes, Immediate: p.Crashes, Suspect: p.Suspect, Unresolved: p.Unresolved}
				t.inheritCounted(p)
				if t.done {
					s.done++
				}
			}
			if !t.done {
				s.idle++
			}
			s.tasks[k] = t
		}
		if s.complete() {
			o.done++
		}
		o.steps = append(o.steps, s)
	}
	js.occs = append(js.occs, o)
	if o.done == len(o.steps) {
		js.finished++
	}
	return o
}

// task returns a task by its name, or nil if the job does not have it.
func (js *jobState) task(name job.Task) *task {
	if name.Occ >= js.def.Occurrences() || name.Step >= len(js.def.Steps) || name.Index >= js.def.Steps[name.Step].Count {
		return nil
	}
	if js.dropped.Has(name.Occ) {
		return nil
	}
	return js.occurrence(name.Occ).steps[name.Step].tasks[name.Index]
}

// maxCompleteTasks is how many tasks of complete occurrences a job keeps. The
// record of a job is written whole at each change, and its size is limited.
const maxCompleteTasks = 5000

// openOccurrences returns how many occurrences are in progress.
func (js *jobState) openOccurrences() int {
	return len(js.occs) - (js.finished - js.dropped.Len())
}

// dropComplete drops the complete occurrences of a job once they have many tasks.
func (js *jobState) dropComplete() {
	perOccurrence := 0
	for i := range js.def.Steps {
		perOccurrence += js.def.Steps[i].Count
	}
	if (len(js.occs)-js.openOccurrences())*perOccurrence <= maxCompleteTasks {
		return
	}
	js.occs = slices.DeleteFunc(js.occs, func(o *occurrence) bool {
		if o.done < len(o.steps) || o.live() {
			return false
		}
		for _, st := range o.steps {
			for _, t := range st.tasks {
				if t.unreported {
					js.retry(t.name, t.attempt)
				}
			}
		}
		js.dropped = js.dropped.Add(o.n)
		return true
	})
}

// retry records the attempts of a task of a dropped occurrence.
func (js *jobState) retry(name job.Task, attempt int) {
	if js.retried == nil {
		js.retried = make(map[job.Task]int)
	}
	js.retried[name] = attempt
}

// live reports whether a run of the occurrence may exist.
func (o *occurrence) live() bool {
	for _, st := range o.steps {
		if slices.ContainsFunc(st.tasks, (*task).live) {
			return true
		}
	}
	return false
}

// progress returns the durable record. That of a closed job keeps the attempts
// that a later term needs to withhold the results of earlier ones.
func (js *jobState) progress() *job.Progress {
	if js.withoutTasks {
		return &job.Progress{Outcome: js.outcome, Started: js.started}
	}
	p := &job.Progress{Outcome: js.outcome, Started: js.started, Complete: slices.Clone(js.dropped)}
	if js.outcome == job.Open {
		p.Terms = js.progressTerms()
	}
	js.termsStored = p.Terms != nil
	for name, attempt := range js.retried {
		p.Tasks = append(p.Tasks, job.TaskProgress{Occ: name.Occ, Step: name.Step, Index: name.Index, Done: true, Attempt: attempt})
	}
	slices.SortFunc(p.Tasks, func(a, b job.TaskProgress) int {
		return cmp.Or(cmp.Compare(a.Occ, b.Occ), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
	})
	closed := js.outcome != job.Open
	for _, o := range js.occs {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if !t.done && len(t.failed) == 0 && t.attempt == 0 && t.crashes == (crash.Record{}) || closed && t.attempt <= 1 {
					continue
				}
				r := job.TaskProgress{
					Occ: o.n, Step: s.index, Index: t.name.Index,
					Done: t.done, Failed: slices.Clone(t.failed), Attempt: t.attempt,
				}
				if !t.done {
					r.Checkpoint = t.checkpoint
					r.Crashes, r.Suspect, r.Unresolved = t.crashes.Crashes, t.crashes.Suspect, t.crashes.Unresolved
					r.Counted = t.storedCounted()
				}
				p.Tasks = append(p.Tasks, r)
			}
		}
	}
	return p
}
