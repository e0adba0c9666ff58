package sched

import (
	"fmt"
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// timedFixture drives a State with the latencies of a leader of many runners.
type timedFixture struct {
	*fixture
	ends    map[runner.ID]clock.BootTime // when a crash is known; 0: silent for good
	polls   map[runner.ID]clock.BootTime // when the next reply arrives
	sent    []Command                    // starts in flight
	sentAt  clock.BootTime
	rows    []ProgressRow // being stored
	storeAt clock.BootTime
	planAt  clock.BootTime
	// onStart returns whether the runner falls silent after a start, and after how
	// long its crash is known; 0: it has not crashed.
	onStart func(Command) (silent bool, known time.Duration)
	crashes int
}

const (
	timedStep      = 5 * time.Millisecond
	timedPlan      = 38 * time.Millisecond
	timedStore     = 40 * time.Millisecond
	timedPoll      = 45 * time.Millisecond // of an isolated runner
	timedOtherPoll = 500 * time.Millisecond
	timedCommand   = 15 * time.Millisecond
	timedKnown     = 3400 * time.Millisecond // from a crash until it is known
)

func newTimedFixture(t *testing.T, runners int) *timedFixture {
	t.Helper()
	f := &timedFixture{fixture: newFixture(t, 1), ends: make(map[runner.ID]clock.BootTime), polls: make(map[runner.ID]clock.BootTime)}
	f.onStart = func(Command) (bool, time.Duration) { return false, 0 }
	for i := range runners {
		f.runner(runner.ID(fmt.Sprintf("r%03d", i)))
	}
	return f
}

// run lets time pass until done returns true, or for d, and returns how long it took.
func (f *timedFixture) run(d time.Duration, done func() bool) time.Duration {
	begin := f.now
	for f.now.Sub(begin) < d && !done() {
		f.now = f.now.Add(timedStep)
		f.s.InputCurrent(0, f.now)
		f.s.ConfirmTerm(f.now)
		f.reply()
		f.store()
		if len(f.sent) > 0 && f.now.Sub(f.sentAt) >= timedCommand {
			f.arrive()
		}
		if !f.planAt.After(f.now) && len(f.sent) == 0 {
			f.planAt = f.now.Add(timedPlan)
			f.s.Plan(f.now, time.Unix(0, 0))
			f.sent, f.sentAt = ofKind(f.s.Commands(), StartRun), f.now
			for _, id := range f.s.NewlyIsolated() {
				f.polls[id] = f.now.Add(timedCommand)
			}
		}
	}
	return f.now.Sub(begin)
}

// arrive lets runners carry out the starts in flight.
func (f *timedFixture) arrive() {
	for _, c := range f.sent {
		if _, silent := f.ends[c.To.ID]; silent {
			f.loseReply(c)
			continue
		}
		f.accept([]Command{c})
		if silent, known := f.onStart(c); silent {
			f.ends[c.To.ID] = 0
			if known > 0 {
				f.ends[c.To.ID] = f.now.Add(known)
				f.crashes++
			}
		}
	}
	f.sent = nil
}

// reply lets runners reply to polls, and the successors of those whose crash is
// known.
func (f *timedFixture) reply() {
	for id, end := range f.ends {
		if end != 0 && !end.After(f.now) {
			delete(f.ends, id)
			f.replaced(id, info(id, "pool").Addr)
			f.s.DeregisterRunner(id, f.now)
			f.runner(id + "n")
		}
	}
	for id, rs := range f.s.runners {
		if f.polls[id].After(f.now) || rs.ended {
			continue
		}
		f.polls[id] = f.now.Add(timedOtherPoll)
		if rs.isolated != nil {
			f.polls[id] = f.now.Add(timedPoll)
		}
		if _, silent := f.ends[id]; silent {
			f.s.PollFailed(id, f.now)
			continue
		}
		f.report(id, f.running(rs)...)
	}
	f.s.RosterStored(f.s.Roster(f.now, false))
}

// store writes progress, one transaction at a time.
func (f *timedFixture) store() {
	if f.storeAt.After(f.now) {
		return
	}
	f.s.ProgressStored(f.rows, 200)
	f.rows, f.storeAt = f.s.DirtyProgress(100), f.now.Add(timedStore)
}

// lasting adds a long-running job that may have one task a runner.
func (f *timedFixture) lasting(n, tasks int) *step {
	id := f.job(n, job.Step{Count: tasks, LongRunning: true, PerRunner: 1})
	return f.s.jobs[id].occs[0].steps[0]
}

// loseAll lets all runners of a new long-running job crash just after its starts,
// and returns once these crashes are known.
func (f *timedFixture) loseAll(st *step) {
	f.t.Helper()
	f.onStart = func(Command) (bool, time.Duration) { return true, timedKnown }
	f.run(10*time.Second, func() bool { return f.crashes == len(st.tasks) })
	f.onStart = func(Command) (bool, time.Duration) { return false, 0 }
	f.run(timedKnown+timedStep, func() bool { return false })
	for _, t := range st.tasks {
		if t.crashes.Crashes != 1 || !t.crashes.Suspect {
			f.t.Fatalf("record of %s %+v, want a suspect after one crash", t.name, t.crashes)
		}
	}
}

// atWork returns how many tasks of a step have a run that is confirmed.
func atWork(st *step) int {
	n := 0
	for _, t := range st.tasks {
		for _, r := range t.runs {
			if r.phase == running {
				n++
				break
			}
		}
	}
	return n
}

// maxRestart is how long the tasks of a long-running job may take to run again once
// a crash is known: they must run within 9 s of it.
const maxRestart = 9*time.Second - timedKnown

// TestSuspectsWaitForEachOther guards against a long-running task that is not
// started again in time because the suspects of its job are started one by one.
func TestSuspectsWaitForEachOther(t *testing.T) {
	for _, tasks := range []int{24, 38} {
		f := newTimedFixture(t, 100)
		st := f.lasting(1, tasks)
		f.loseAll(st)
		took := f.run(20*time.Second, func() bool { return atWork(st) == tasks })
		if took > maxRestart {
			t.Errorf("the last of %d tasks is at work %v after the crashes are known, want at most %v", tasks, took, maxRestart)
		}
		t.Logf("%d of %d tasks at work after %v", atWork(st), tasks, took)
	}
}

// TestSuspectsWaitForSilentRunner guards against suspects that wait for the lease of
// a runner which was isolated for their job and has gone silent.
func TestSuspectsWaitForSilentRunner(t *testing.T) {
	f := newTimedFixture(t, 60)
	st := f.lasting(1, 24)
	f.loseAll(st)
	silenced := false
	f.onStart = func(Command) (bool, time.Duration) {
		silent := !silenced
		silenced = true
		return silent, 0
	}
	took := f.run(20*time.Second, func() bool { return silenced })
	took += f.run(20*time.Second, func() bool { return atWork(st) == len(st.tasks) })
	t.Logf("all %d tasks, one on a silent runner, at work after %v", atWork(st), took)
	if took > maxRestart {
		t.Errorf("the last task is at work %v after the crashes are known, want at most %v", took, maxRestart)
	}
}

// TestLastingSuspectsBehindBatch guards against long-running suspects that wait
// while runners are isolated for the suspects of other jobs.
func TestLastingSuspectsBehindBatch(t *testing.T) {
	f := newTimedFixture(t, 10)
	var ids []job.ID
	for i := range 120 {
		ids = append(ids, f.job(1+i, job.Step{Resources: job.Resources{CPU: 100, Mem: 10}}))
	}
	f.now += second
	st := f.lasting(1000, 4)
	for _, x := range st.tasks {
		f.suspect(x.name)
	}
	for _, id := range ids {
		f.suspect(job.Task{Job: id})
	}
	took := f.run(20*time.Second, func() bool { return atWork(st) == len(st.tasks) })
	t.Logf("all %d long-running tasks at work after %v", atWork(st), took)
	if took > maxRestart {
		t.Errorf("the last long-running task is at work after %v, want at most %v", took, maxRestart)
	}
}

// TestWaitingSuspectsCounted guards against a task that is given up for starts which
// were counted while it waited for other suspects, and never sent.
func TestWaitingSuspectsCounted(t *testing.T) {
	f := newTimedFixture(t, 60)
	st := f.lasting(1, 24)
	f.loseAll(st)
	started := false
	f.onStart = func(Command) (bool, time.Duration) { started = true; return false, 0 }
	f.run(5*time.Second, func() bool { return started })
	counted := 0
	for _, x := range st.tasks {
		counted += x.crashes.Unresolved
	}
	if counted != 1 {
		t.Errorf("%d starts of suspects are counted when the first is sent, want 1", counted)
	}
}

// TestDeadlyJobCrashesMoreRunners guards against a job of tasks that crash their
// runners which takes down more of them because several are started at a time.
func TestDeadlyJobCrashesMoreRunners(t *testing.T) {
	for name, c := range map[string]struct {
		step   job.Step
		deadly int // tasks, the last ones
		limit  int
	}{
		"all tasks of a batch job":        {job.Step{Count: 8, PerRunner: 1}, 8, 9},
		"half of a batch job":             {job.Step{Count: 8, PerRunner: 1}, 4, 5},
		"all tasks of a long-running job": {job.Step{Count: 8, PerRunner: 1, LongRunning: true}, 8, 9},
		"half of a long-running job":      {job.Step{Count: 8, PerRunner: 1, LongRunning: true}, 4, 16},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTimedFixture(t, 30)
			id := f.job(1, c.step)
			f.onStart = func(cmd Command) (bool, time.Duration) {
				return cmd.Task.Index >= c.step.Count-c.deadly, timedKnown
			}
			f.run(60*time.Second, func() bool { return false })
			t.Logf("%d runners crashed, outcome %v", f.crashes, f.outcome(id))
			if f.crashes > c.limit {
				t.Errorf("%d runners crashed, want at most %d", f.crashes, c.limit)
			}
			if f.outcome(id) != job.Open && len(f.s.suspected) > 0 {
				t.Error("the suspects of a job that has ended are kept")
			}
		})
	}
}
