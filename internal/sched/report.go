package sched

import (
	"slices"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/machine"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// SetRunner takes what a runner says of itself in the store.
func (s *State) SetRunner(i runner.Info, now clock.BootTime) {
	n := s.nodes[i.ID]
	switch {
	case n == nil:
		n = newNode(i)
		s.nodes[i.ID] = n
		s.Logger.Log("msg", "runner is listed", "runner", i.ID, "service", i.Service, "machine", i.Machine, "draining", i.Draining)
	case i.Incarnation < n.Incarnation:
		return
	case n.Incarnation == 0:
		// The roster named it; which life it was in is not known.
		*n = *newNode(i)
	case i.Incarnation > n.Incarnation:
		s.endLife(n, "runner restarted", now)
		*n = *newNode(i)
	default:
		if n.Draining != i.Draining {
			s.Logger.Log("msg", "runner changed state", "runner", i.ID, "draining", i.Draining)
		}
		n.Info = i
	}
	n.listed = true
	id := machine.ID(n.Machine)
	if old := s.byMachine[id]; old == nil || old.Incarnation <= n.Incarnation {
		s.byMachine[id] = n
	}
}

// DeregisterRunner takes that the store no longer lists a runner. It gets no new
// runs; those that it has go on while it answers.
func (s *State) DeregisterRunner(id runner.ID, now clock.BootTime) {
	n := s.nodes[id]
	if n == nil || !n.listed {
		return
	}
	n.listed, n.unlisted = false, now
	s.Logger.Log("msg", "runner is no longer listed", "runner", id, "runs", len(n.runs))
	s.forget(n, now)
}

// DeregisterRunners unlists the runners for which gone tells so.
func (s *State) DeregisterRunners(gone func(runner.ID) bool, now clock.BootTime) {
	for id, n := range s.nodes {
		if n.listed && gone(id) {
			s.DeregisterRunner(id, now)
		}
	}
}

// forget removes an unlisted runner that surely runs nothing.
func (s *State) forget(n *node, now clock.BootTime) {
	if n.listed || len(n.runs) > 0 || s.inherited[n.ID] != nil {
		return
	}
	if n.contacted && !n.silent && !n.over && !n.lapsed(now) {
		return
	}
	delete(s.nodes, n.ID)
	s.changed = true
}

// endLife takes that all runs on a runner have ended with its life.
func (s *State) endLife(n *node, why string, now clock.BootTime) {
	for _, r := range runsOf(n) {
		s.lost(r, why, now)
	}
	n.ends = nil
	n.over, n.silent = true, true
	delete(s.inherited, n.ID)
}

// RunnerReplaced takes that another incarnation answers at a runner's address: the
// one that was meant has ended.
func (s *State) RunnerReplaced(id runner.ID, now clock.BootTime) {
	n := s.nodes[id]
	if n == nil {
		return
	}
	if !n.over {
		s.Logger.Log("msg", "another runner answers at the address", "runner", id, "addr", n.Addr, "runs", len(n.runs))
	}
	s.endLife(n, "runner is gone", now)
	s.forget(n, now)
}

// lost takes that a run has ended without a record of how.
func (s *State) lost(r *run, why string, now clock.BootTime) {
	s.Logger.Log("msg", "run is lost", "task", r.task.name, "attempt", r.attempt, "runner", r.node.ID, "why", why)
	r.node.drop(r)
	r.task.ended = now
	s.changed = true
}

// PollFailed takes that a runner has not answered a look.
func (s *State) PollFailed(id runner.ID, now clock.BootTime) {
	n := s.nodes[id]
	if n == nil {
		return
	}
	if !n.silent {
		n.silent = true
		s.Logger.Log("msg", "runner does not answer", "runner", id, "service", n.Service, "runs", len(n.runs), "heard", now.Sub(n.lastHeard))
	}
}

// Poll is the next look at a runner.
type Poll struct {
	runner.PollRequest
	To runner.Target
}

// Poll prepares a look. A runner that did not answer the last one is asked
// without extending its lease, so that its runs can be given up.
func (s *State) Poll(id runner.ID, now clock.BootTime) (Poll, bool) {
	n := s.nodes[id]
	if n == nil {
		return Poll{}, false
	}
	l := Poll{To: n.target()}
	l.Acked = n.noted
	if n.contacted && !n.silent {
		l.LeaseUntil = s.lease(n, now)
		l.Wait = idleWait
		if len(n.runs) > 0 {
			l.Wait = busyWait
		}
		if len(n.ends) > 0 && n.withheld == 0 {
			l.Wait = 0 // the runner would answer at once
		}
	}
	return l, true
}

const (
	// busyWait is how long a look waits at a runner that runs something. It
	// bounds the age of what is known of its runs.
	busyWait = 500 * time.Millisecond
	// idleWait is how long a look waits at an idle runner.
	idleWait = 1500 * time.Millisecond
)

// HandleReport takes the answer to a look that was sent at the instant sent.
func (s *State) HandleReport(id runner.ID, sent, now clock.BootTime, rep *runner.Report) {
	n := s.nodes[id]
	if n == nil || rep.Incarnation < n.Incarnation || (n.over && rep.Incarnation == n.Incarnation) {
		return
	}
	if rep.Incarnation > n.Incarnation {
		i := n.Info
		i.Incarnation = rep.Incarnation
		listed := n.listed
		s.SetRunner(i, now)
		n.listed = listed
	}
	if n.silent {
		s.Logger.Log("msg", "runner answers again", "runner", id, "runs", len(rep.Running))
	}
	first := !n.contacted
	n.contacted, n.silent, n.lastHeard = true, false, now
	n.clock = clock.Reading{RunnerTime: rep.Clock, ReceivedAt: now}
	s.applyEnds(n, rep.Results, now)
	seen := make(map[job.Task]bool, len(rep.Running))
	for i := range rep.Running {
		seen[rep.Running[i].Task] = true
		s.applyRun(n, &rep.Running[i], now)
	}
	if len(rep.Results) < endsPage {
		s.applyMissing(n, seen, sent, now)
	}
	if first {
		delete(s.inherited, id)
		// An earlier term may have extended the lease as far as is allowed.
		n.until = rep.Clock.Add(s.Limits.MaxRunnerLease)
		s.Logger.Log("msg", "runner is reached", "runner", id, "service", n.Service, "runs", len(n.runs), "ends", len(rep.Results))
	}
	n.settle()
}

// endsPage is how many ends a runner lists at once.
const endsPage = 500

// applyRun takes that a runner runs something.
func (s *State) applyRun(n *node, row *runner.Run, now clock.BootTime) {
	r := n.runs[row.Task]
	if r == nil || r.attempt != row.Attempt {
		r = s.adopt(n, row, now)
		if r == nil {
			return
		}
	}
	if r.confirmed == 0 {
		r.confirmed = now
	}
	if r.phase == starting {
		r.phase = running
	}
	r.percent, r.load = row.Percent, row.Load
	if row.ReportsLoad {
		r.watch(now)
	}
	if row.Checkpoint != "" {
		r.task.saved = row.Checkpoint
	}
}

// adopt takes a run that this term has not ordered, or not with this attempt.
// A run that nothing needs is stopped.
func (s *State) adopt(n *node, row *runner.Run, now clock.BootTime) *run {
	w := s.jobs[row.Task.Job]
	var t *task
	if w != nil {
		t = w.task(row.Task)
	}
	if t == nil {
		s.Logger.Log("msg", "runner runs an unknown task", "runner", n.ID, "task", row.Task)
		s.orders = append(s.orders, Command{Kind: StopRun, To: n.target(), Task: row.Task, Attempt: row.Attempt})
		return nil
	}
	if old := n.runs[row.Task]; old != nil {
		if old.attempt > row.Attempt {
			// The stop of the older run is on its way.
			s.orders = append(s.orders, Command{Kind: StopRun, To: n.target(), Task: row.Task, Attempt: row.Attempt})
			return nil
		}
		n.drop(old)
	}
	r := &run{
		task: t, attempt: row.Attempt, node: n, phase: running, demand: t.step.spec.Demand(),
		ordered: now, confirmed: now, pace: 100,
	}
	n.add(r)
	t.attempt = max(t.attempt, row.Attempt)
	w.begun = true
	s.Logger.Log("msg", "run is adopted", "task", row.Task, "attempt", row.Attempt, "runner", n.ID)
	switch {
	case !w.open():
		s.stop(r, "job has ended")
	case t.done:
		s.stop(r, "task is done")
	case len(t.runs) > 1 && !t.step.spec.Speculative:
		s.stop(r, "task runs elsewhere")
	}
	return r
}

// applyMissing takes that runs confirmed before the look was sent are neither
// listed as running nor as ended.
func (s *State) applyMissing(n *node, seen map[job.Task]bool, sent, now clock.BootTime) {
	for _, r := range runsOf(n) {
		if seen[r.task.name] {
			continue
		}
		switch {
		case r.phase == stopping && r.stopped != 0 && sent.After(r.stopped):
			s.lost(r, "stopped before it began", now)
		case r.phase != starting && r.confirmed != 0 && sent.After(r.confirmed) && r.phase != stopping:
			s.lost(r, "runner does not list it", now)
		}
	}
}

// runsOf returns the runs on a runner in a stable order.
func runsOf(n *node) []*run {
	rs := make([]*run, 0, len(n.runs))
	for _, r := range n.runs {
		rs = append(rs, r)
	}
	slices.SortFunc(rs, func(a, b *run) int { return compareTasks(a.task.name, b.task.name) })
	return rs
}

func compareTasks(a, b job.Task) int {
	switch {
	case a.Job != b.Job:
		if a.Job < b.Job {
			return -1
		}
		return 1
	case a.Occ != b.Occ:
		return a.Occ - b.Occ
	case a.Step != b.Step:
		return a.Step - b.Step
	}
	return a.Index - b.Index
}
