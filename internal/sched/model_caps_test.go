package sched

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// checkCap fails if a start brings what the workspace has running, counted on the
// runners, above each cap since the one that its leader knew.
func (m *model) checkCap(d delayed) {
	if len(m.caps) == 0 {
		return
	}
	runs := 0
	for _, r := range m.runners {
		runs += len(r.running)
	}
	if limit := slices.Max(m.caps[d.caps:]); runs > limit {
		m.t.Fatalf("task %s started on %s by term %d, and the workspace has %d tasks running with a cap of %d", d.command.Task, d.to.id, d.term, runs, limit)
	}
}

// weakenCap raises the cap that a leader applies by what it would not count without a
// safeguard, before it plans or sends a start.
func (m *model) weakenCap(l *modelLeader, plans bool) {
	if len(m.caps) == 0 || l.s.ledger.Empty() {
		return
	}
	a, limit := l.s.ledger.Accounts()[0], m.caps[l.caps]*modelTaskCPU
	switch m.weaken {
	case "previous":
		l.s.resolveInherited()
		l.s.countPrevious()
		limit += a.Previous().CPU
	case "stops":
		for _, rs := range l.s.runners {
			for _, r := range rs.runs {
				if r.phase == stopping {
					limit += modelTaskCPU
				}
			}
		}
	case "pass":
		a.Configure(job.Resources{CPU: limit})
		if !plans || a.Fits(job.Resources{CPU: modelTaskCPU}, 1) {
			limit = 100 * modelTaskCPU
		}
	default:
		return
	}
	a.Configure(job.Resources{CPU: limit})
}

// submitToWorkspace submits a job with tasks that run alone, in a gang, with copies, or
// without an end.
func (m *model) submitToWorkspace(t *rapid.T) {
	if len(m.jobs) > 8 {
		t.Skip("maximum number of jobs reached")
	}
	st := rapid.SampledFrom([]job.Step{
		{Count: 2}, {Count: 2, Gang: true}, {Count: 3, Speculative: true}, {Count: 1, LongRunning: true}, {Count: 2, BestEffort: true},
	}).Draw(t, "step")
	st.Resources, st.Estimate = job.Resources{CPU: modelTaskCPU, Mem: 10}, time.Second
	m.rev++
	j := &job.Job{ID: job.ID(fmt.Sprintf("%016x", len(m.jobs)+1)), Queue: "q", Service: "p", Workspace: "w", Accepted: time.Unix(0, 0), Steps: []job.Step{st}}
	m.jobs = append(m.jobs, j)
	m.created[j.ID] = m.rev
	m.readInput()
}

// setCap changes the cap, of which only a leader that reaches the store learns.
func (m *model) setCap(t *rapid.T) {
	m.caps = append(m.caps, rapid.IntRange(1, 4).Draw(t, "cap"))
	l, i := m.newest(), len(m.caps)-1
	if !l.store || l.stopped {
		return
	}
	l.caps = i
	if m.weaken != "lowered" || m.caps[i] > m.caps[i-1] {
		l.s.Configure(m.config())
	}
}

// cancel cancels a job, of which runs may go on for a while.
func (m *model) cancel(t *rapid.T) {
	if l := m.newest(); l.store && !l.stopped && len(m.jobs) > 0 {
		l.s.CancelJob(rapid.SampledFrom(m.jobs).Draw(t, "job").ID, m.now)
	}
}

// slowTask ends all runs of speculative tasks as done but one, which is slow and gets a copy.
func (m *model) slowTask(t *rapid.T) {
	slow := false
	for _, r := range m.runners {
		for _, task := range sortedTasks(r.running) {
			if i := slices.IndexFunc(m.jobs, func(j *job.Job) bool { return j.ID == task.Job }); !m.jobs[i].Steps[0].Speculative {
				continue
			}
			if slow {
				r.end(task, runner.Done, m.now)
			}
			slow = true
		}
	}
	if slow {
		m.work(t)
	}
}

// checkCaps runs the model with jobs of one workspace whose cap changes; weaken names a
// safeguard to leave out: "previous", counting what runners of previous terms may have;
// "stops", counting runs until their end is listed; "lowered", applying a lowered cap
// while runs are in progress; "pass", counting the starts of the same planning pass.
func checkCaps(weaken string) func(*rapid.T) {
	return func(t *rapid.T) {
		m := newModel(t, weaken, true)
		m.caps, m.maxLeaders = []int{3}, 3
		m.leaders = nil
		m.elect()
		actions := m.actions()
		actions["submit"], actions["submit2"] = m.submitToWorkspace, m.submitToWorkspace
		actions["cap"], actions["cancel"], actions["work"], actions["cut leader"] = m.setCap, m.cancel, m.work, m.cutLeader
		actions["crash"], actions["restart"], actions["slow"] = m.crash, m.restart, m.slowTask
		m.repeat(actions)
	}
}

// TestCapKept guards against starts that bring what a workspace has running above its
// cap, with gangs, copies, long-running tasks, stops and late starts, changes of leader
// and a cap that is lowered and raised.
func TestCapKept(t *testing.T) {
	rapid.Check(t, checkCaps(""))
}
