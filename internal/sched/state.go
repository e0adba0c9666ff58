package sched

import (
	"slices"
	"time"

	"github.com/go-kit/log"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/estimate"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/kv"
	"gypsumtrestle.example/gypsumtrestle/internal/machine"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// Limits are the time bounds of the platform.
type Limits struct {
	MaxRunnerLease   time.Duration // longest lease that a runner accepts
	OutcomeRetention time.Duration // how long callers can query the outcome of a job
	// RunnerTakeover is how long after the start of a term a previous leader
	// may still extend the lease of a runner that has not replied in this term.
	RunnerTakeover time.Duration
	EarlyStart     time.Duration // how long before its due time a task may start
	// Settle is how long after the start of a term runs that a previous leader
	// stopped, or whose lease has just ended, may still be reported as running.
	Settle          time.Duration
	MaintenanceTime time.Duration // time after which a machine in maintenance has returned
	MoveTime        time.Duration // time after which a moved machine has returned to service
	// MachineTakeover is how long after the start of a term the leader must not
	// send commands to a machine to which a previous term may have sent one.
	MachineTakeover time.Duration
}

// State is the state of one leadership term. It is not safe for concurrent use.
type State struct {
	Term   runner.Term
	Limits Limits
	Logger log.Logger
	interferences

	startedAt clock.BootTime
	// confirmedAt is the latest time at which this term certainly led; see
	// ConfirmTerm.
	confirmedAt  clock.BootTime
	cfg          *job.Config
	jobs         map[job.ID]*jobState
	open         map[string][]*jobState // by service, in order of acceptance
	runners      map[runner.ID]*runnerState
	byMachine    map[machine.ID][]*runnerState // all runners that name it
	ignored      map[runner.ID]runner.Info     // entries that are not applied
	byPool       map[string][]*runnerState     // all runners, ordered by ID
	usableByPool map[string][]*runnerState     // see usableRunners
	lastFullPlan clock.BootTime                // time of the last full planning pass
	// inherited holds the roster entries of previous terms whose runners have
	// not replied in this term.
	inherited map[runner.ID]*inherited
	rostered  map[runner.ID]bool // set if the stored roster has an open entry
	// storedRoster is the roster that the store holds; nil if that is not known.
	storedRoster     map[runner.ID]RosterEntry
	expiredUnreached bool              // an inherited entry expired without a reply from its runner
	noOpenInherited  bool              // no inherited entry is open
	possiblyRunning  map[job.Task]bool // tasks of inherited closed entries
	commands         []Command
	policyQueries    []PolicyQuery
	batchQueries     int // queries for batch steps without a reply
	// dirty are the jobs whose progress must be stored, the longest waiting first.
	dirty          []*jobState
	closed         []*jobState // jobs with an outcome, the earliest first
	termsLearned   []*jobState // jobs whose terms have just become known
	waves          map[int]*wave
	inheritedDues  map[int]time.Time // when the waves of previous terms are due
	machineStates  map[machine.ID]*machineState
	listedAt       clock.BootTime              // when the machines were last listed
	inputCurrentAt clock.BootTime              // time up to which the input is complete
	inputRev       kv.Revision                 // revision up to which the input has been read
	shortage       bool                        // a pool has fewer machines than its timely work needs
	poolsLoggedAt  clock.BootTime              // when the pools were last logged
	waitLoggedAt   clock.BootTime              // when the waiting tasks were last logged
	waiting        int                         // see Stats
	arrivals       map[string]arrival          // by pool
	rankArrivals   map[loadRank]arrival        // nil: no job has arrived
	loadPeaks      map[string]loadPeak         // by pool; nil: no load was computed
	maintained     map[machine.ID]*maintenance // see indexMaintenances
	leaving        map[*step]int               // long-running tasks that must leave and fit nowhere, in this pass
	takers         map[*step][]*runnerState    // see hasRoomElsewhere
	unplaced       map[*step]int               // the same and those that wait, when runners were last held
	caps
	shares
	needs         map[string]longRunningNeed  // of pools in which long-running tasks have no run, at that time
	heldAt        clock.BootTime              // when that was
	standby       []*machineState             // see indexStandby
	runTimes      estimate.Table              // learned in this term
	suspected     map[*jobState]bool          // open jobs that may have suspects
	newlyIsolated []runner.ID                 // see NewlyIsolated
	countedOn     map[runner.ID][]job.Task    // tasks of which previous terms counted starts on a runner
	losses        map[string][]clock.BootTime // when runners crashed or fell silent, by pool
	unstable      map[string]bool             // by pool; see updateStability
	unstableAt    map[string]clock.BootTime   // when a pool was last unstable
	intents       map[machine.ID]Intent
	// lastCommandEnd is when the last command to a machine had a reply or
	// failed without one.
	lastCommandEnd map[machine.ID]clock.BootTime
	// storedIntents are the intents that the store holds.
	storedIntents map[machine.ID]Intent
}

// New returns the state at the start of a term.
func New(t runner.Term, now clock.BootTime, l Limits, logger log.Logger) *State {
	logger.Log("msg", "no run times learned in this term, declared estimates used until they prove wrong")
	return &State{
		Term:           t,
		Limits:         l,
		Logger:         logger,
		startedAt:      now,
		inputCurrentAt: now,
		jobs:           make(map[job.ID]*jobState),
		open:           make(map[string][]*jobState),
		runners:        make(map[runner.ID]*runnerState),
		byMachine:      make(map[machine.ID][]*runnerState),
		ignored:        make(map[runner.ID]runner.Info),
		byPool:         make(map[string][]*runnerState),
		usableByPool:   make(map[string][]*runnerState),
		inherited:      make(map[runner.ID]*inherited),
		rostered:       make(map[runner.ID]bool),
		waves:          make(map[int]*wave),
		inheritedDues:  make(map[int]time.Time),
		machineStates:  make(map[machine.ID]*machineState),
		arrivals:       make(map[string]arrival),
		intents:        make(map[machine.ID]Intent),
		maintained:     make(map[machine.ID]*maintenance),
		leaving:        make(map[*step]int),
		takers:         make(map[*step][]*runnerState),
		unplaced:       make(map[*step]int),
		suspected:      make(map[*jobState]bool),
		countedOn:      make(map[runner.ID][]job.Task),
		losses:         make(map[string][]clock.BootTime),
		unstable:       make(map[string]bool),
		unstableAt:     make(map[string]clock.BootTime),
		lastCommandEnd: make(map[machine.ID]clock.BootTime),
		needs:          make(map[string]longRunningNeed),
	}
}

// Configure activates a configuration. Open jobs move to the pool that it assigns
// to their queue.
func (s *State) Configure(c *job.Config) {
	s.cfg = c
	s.configureShares()
	for _, js := range s.jobs {
		s.configureJob(js, c)
	}
	for svc, jobs := range s.open {
		kept := jobs[:0:0]
		for _, js := range jobs {
			if s.service(js) == svc {
				kept = append(kept, js)
			}
		}
		if len(kept) == len(jobs) {
			continue
		}
		moved := slices.DeleteFunc(slices.Clone(jobs), func(js *jobState) bool { return s.service(js) == svc })
		s.open[svc] = kept
		for _, js := range moved {
			s.open[s.service(js)] = append(s.open[s.service(js)], js)
		}
	}
}

// service returns the pool that runs a job: the pool of its queue, or the pool
// at its acceptance if the queue is no longer configured.
func (s *State) service(js *jobState) string {
	if q := js.queue; q != nil {
		return q.Service
	}
	return js.def.Service
}

// configureJob applies a configuration to a job. If its queue is dropped, the last terms
// of the queue are stored for later leaders, unless the job has them.
func (s *State) configureJob(js *jobState, c *job.Config) {
	defer s.checkCap(js)
	dropped, unknown := js.queue != nil && c.Queues[js.def.Queue] == nil, js.terms == nil
	js.configure(c)
	if unknown && js.terms != nil && js.open() {
		s.termsLearned = append(s.termsLearned, js)
	}
	if dropped && js.open() && (js.termsStored || js.progressTerms() != nil) {
		s.markChanged(js)
	}
}

// InputCurrent records that all jobs accepted up to now, and up to a revision,
// have been read from the store.
func (s *State) InputCurrent(rev kv.Revision, now clock.BootTime) {
	s.inputCurrentAt, s.inputRev = now, max(s.inputRev, rev)
}

// AddJob adds a job from the store, with its progress if it has any: created is
// the revision at which the job was accepted, rev that of its progress. A job
// that is not in the state, although the input was read up to its acceptance, has
// expired: its record may not have been deleted yet when it was listed.
func (s *State) AddJob(j *job.Job, created kv.Revision, p *job.Progress, rev kv.Revision, now clock.BootTime, wall time.Time) {
	switch old := s.jobs[j.ID]; {
	case old == nil && created <= s.inputRev:
		s.Logger.Log("msg", "expired job ignored", "job", j.ID, "rev", int64(created), "read", int64(s.inputRev))
		return
	case old == nil:
	case old.open() || created <= old.created:
		return
	default: // accepted again after its deletion, of which the reply was lost
		s.RemoveExpired([]ExpiredJob{{ID: j.ID, Created: old.created}})
	}
	age := min(max(wall.Sub(j.Accepted), 0), maxJobAge)
	js := &jobState{def: j, created: created, rev: rev, acceptedAt: now.Add(-age), terms: j.Terms, limits: j.Limits}
	if p != nil {
		js.outcome, js.started = p.Outcome, p.Started
		if p.Terms != nil {
			js.terms, js.termsStored = p.Terms, true
		}
		js.storedTasks = make(map[job.Task]*job.TaskProgress, len(p.Tasks))
		js.dropped = slices.Clone(p.Complete)
		js.finished = js.dropped.Len()
		for i := range p.Tasks {
			t := &p.Tasks[i]
			name := job.Task{Job: j.ID, Occ: t.Occ, Step: t.Step, Index: t.Index}
			if js.dropped.Has(t.Occ) {
				js.retry(name, t.Attempt)
			} else {
				js.storedTasks[name] = t
			}
		}
	}
	s.openAccount(js)
	s.awaitTag(js, now, wall)
	if s.cfg != nil {
		js.configure(s.cfg)
	}
	s.jobs[j.ID] = js
	if js.outcome != job.Open {
		js.closed = now
		s.closed = append(s.closed, js)
		return
	}
	s.estimate(js)
	s.inheritCrashes(js)
	for t := range js.storedTasks {
		js.occurrence(t.Occ)
	}
	if js.def.Repeats == 0 {
		js.occurrence(0)
	}
	svc := s.service(js)
	s.open[svc] = append(s.open[svc], js)
	if created > kv.Revision(s.Term) && js.arrivesWithinCap() {
		s.recordArrival(js, now)
	}
	s.checkCap(js)
	s.Logger.Log("msg", "job added", "job", j.ID, "queue", j.Queue, "service", svc, "rev", int64(created), "begun", js.started)
	s.closeIfDone(js, now)
}

// AddUnreadableJob adds a job whose progress, at the given revision, cannot be
// decoded. It ends as failed, which replaces the progress: nobody knows which of its
// tasks are done, so that none may be started.
func (s *State) AddUnreadableJob(j *job.Job, created, rev kv.Revision, now clock.BootTime) {
	if s.jobs[j.ID] != nil || created <= s.inputRev {
		return
	}
	js := &jobState{def: j, created: created, rev: rev, acceptedAt: now, started: true}
	s.openAccount(js)
	if s.cfg != nil {
		js.configure(s.cfg)
	}
	s.jobs[j.ID] = js
	s.close(js, job.Failed, "progress cannot be decoded", now)
}

// CancelJob closes a job as cancelled and stops its runs.
func (s *State) CancelJob(id job.ID, now clock.BootTime) {
	js := s.jobs[id]
	if js == nil || !js.open() {
		return
	}
	js.cancelled = true
	s.close(js, job.Cancelled, "cancelled", now)
}

// close sets the outcome of a job and stops its runs.
func (s *State) close(js *jobState, o job.Outcome, why string, now clock.BootTime) {
	js.outcome, js.closed = o, now
	s.markChanged(js)
	svc := s.service(js)
	s.open[svc] = slices.DeleteFunc(s.open[svc], func(x *jobState) bool { return x == js })
	for _, oc := range js.occs {
		for _, st := range oc.steps {
			for _, t := range st.tasks {
				for _, r := range slices.Clone(t.runs) {
					s.stop(r, why)
				}
			}
		}
	}
	s.closed = append(s.closed, js)
	s.Logger.Log("msg", "job ended", "job", js.def.ID, "queue", js.def.Queue, "outcome", o, "why", why)
}

// closeIfDone closes a job if all its occurrences are complete.
func (s *State) closeIfDone(js *jobState, now clock.BootTime) {
	if js.open() && js.finished >= js.def.Occurrences() {
		s.close(js, job.Completed, "all tasks are done", now)
	}
}

// markChanged records that the progress of a job must be stored.
func (s *State) markChanged(js *jobState) {
	js.version++
	if !js.dirty {
		js.dirty = true
		s.dirty = append(s.dirty, js)
	}
}

// Status is the state of a job as callers see it.
type Status struct {
	Found   bool
	Started bool
	Outcome job.Outcome
	// Workspace is that of the job; empty: none, or an earlier version replied.
	Workspace string
}

// Query returns the state of a job. The job is reported as open until its outcome
// has been stored.
func (s *State) Query(id job.ID) Status {
	js := s.jobs[id]
	if js == nil {
		return Status{}
	}
	st := Status{Found: true, Started: js.started, Workspace: js.def.Workspace}
	if js.storedVersion == js.version {
		st.Outcome = js.outcome
	}
	return st
}
