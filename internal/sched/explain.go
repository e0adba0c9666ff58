package sched

import (
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/estimate"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/kv"
	"gypsumtrestle.example/gypsumtrestle/internal/quota"
)

const (
	// maxExplainedSteps bounds the steps of an explanation, since each looks at all
	// runners of the pool while the state is locked.
	maxExplainedSteps = 16
	// maxExplainedGang bounds the tasks of a gang for which runners are chosen. The time
	// that takes grows with their number times that of the runners.
	maxExplainedGang = 64
)

// Explanation is where the tasks of a job would go if it were submitted now.
type Explanation struct {
	Version   int64             `json:"version"` // of the configuration
	Service   string            `json:"service"`
	Priority  int               `json:"priority"`
	Attempts  int               `json:"attempts"` // as MaxAttempts in job.Terms
	Stretch   float64           `json:"stretch"`
	Target    time.Duration     `json:"target"`
	Permits   bool              `json:"permits,omitempty"`
	Objective time.Duration     `json:"objective"` // from acceptance
	Chain     time.Duration     `json:"chain"`     // expected run time of the longest chain of tasks
	Runners   int               `json:"runners"`   // of the pool
	Usable    int               `json:"usable"`    // of these
	Steps     []StepExplanation `json:"steps"`
	MoreSteps int               `json:"more,omitempty"` // that are left out
	Front     []FrontWork       `json:"front"`
	Further   []string          `json:"further,omitempty"` // see State.explainFurther
}

// StepExplanation is where the tasks of a step would go. The runner and the obstacles are
// those of its first task, as if the steps that it depends on were complete.
type StepExplanation struct {
	Tasks    int            `json:"tasks"`
	After    []int          `json:"after,omitempty"`
	Room     int            `json:"room"`             // tasks that have room now
	Runner   string         `json:"runner,omitempty"` // empty: none
	Why      []string       `json:"why,omitempty"`    // it was chosen, or the step cannot start
	Instead  string         `json:"instead,omitempty"`
	Expected time.Duration  `json:"expected"` // run time of a task
	Learned  bool           `json:"learned,omitempty"`
	Obstacle map[string]int `json:"obstacle,omitempty"` // number of runners by obstacle
	Unusable map[string]int `json:"unusable,omitempty"` // unusable ones by reason
}

// FrontWork is the waiting work of a pool that is placed before the job.
type FrontWork struct {
	Class string  `json:"class"`
	Jobs  int     `json:"jobs"`
	Tasks int     `json:"tasks"`
	Work  float64 `json:"work"` // in core-seconds
}

// Explain returns where the tasks of a job would go, and why, if it were accepted now. The
// state stays as it is: the job is not added, and what has side effects in a planning
// pass, such as its caches and the order in which learned run times are evicted, is
// neither used nor updated.
func (s *State) Explain(j *job.Job, now clock.BootTime, wall time.Time) (*Explanation, error) {
	if s.cfg == nil || s.cfg.Queues[j.Queue] == nil {
		return nil, errors.Errorf("no queue %q in the configuration", j.Queue)
	}
	js, expected, learned := s.hypothetical(j, now)
	svc := s.service(js)
	o, runners := js.occurrence(0), s.byPool[svc]
	e := &Explanation{
		Version: s.cfg.Version, Service: svc, Runners: len(runners),
		Priority: js.terms.Priority, Attempts: js.terms.MaxAttempts, Stretch: js.terms.Stretch, Target: js.terms.Target, Permits: js.terms.Permits,
		Objective: js.terms.Objective(js.chain), Chain: js.chain,
	}
	for _, rs := range runners {
		if s.usable(rs, now) {
			e.Usable++
		}
	}
	for i, st := range o.steps {
		if i == maxExplainedSteps {
			e.MoreSteps = len(o.steps) - i
			break
		}
		x := s.explainStep(runners, st, now)
		x.Expected, x.Learned = expected[i], learned[i]
		e.Steps = append(e.Steps, x)
	}
	e.Front = s.workInFront(candidate{
		occ: o, tier: js.knownTier(), priority: js.terms.Priority, deadlineClass: s.deadlineClass(js, js.chain, now), coreSeconds: js.total,
	}, now)
	e.Further = s.explainFurther(js, now, wall)
	return e, nil
}

// hypothetical returns a job that is not in the state, and the expected run times of its
// steps. Its ID is empty, so that it has no run anywhere.
func (s *State) hypothetical(j *job.Job, now clock.BootTime) (js *jobState, expected []time.Duration, learned []bool) {
	def := *j
	def.ID = ""
	js = &jobState{def: &def, created: kv.Revision(s.Term) + 1, acceptedAt: now}
	js.configure(s.cfg) // before it has an account, which that would configure
	if js.limits != nil {
		if js.account = s.ledger.Find(def.Workspace); js.account == nil {
			js.account = &quota.Account{Name: def.Workspace}
			js.account.Configure(js.limits.Cap)
		}
	}
	expected, learned = make([]time.Duration, len(def.Steps)), make([]bool, len(def.Steps))
	ends := make([]time.Duration, len(def.Steps))
	for i := range def.Steps {
		sp := &def.Steps[i]
		expected[i] = sp.Estimate
		if !sp.LongRunning {
			expected[i], learned[i] = s.runTimes.Peek(estimate.Key{Queue: def.Queue, Step: i, Image: sp.Image}, sp.Estimate)
		}
		ends[i] = after(ends, sp) + expected[i]
		js.chain = max(js.chain, ends[i])
		js.total += float64(sp.Count) * float64(sp.Resources.CPU) / 1000 * expected[i].Seconds()
	}
	js.beyond = !def.LongRunning() && slices.Contains(s.lines.Beyond(now), def.Workspace)
	return js, expected, learned
}

// knownTier returns the tier of a job without giving tags to jobs that need one.
func (js *jobState) knownTier() tier {
	switch {
	case js.def.LongRunning():
		return longRunningTier
	case js.beyond:
		return beyondShareTier
	}
	return withinShareTier
}

func (s *State) explainStep(runners []*runnerState, st *step, now clock.BootTime) StepExplanation {
	x := StepExplanation{Tasks: len(st.tasks), After: st.spec.DependsOn, Obstacle: make(map[string]int), Unusable: make(map[string]int)}
	t := st.tasks[0]
	for _, rs := range runners {
		o := s.obstacleTo(rs, t, now)
		if o == unusable {
			x.Unusable[s.usability(rs, now).String()]++
		}
		if o == noObstacle && !s.isolationAllows(rs, t, now) {
			o = isolated
		}
		if o != noObstacle {
			x.Obstacle[o.String()]++
			continue
		}
		x.Room += roomFor(rs, t, len(st.tasks))
	}
	x.Room = min(x.Room, len(st.tasks), belowCap(st))
	switch {
	case s.capacityOutdated(s.service(st.occ.job), now):
		x.Room, x.Why = 0, []string{"capacity of the runners not known to be current"}
	case x.Room == 0:
	case st.spec.Gang:
		s.explainGang(&x, runners, st, now)
	default:
		best, other := s.chooseApart(runners, t, now)
		x.Runner, x.Why = string(best.ID), s.whyChosen(best, t)
		if other != nil {
			x.Instead = string(other.ID)
			x.Why = append(x.Why, "apart from an image that interferes")
		}
	}
	return x
}

// explainGang chooses runners for a gang as placeGang does.
func (s *State) explainGang(x *StepExplanation, runners []*runnerState, st *step, now clock.BootTime) {
	if x.Room < len(st.tasks) {
		x.Why = []string{"no room for all tasks together"}
		return
	}
	if len(st.tasks) > maxExplainedGang {
		x.Why = []string{"runners of a large gang are not chosen here"}
		return
	}
	groups := rackGroups(runners, st.spec)
	for i, group := range groups {
		chosen := s.fitGang(group, st, now)
		if chosen == nil {
			continue
		}
		x.Runner, x.Why = string(chosen[0].ID), []string{"gang: all tasks together"}
		if i < len(groups)-1 {
			x.Why = append(x.Why, "in one rack")
		}
		return
	}
	x.Room, x.Why = 0, []string{"no room for all tasks together"}
}

// roomFor returns how many of n tasks of a step that has no run fit on a runner that may
// take them.
func roomFor(rs *runnerState, t *task, n int) int {
	sp := t.step.spec
	if sp.PerRunner > 0 {
		n = min(n, sp.PerRunner)
	}
	if rs.health.probing {
		n = min(n, 1)
	}
	d, free := sp.Demand(), rs.freeFor(t)
	for _, r := range [][2]int{{d.CPU, free.CPU}, {d.Mem, free.Mem}, {d.GPU, free.GPU}} {
		if r[0] > 0 {
			n = min(n, r[1]/r[0])
		}
	}
	return n
}

// belowCap returns how many tasks of a step the cap of the workspace allows to start.
func belowCap(st *step) int {
	a, fits := st.occ.job.account, (*quota.Account).FitsBeside
	if st.spec.LongRunning {
		fits = (*quota.Account).Fits
	}
	n := 0
	for n < len(st.tasks) && fits(a, st.spec.Resources, n+1) {
		n++
	}
	return n
}

// whyChosen returns why a runner is the best one for a task, in the order of score.
func (s *State) whyChosen(rs *runnerState, t *task) []string {
	sp := t.step.spec
	var why []string
	switch {
	case sp.LongRunning:
		why = append(why, "spread over racks")
	case sp.Rack != "" && rs.Rack == sp.Rack:
		why = append(why, "near its data")
	case sp.Rack != "":
		why = append(why, "no room near its data")
	}
	switch {
	case sp.LongRunning && rs.longRunning > 0:
		return append(why, "beside other long-running tasks")
	case sp.LongRunning:
		return append(why, "without other long-running tasks")
	case sp.BestEffort && rs.latencySensitive > 0:
		why = append(why, "beside latency-sensitive tasks")
	}
	return append(why, "packed")
}

// workInFront returns the waiting tasks of a job's pool that are placed before it. What an
// occurrence still needs is that of the last planning pass.
func (s *State) workInFront(c candidate, now clock.BootTime) []FrontWork {
	front := []FrontWork{{Class: "long-running"}, {Class: "timely"}, {Class: "late"}, {Class: "long overdue"}}
	for _, js := range s.open[s.service(c.occ.job)] {
		for _, o := range js.occs {
			a := candidate{occ: o, tier: js.knownTier(), coreSeconds: js.total}
			chain := js.chain
			if o.remaining.done >= 0 {
				chain, a.coreSeconds = o.remaining.chain, o.remaining.work
			}
			if js.terms != nil {
				a.priority, a.deadlineClass = js.terms.Priority, s.deadlineClass(js, chain, now)
			}
			if a.compare(c) > 0 {
				continue
			}
			f := &front[1+int(a.deadlineClass)]
			if a.tier == longRunningTier {
				f = &front[0]
			}
			if tasks, work := s.waitingTasks(o, now); tasks > 0 {
				f.Jobs, f.Tasks, f.Work = f.Jobs+1, f.Tasks+tasks, f.Work+work
			}
		}
	}
	return front
}

// waitingTasks returns the tasks of an occurrence that could be started if they had room,
// and their work in core-seconds.
func (s *State) waitingTasks(o *occurrence, now clock.BootTime) (tasks int, work float64) {
	for _, st := range o.steps {
		if st.idle == 0 || !o.ready(st) || capped(st) {
			continue
		}
		for _, t := range st.tasks {
			if s.startable(t, now) {
				tasks++
				work += float64(st.spec.Resources.CPU) / 1000 * st.expected.Seconds()
			}
		}
	}
	return tasks, work
}

// explainFurther returns lines on what concerns the whole job.
func (s *State) explainFurther(js *jobState, _ clock.BootTime, wall time.Time) []string {
	var lines []string
	if due := js.def.Due(0); js.def.Repeats > 0 && wall.Add(s.Limits.EarlyStart/2).Before(due) {
		lines = append(lines, "not due before "+due.UTC().Format(time.RFC3339))
	}
	if js.beyond {
		lines = append(lines, "beyond the share of its workspace: after all jobs within theirs")
	}
	if w := js.def.Workspace; w != "" && js.limits == nil {
		lines = append(lines, fmt.Sprintf("workspace %q is not configured: no cap counted", w))
	}
	if slices.ContainsFunc(js.def.Steps, func(sp job.Step) bool { return js.account.TooLarge(sp.Resources, together(&sp)) }) {
		lines = append(lines, "a task exceeds the cap of its workspace: it never starts below this cap")
	}
	return lines
}
