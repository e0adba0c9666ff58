package sched

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/go-kit/log"
	"pgregory.net/rapid"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/kv"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// The model runs leaders of successive terms against runners that keep the
// platform's contract, over links that lose and delay orders. It checks what
// the runners see: never two runs of a task at once, no start after an end as
// done was noted, and no step before the one that it waits for.

const (
	modelHold = 6 * time.Second
	modelStop = 5 * time.Second // a leader without the store stops after this
)

// modelRunner keeps the contract of a runner.
type modelRunner struct {
	id       runner.ID
	rate     float64 // of its clock
	fence    runner.Term
	until    clock.RunnerTime
	running  map[job.Task]int
	barred   map[job.Task]int // highest attempt that ended or was stopped
	ends     []runner.RunResult
	endedAt  map[int]clock.BootTime
	lapsedAt clock.BootTime
	noted    int
}

func (r *modelRunner) clock(now clock.BootTime) clock.RunnerTime {
	return clock.RunnerTime(float64(now/clock.BootTime(time.Millisecond)) * r.rate)
}

func (r *modelRunner) end(t job.Task, c runner.Cause, now clock.BootTime) {
	attempt := r.running[t]
	delete(r.running, t)
	r.barred[t] = max(r.barred[t], attempt)
	r.ends = append(r.ends, runner.RunResult{Seq: len(r.ends) + 1, Task: t, Attempt: attempt, Cause: c})
	r.endedAt[len(r.ends)] = now
}

// lapse ends what the lease no longer covers. Where nothing runs, nothing shows
// that the lease has lapsed.
func (r *modelRunner) lapse(now clock.BootTime) {
	if r.clock(now) <= r.until || r.until == 0 || len(r.running) == 0 {
		return
	}
	if r.lapsedAt == 0 || r.lapsedAt < now {
		r.lapsedAt = now
	}
	for _, t := range sortedTasks(r.running) {
		r.end(t, runner.LeaseExpired, now)
	}
}

func (r *modelRunner) extend(until clock.RunnerTime, now clock.BootTime) {
	r.until = max(r.until, min(until, r.clock(now).Add(modelHold)))
}

func sortedTasks(m map[job.Task]int) []job.Task {
	ts := make([]job.Task, 0, len(m))
	for t := range m {
		ts = append(ts, t)
	}
	slices.SortFunc(ts, compareTasks)
	return ts
}

// modelLeader is one term.
type modelLeader struct {
	s       *State
	term    runner.Term
	store   bool // it reaches the store
	heard   clock.BootTime
	stopped bool
	reach   map[runner.ID]bool
	orders  []Command
}

// delayed is an order that a runner carries out later.
type delayed struct {
	to    runner.ID
	term  runner.Term
	order Command
	start runner.Start
}

type model struct {
	t        *rapid.T
	now      clock.BootTime
	rev      kv.Revision
	runners  []*modelRunner
	leaders  []*modelLeader
	jobs     []*job.Job
	created  map[job.ID]kv.Revision
	progress map[job.ID]*job.Progress
	progRev  map[job.ID]kv.Revision
	roster   []RosterEntry
	late     []delayed
	started  map[job.Task][]clock.BootTime
	done     map[job.Task]bool // an end as done was noted
	weaken   string
}

func newModel(t *rapid.T, weaken string) *model {
	m := &model{
		t: t, now: 1000 * second, rev: 10, created: make(map[job.ID]kv.Revision),
		progress: make(map[job.ID]*job.Progress), progRev: make(map[job.ID]kv.Revision),
		started: make(map[job.Task][]clock.BootTime), done: make(map[job.Task]bool), weaken: weaken,
	}
	for i := range 3 {
		m.runners = append(m.runners, &modelRunner{
			id: runner.ID(fmt.Sprintf("r%d", i)), rate: []float64{1, 0.98, 0.99}[i], running: make(map[job.Task]int),
			barred: make(map[job.Task]int), endedAt: make(map[int]clock.BootTime),
		})
	}
	m.elect()
	return m
}

// elect begins a term; the earlier leader does not learn of it.
func (m *model) elect() {
	m.rev++
	l := &modelLeader{term: runner.Term(m.rev), store: true, heard: m.now, reach: make(map[runner.ID]bool)}
	limits := Limits{MaxRunnerLease: modelHold, OutcomeRetention: time.Hour, RunnerTakeover: modelStop + modelHold + modelHold/20}
	if m.weaken == "takeover" {
		limits.RunnerTakeover = 0
	}
	l.s = New(l.term, m.now, limits, log.NewNopLogger())
	l.s.Configure(job.NewConfig(1, []*job.Queue{{Name: "q", Service: "p", MaxAttempts: 100, Stretch: 1, Target: time.Second}},
		[]*job.Service{{Name: "p"}}, job.Limits{}))
	l.s.InheritRoster(m.roster)
	for _, j := range m.jobs {
		l.s.AddJob(j, m.created[j.ID], m.progress[j.ID], m.progRev[j.ID], m.now, time.Unix(0, 0))
	}
	for _, r := range m.runners {
		i := info(r.id, "p")
		i.Capacity = job.Resources{CPU: 2000, Mem: 8000}
		l.s.SetRunner(i, m.now)
		l.reach[r.id] = true
	}
	m.leaders = append(m.leaders, l)
	if len(m.leaders) > 2 {
		m.leaders = m.leaders[1:]
	}
}

func (m *model) newest() *modelLeader { return m.leaders[len(m.leaders)-1] }

func (m *model) leader() *modelLeader {
	l := rapid.SampledFrom(m.leaders).Draw(m.t, "leader")
	if m.now.Sub(l.heard) > modelStop {
		l.stopped = true
	}
	return l
}

func (m *model) runner() *modelRunner { return rapid.SampledFrom(m.runners).Draw(m.t, "runner") }

func (m *model) submit(*rapid.T) {
	if len(m.jobs) > 6 {
		m.t.Skip("enough jobs")
	}
	m.rev++
	id := job.ID(fmt.Sprintf("%016x", len(m.jobs)+1))
	d := job.Resources{CPU: 1000, Mem: 10}
	j := &job.Job{ID: id, Queue: "q", Service: "p", Accepted: time.Unix(0, 0), Steps: []job.Step{
		{Count: 2, Resources: d, Estimate: time.Second}, {Count: 1, Resources: d, Estimate: time.Second, DependsOn: []int{0}},
	}}
	m.jobs = append(m.jobs, j)
	m.created[id] = m.rev
	m.see()
}

// see lets leaders that reach the store read their input. It shows a successor
// before any job that was accepted in its term.
func (m *model) see() {
	for _, l := range m.leaders {
		if !l.store || l.stopped {
			continue
		}
		if l != m.newest() {
			l.stopped = true
			continue
		}
		for _, j := range m.jobs {
			l.s.AddJob(j, m.created[j.ID], nil, 0, m.now, time.Unix(0, 0))
		}
	}
}

func (m *model) pass(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(20, 2500).Draw(t, "ms")) * time.Millisecond)
	for _, r := range m.runners {
		r.lapse(m.now)
	}
	for _, l := range m.leaders {
		if l.store && l == m.newest() {
			l.heard = m.now
		}
	}
}

func (m *model) plan(*rapid.T) { m.planOf(m.leader()) }

func (m *model) planOf(l *modelLeader) {
	if l.stopped {
		return
	}
	l.s.Plan(m.now, time.Unix(0, 0))
	l.orders = append(l.orders, l.s.Commands()...)
}

func (m *model) flush(*rapid.T) { m.flushOf(m.leader(), true) }

// storeRoster stores the roster before a crash keeps the progress from being
// stored.
func (m *model) storeRoster(*rapid.T) { m.flushOf(m.leader(), false) }

// resign lets the newest leader give its term up, as at a planned stop.
func (m *model) resign(*rapid.T) {
	l := m.newest()
	if l.stopped || !l.store {
		return
	}
	m.roster = l.s.Roster(m.now, true)
	l.stopped = true
	m.elect()
}

func (m *model) flushOf(l *modelLeader, progress bool) {
	if l.stopped || !l.store {
		return
	}
	rows := l.s.Roster(m.now, false)
	if l != m.newest() {
		l.stopped = true // the condition on the leader's key fails
		return
	}
	m.roster = rows
	l.s.RosterStored(rows)
	if !progress {
		return
	}
	l.s.ConfirmTerm(m.now)
	for _, row := range l.s.DirtyProgress(100) {
		m.rev++
		m.progress[row.ID], m.progRev[row.ID] = row.Progress, m.rev
		l.s.ProgressStored([]ProgressRow{row}, m.rev)
	}
}

func (m *model) look(t *rapid.T) {
	m.lookAt(m.leader(), m.runner(), rapid.Bool().Draw(t, "answer lost"))
}

// round lets a leader do all its work once, without losses.
func (m *model) round(*rapid.T) {
	l := m.leader()
	for _, r := range m.runners {
		m.lookAt(l, r, false)
	}
	m.flushOf(l, true)
	m.planOf(l)
	for range len(l.orders) {
		m.deliverOf(l, "answered")
	}
	for _, r := range m.runners {
		m.lookAt(l, r, false)
	}
}

func (m *model) lookAt(l *modelLeader, r *modelRunner, lost bool) {
	if l.stopped {
		return
	}
	k, ok := l.s.Poll(r.id, m.now)
	if !ok {
		return
	}
	if !l.reach[r.id] {
		l.s.PollFailed(r.id, m.now)
		return
	}
	if l.term < r.fence {
		l.stopped = true
		return
	}
	r.fence = l.term
	if k.LeaseUntil > 0 {
		r.extend(k.LeaseUntil, m.now)
	}
	if m.weaken == "noted" {
		k.Acked = len(r.ends)
	}
	m.note(r, k.Acked)
	rep := &runner.Report{Incarnation: 1, Clock: r.clock(m.now), Results: slices.Clone(r.ends[r.noted:])}
	for _, t := range sortedTasks(r.running) {
		rep.Running = append(rep.Running, runner.Run{Task: t, Attempt: r.running[t], Percent: 100})
	}
	if lost {
		l.s.PollFailed(r.id, m.now)
		return
	}
	l.s.HandleReport(r.id, m.now, m.now, rep)
}

// note takes note of ends and checks those that are done.
func (m *model) note(r *modelRunner, seen int) {
	for ; r.noted < seen; r.noted++ {
		e := r.ends[r.noted]
		at := r.endedAt[e.Seq]
		if e.Cause != runner.Done || r.lapsedAt > at {
			continue
		}
		m.done[e.Task] = true
		for _, s := range m.started[e.Task] {
			if s > at {
				m.t.Fatalf("task %s was started again after an end as done that is noted", e.Task)
			}
		}
	}
}

// deliver sends the oldest order of a leader.
func (m *model) deliver(t *rapid.T) {
	m.deliverOf(m.leader(), rapid.SampledFrom([]string{"answered", "answered", "lost", "late", "refused"}).Draw(t, "fate"))
}

func (m *model) deliverOf(l *modelLeader, fate string) {
	if l.stopped || len(l.orders) == 0 {
		return
	}
	o := l.orders[0]
	l.orders = l.orders[1:]
	start, wanted := l.s.Prepare(&o, m.now)
	if !wanted {
		return
	}
	if !l.reach[o.To.ID] {
		if l.s.HandleReply(&o, runner.Reply{}, false, m.weaken != "sure", m.now) {
			l.orders = append(l.orders, o)
		}
		return
	}
	d := delayed{to: o.To.ID, term: l.term, order: o, start: start}
	switch fate {
	case "refused":
		l.s.HandleReply(&o, runner.Reply{Verdict: runner.Unhealthy, Clock: m.clockOf(d.to)}, true, true, m.now)
		return
	case "answered":
		reply := m.carryOut(d)
		if reply.Verdict == runner.Fenced {
			l.stopped = true
			return
		}
		l.s.HandleReply(&o, reply, true, true, m.now)
		return
	case "lost":
		m.carryOut(d)
	case "late":
		m.late = append(m.late, d)
	}
	if l.s.HandleReply(&o, runner.Reply{}, false, m.weaken != "sure", m.now) {
		l.orders = append(l.orders, o)
	}
}

func (m *model) arriveLate(t *rapid.T) {
	if len(m.late) == 0 {
		t.Skip("nothing is late")
	}
	i := rapid.IntRange(0, len(m.late)-1).Draw(t, "which")
	d := m.late[i]
	m.late = slices.Delete(m.late, i, i+1)
	m.carryOut(d)
}

func (m *model) clockOf(id runner.ID) clock.RunnerTime {
	i := slices.IndexFunc(m.runners, func(r *modelRunner) bool { return r.id == id })
	return m.runners[i].clock(m.now)
}

// carryOut lets a runner take an order.
func (m *model) carryOut(d delayed) runner.Reply {
	i := slices.IndexFunc(m.runners, func(r *modelRunner) bool { return r.id == d.to })
	r := m.runners[i]
	reply := runner.Reply{Clock: r.clock(m.now)}
	if d.term < r.fence {
		reply.Verdict = runner.Fenced
		return reply
	}
	r.fence = d.term
	task, attempt := d.order.Task, d.order.Attempt
	if d.order.Kind == StopRun {
		r.barred[task] = max(r.barred[task], attempt)
		if a, ok := r.running[task]; ok && a <= attempt {
			r.end(task, runner.Stopped, m.now)
		}
		return reply
	}
	switch {
	case r.clock(m.now) > d.start.LeaseUntil:
		reply.Verdict = runner.Expired
		return reply
	case r.running[task] == attempt && attempt > 0:
		r.extend(d.start.LeaseUntil, m.now)
		return reply
	case attempt <= r.barred[task] || r.running[task] > 0:
		reply.Verdict = runner.Superseded
		return reply
	}
	r.extend(d.start.LeaseUntil, m.now)
	m.check(r, task)
	r.running[task] = attempt
	m.started[task] = append(m.started[task], m.now)
	return reply
}

// check fails if a start breaks a promise.
func (m *model) check(on *modelRunner, task job.Task) {
	if m.done[task] {
		m.t.Fatalf("task %s is started after its end as done was noted", task)
	}
	for _, r := range m.runners {
		if _, ok := r.running[task]; ok {
			m.t.Fatalf("task %s is started on %s and runs on %s", task, on.id, r.id)
		}
	}
	if task.Step == 0 {
		return
	}
	for k := range 2 {
		if before := (job.Task{Job: task.Job, Index: k}); !m.hasEnded(before) {
			m.t.Fatalf("task %s is started before %s has ended as done", task, before)
		}
	}
}

// hasEnded tells whether a run of a task has ended as done.
func (m *model) hasEnded(task job.Task) bool {
	for _, r := range m.runners {
		for _, e := range r.ends {
			if e.Task == task && e.Cause == runner.Done {
				return true
			}
		}
	}
	return false
}

func (m *model) finish(t *rapid.T) {
	r := m.runner()
	ts := sortedTasks(r.running)
	if len(ts) == 0 {
		return
	}
	r.end(rapid.SampledFrom(ts).Draw(t, "task"), rapid.SampledFrom([]runner.Cause{runner.Done, runner.Done, runner.Failed}).Draw(t, "cause"), m.now)
}

func (m *model) cutRunner(*rapid.T) {
	l, r := m.leader(), m.runner()
	l.reach[r.id] = !l.reach[r.id]
}

func (m *model) cutStore(*rapid.T) {
	l := m.leader()
	l.store = !l.store
}

// checkModel runs the model; weaken names a safeguard to leave out.
func checkModel(weaken string) func(*rapid.T) {
	return func(t *rapid.T) {
		m := newModel(t, weaken)
		t.Repeat(map[string]func(*rapid.T){
			"submit": m.submit, "pass": m.pass, "plan": m.plan, "plan2": m.plan, "flush": m.flush, "flush2": m.flush, "roster": m.storeRoster,
			"look": m.look, "look2": m.look, "look3": m.look, "deliver": m.deliver, "deliver2": m.deliver, "deliver3": m.deliver,
			"round": m.round, "round2": m.round, "late": m.arriveLate, "finish": m.finish, "finish2": m.finish, "cut runner": m.cutRunner, "cut store": m.cutStore,
			"elect": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "chance") == 0 {
					m.elect()
				}
			},
			"resign": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "chance") == 0 {
					m.resign(t)
				}
			},
		})
	}
}

// TestOneRunAtATime guards against two runs of a task, and a run after its end
// as done, across lost and late orders, cuts, lapses and changes of the leader.
func TestOneRunAtATime(t *testing.T) {
	rapid.Check(t, checkModel(""))
}
