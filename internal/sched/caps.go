package sched

import (
	"maps"
	"slices"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/kv"
	"gypsumtrestle.example/gypsumtrestle/internal/quota"
)

const (
	// capLogInterval is the time between two reports of what workspaces use.
	capLogInterval = 5 * time.Second
	// maxCapLines bounds the lines of one report.
	maxCapLines = 16
	// longRunningReserveTime is how long a long-running task that waits keeps other tasks
	// of its workspace from using the room below the cap. A machine is moved for it in
	// less; a task that no runner can take must not keep the others waiting.
	longRunningReserveTime = 10 * time.Second
)

// caps is what the state holds for the caps of workspaces.
type caps struct {
	ledger quota.Ledger // of what workspaces may have running
	// previousCounted is set once the ledger has the bounds for runs of previous terms, of
	// previousRunners runners.
	previousCounted bool
	previousRunners int
	capsLoggedAt    clock.BootTime // when the ledger was last logged
}

// openAccount gives a job the account of its workspace.
func (s *State) openAccount(js *jobState) {
	if js.account = s.ledger.Open(js.def.Workspace); js.account == nil {
		return
	}
	if js.limits != nil {
		js.account.Recorded(js.limits.Cap, int64(js.created))
	}
	if js.created <= kv.Revision(s.Term) {
		s.previousCounted = false
	}
}

// checkCap logs, once for each job, a step of which no task can ever start below the cap.
func (s *State) checkCap(js *jobState) {
	if js.account == nil || js.tooLarge || !js.open() {
		return
	}
	for i := range js.def.Steps {
		sp := &js.def.Steps[i]
		if n := together(sp); js.account.TooLarge(sp.Resources, n) {
			js.tooLarge = true
			l := js.account.Limit()
			s.Logger.Log("msg", "job waits: a task exceeds the cap of its workspace", "job", js.def.ID, "workspace", js.account.Name, "step", i, "tasks", n,
				"cpu", sp.Resources.CPU, "mem", sp.Resources.Mem, "gpu", sp.Resources.GPU, "cap_cpu", l.CPU, "cap_mem", l.Mem, "cap_gpu", l.GPU)
			return
		}
	}
}

// together returns how many tasks of a step are started together at least.
func together(sp *job.Step) int {
	if sp.Gang {
		return sp.Count
	}
	return 1
}

// capped reports whether the cap of its workspace keeps the tasks of a step from
// starting. All of them need the same.
func capped(st *step) bool {
	a := st.occ.job.account
	switch {
	case a == nil:
		return false
	case st.spec.LongRunning:
		return !a.Fits(st.spec.Resources, together(st.spec))
	}
	return !a.FitsBeside(st.spec.Resources, together(st.spec))
}

// overCap reports whether the cap of its workspace keeps a task from starting. A task
// that is not speculative starts only after its present run has ended, which frees what
// it needs unless the cap was lowered.
func overCap(t *task) bool {
	if a := t.job.account; a != nil && t.live() && !t.step.spec.Speculative {
		return a.Over()
	}
	return capped(t.step)
}

// onlyCapped reports whether a copy of a run of a task could start if the workspace were
// not at its cap, which the end of the run changes unless the cap was lowered.
func (s *State) onlyCapped(runners []*runnerState, t *task, now clock.BootTime) bool {
	return capped(t.step) && !t.job.account.Over() && slices.ContainsFunc(runners, func(rs *runnerState) bool {
		return s.obstacleTo(rs, t, now) == aboveCap
	})
}

// count counts a run in the ledger, which holds all runs that may be on a runner.
func (r *run) count() { r.task.job.account.Add(r.task.step.spec.Resources) }

// uncount is the reverse of count.
func (r *run) uncount() { r.task.job.account.Remove(r.task.step.spec.Resources) }

// planCaps prepares what a planning pass needs to know of caps.
func (s *State) planCaps(full bool, now clock.BootTime) {
	if s.ledger.Empty() && s.lines.Len() == 0 {
		return
	}
	if full || !s.previousCounted {
		s.countPrevious()
	}
	if full {
		s.countWaiting(now)
		s.logCaps(now)
	}
}

// countPrevious computes upper bounds for what runners of previous terms that have not
// replied may have running.
func (s *State) countPrevious() {
	if s.previousCounted && s.previousRunners == 0 && len(s.inherited) == 0 {
		return
	}
	s.previousCounted, s.previousRunners = true, len(s.inherited)
	var p quota.Previous
	for id, in := range s.inherited {
		if !in.closed {
			var capacity job.Resources
			if rs := s.runners[id]; rs != nil {
				capacity = rs.Capacity
			}
			p.AddRunner(capacity)
			continue
		}
		for _, name := range in.tasks {
			if js := s.jobs[name.Job]; js != nil && name.Step < len(js.def.Steps) {
				p.AddListed(js.account, js.def.Steps[name.Step].Resources)
			}
		}
	}
	if len(s.inherited) > 0 {
		for _, js := range s.jobs {
			if js.account != nil && js.created <= kv.Revision(s.Term) {
				addUnknownRuns(&p, js)
			}
		}
	}
	s.ledger.SetPrevious(&p)
}

// addUnknownRuns adds the runs of a job of a previous term that may exist unknown.
func addUnknownRuns(p *quota.Previous, js *jobState) {
	for i := range js.def.Steps {
		sp, idle := &js.def.Steps[i], 0
		for _, o := range js.occs {
			idle += o.steps[i].idle
		}
		if n := quota.UnknownRuns(sp, js.outcome, js.open(), js.def.Repeats > 0, idle); n != 0 {
			p.AddWork(js.account, sp, n)
		}
	}
}

// countWaiting counts the waiting work of each workspace, and how much of it the cap
// allows to start.
func (s *State) countWaiting(now clock.BootTime) {
	byAccount, steps := make(map[*quota.Account]*quota.Demand), make(map[*quota.Account][]*step)
	pools := slices.Sorted(maps.Keys(s.open))
	for _, pool := range pools {
		for _, js := range s.open[pool] {
			a := js.account
			if a == nil {
				continue
			}
			if byAccount[a] == nil {
				byAccount[a] = &quota.Demand{}
			}
			for _, o := range js.occs {
				for _, st := range o.steps {
					if st.idle == 0 || !o.ready(st) {
						continue
					}
					if a.TooLarge(st.spec.Resources, together(st.spec)) {
						// It never starts and must not take a part of what is free.
						byAccount[a].Tasks += st.idle
						byAccount[a].Held += st.idle
						st.startable = 0
					} else {
						s.addWaitingWork(byAccount[a], st, now)
						steps[a] = append(steps[a], st)
					}
				}
			}
		}
	}
	s.ledger.SetDemand(byAccount)
	for a, sts := range steps {
		for i, w := range a.Demand().Work {
			sts[i].startable = w.Startable
		}
	}
}

func (s *State) addWaitingWork(d *quota.Demand, st *step, now clock.BootTime) {
	d.Add(st.spec.Resources, st.idle)
	if capped(st) {
		d.Held += st.idle
	}
	if !st.spec.LongRunning {
		return
	}
	for _, t := range st.tasks {
		if now.Sub(max(t.endedAt, t.job.acceptedAt, s.startedAt)) < longRunningReserveTime && s.startable(t, now) {
			d.LongRunning = d.LongRunning.Add(st.spec.Resources)
		}
	}
}

// arrivesWithinCap reports whether a new job counts for the work that its pool expects.
// Work that waits for room below the cap of its workspace needs no machines.
func (js *jobState) arrivesWithinCap() bool {
	ok := true
	for i := range js.def.Steps {
		if sp := &js.def.Steps[i]; len(sp.DependsOn) == 0 {
			ok = js.account.Arrive(sp.Resources, sp.Count) && ok
		}
	}
	return ok
}

// logCaps logs what the workspaces use.
func (s *State) logCaps(now clock.BootTime) {
	if now.Sub(s.capsLoggedAt) < capLogInterval {
		return
	}
	s.capsLoggedAt = now
	s.ledger.Sweep()
	s.sweepShares(now)
	as := s.ledger.Accounts()
	for _, a := range as[:min(len(as), maxCapLines)] {
		used, runs := a.Used()
		l, p, d := a.Limit(), a.Previous(), a.Demand()
		s.Logger.Log("msg", "workspace usage", "workspace", a.Name, "runs", runs, "cpu", used.CPU, "mem", used.Mem, "gpu", used.GPU, "cap_cpu", l.CPU, "cap_mem", l.Mem, "cap_gpu", l.GPU,
			"previous_cpu", p.CPU, "previous_mem", p.Mem, "previous", len(s.inherited), "waiting", d.Tasks, "held", d.Held)
	}
	if len(as) > maxCapLines {
		s.Logger.Log("msg", "more workspaces", "workspaces", len(as)-maxCapLines, "held", s.ledger.Held())
	}
}

// withinCap returns how many of n tasks of a step that wait count as demand of their
// pool: those that the cap allows to start now, beside the other work of the workspace.
func (s *step) withinCap(n int) int {
	if s.occ.job.account == nil {
		return n
	}
	return min(n, s.startable)
}

// demandWithinCap returns how many tasks of a step count as demand of their pool.
func (s *step) demandWithinCap() int { return len(s.tasks) - s.done - s.idle + s.withinCap(s.idle) }

// countWithinCap returns how many tasks of a long-running step count as demand of their
// pool.
func (js *jobState) countWithinCap(i int) int {
	n := js.def.Steps[i].Count
	if js.account == nil {
		return n
	}
	most := 0
	for _, o := range js.occs {
		most = max(most, n-o.steps[i].idle+o.steps[i].withinCap(o.steps[i].idle))
	}
	return most
}

// workWithinCap returns the remaining work of an occurrence that counts as demand, in
// core-seconds: in proportion to its ready tasks that the cap allows to run now.
func (o *occurrence) workWithinCap(coreSeconds float64) float64 {
	all, within := 0, 0
	for _, st := range o.steps {
		if !st.complete() && o.ready(st) {
			all += len(st.tasks) - st.done
			within += st.demandWithinCap()
		}
	}
	if all == 0 {
		return coreSeconds
	}
	return coreSeconds * float64(within) / float64(all)
}
