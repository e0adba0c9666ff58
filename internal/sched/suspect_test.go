package sched

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/crash"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/kv"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// crash ends a runner, whose successor registers under another ID at the same
// address, and returns the ID of the successor.
func (f *fixture) crash(id runner.ID) runner.ID {
	f.s.PollFailed(id, f.now)
	f.now = f.now.Add(3 * time.Second)
	f.replaced(id, info(id, "pool").Addr)
	f.s.DeregisterRunner(id, f.now)
	for other, rs := range f.s.runners {
		if rs.replied && !rs.ended {
			f.report(other, f.running(rs)...)
		}
	}
	next := runner.ID(fmt.Sprintf("%s%d", id[:1], f.now))
	f.runner(next)
	f.flush()
	return next
}

// running returns the confirmed runs on a runner as it would report them.
func (f *fixture) running(rs *runnerState) []runner.Run {
	var runs []runner.Run
	for _, r := range runsOf(rs) {
		if r.phase == running {
			runs = append(runs, runner.Run{Task: r.task.name, Attempt: r.attempt, Percent: 100})
		}
	}
	return runs
}

// settle runs planning passes, with all progress stored and all starts accepted
// and reported, and returns the starts.
func (f *fixture) settle(passes int) []Command {
	var starts []Command
	for range passes {
		got := ofKind(f.plan(), StartRun)
		f.accept(got)
		f.flush()
		for id, rs := range f.s.runners {
			if rs.replied && !rs.unreachable && !rs.ended {
				f.report(id, f.running(rs)...)
			}
		}
		starts = append(starts, got...)
	}
	return starts
}

// crashUnder crashes each runner that starts a task until the job has an
// outcome, and returns how often that was.
func (f *fixture) crashUnder(task job.Task) int {
	f.t.Helper()
	crashes := 0
	for range 200 {
		for _, c := range ofKind(f.plan(), StartRun) {
			f.accept([]Command{c})
			if c.Task == task {
				crashes++
				f.crash(c.To.ID)
				f.breakGang(task)
			}
		}
		f.flush()
		for id, rs := range f.s.runners {
			if rs.replied && !rs.unreachable && !rs.ended {
				f.report(id, f.running(rs)...)
			}
		}
		if f.outcome(task.Job) != job.Open {
			break
		}
	}
	return crashes
}

// breakGang ends the other members of a task's gang.
func (f *fixture) breakGang(task job.Task) {
	st := f.s.jobs[task.Job].occs[0].steps[0]
	if !st.spec.Gang {
		return
	}
	for _, x := range st.tasks {
		for _, r := range slices.Clone(x.runs) {
			f.end(r.runner.ID, x.name, r.attempt, runner.GangBroken)
			runs := slices.DeleteFunc(f.running(r.runner), func(o runner.Run) bool { return o.Task == x.name })
			f.report(r.runner.ID, runs...)
		}
	}
}

// TestTaskCrashesRunners guards against a task that crashes each runner that
// starts it and is started again and again, while the other jobs on those runners
// complete.
func TestTaskCrashesRunners(t *testing.T) {
	for _, c := range []struct {
		name  string
		step  job.Step
		limit int
	}{
		{"one task", job.Step{}, 2},
		{"several tasks", job.Step{Count: 6}, 2},
		{"long-running", job.Step{LongRunning: true}, 2},
		{"gang", job.Step{Count: 2, Gang: true}, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.runner("a", "b", "c")
			id := f.job(1, c.step)
			other := f.job(2, job.Step{})
			if n := f.crashUnder(job.Task{Job: id}); n > c.limit || n < crash.MaxCrashes {
				t.Errorf("%d runners crashed under the task, want at most %d", n, c.limit)
			}
			if got := f.outcome(id); got != job.Failed {
				t.Errorf("outcome of the job %v, want failed", got)
			}
			f.settle(20)
			if got := f.outcome(other); got != job.Open {
				t.Errorf("outcome of the other job %v, want open: it is not to blame", got)
			}
			if ts := f.s.jobs[other].occs[0].steps[0].tasks[0]; !ts.live() {
				t.Error("the task of the other job has no run")
			}
		})
	}
}

// TestSuspectsShareRunner guards against suspects of two jobs, or a suspect and a
// new start, that are on a runner when it crashes: the wrong job would be blamed.
func TestSuspectsShareRunner(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a")
	first, second := f.job(1, job.Step{}), f.job(2, job.Step{})
	f.accept(f.plan())
	f.runner("b", "c")
	f.crash("a")
	f.job(3, job.Step{Count: 12})
	for range 20 {
		starts := ofKind(f.plan(), StartRun)
		f.accept(starts)
		f.flush()
		for _, rs := range f.s.runners {
			fresh, suspects := make(map[job.ID]bool), false
			for _, r := range rs.runs {
				if crash.IsFresh(r.confirmedAt, rs.lastReply) {
					fresh[r.task.name.Job] = true
					suspects = suspects || r.task.crashes.Suspect
				}
			}
			if suspects && len(fresh) > 1 {
				t.Fatalf("runner %s has just started tasks of the jobs %v, with a suspect among them", rs.ID, fresh)
			}
		}
		for id, rs := range f.s.runners {
			if rs.replied && !rs.unreachable && !rs.ended {
				f.report(id, f.running(rs)...)
			}
		}
	}
	for _, id := range []job.ID{first, second} {
		if !f.s.jobs[id].occs[0].steps[0].tasks[0].live() {
			t.Errorf("the suspect of job %s has no run", id)
		}
	}
}

// TestCrashForgottenByNextLeader guards against a count of crashes that ends with
// its leader, and against a start of a suspect that no leader counts.
func TestCrashForgottenByNextLeader(t *testing.T) {
	f := newFixture(t, 10)
	f.runner("a", "b")
	id := f.job(1, job.Step{})
	starts := f.plan()
	f.accept(starts)
	f.crash(starts[0].To.ID)
	stored := func(f *fixture) *job.Progress { return f.s.jobs[id].progress() }
	const unseen = crash.MaxPossibleCrashes - 1 // after the one that was seen
	for term := runner.Term(200); term < 200+unseen; term++ {
		next := newFixture(t, term)
		next.s.InheritRoster(nil)
		next.runner("a", "b")
		j := f.s.jobs[id].def
		next.s.AddJob(j, kv.Revision(100), stored(f), 1, next.now, time.Unix(0, 0))
		if got := next.settle(100); len(got) != 1 {
			t.Fatalf("%d starts by term %d, want one", len(got), term)
		}
		f = next // ends before it sees the crash
		f.s.jobs[id].occs[0].steps[0].tasks[0].crashes.Unresolved = int(term - 199)
	}
	last := newFixture(t, 300)
	last.s.InheritRoster(nil)
	last.runner("a", "b")
	last.s.AddJob(f.s.jobs[id].def, kv.Revision(100), stored(f), 1, last.now, time.Unix(0, 0))
	if got := last.settle(100); len(got) != 0 || last.outcome(id) != job.Failed {
		t.Errorf("%d starts after %d without a known end, outcome %v", len(got), unseen, last.outcome(id))
	}
}

// TestOrderedEndBlamed guards against a task that is suspected because its runner
// was drained, moved or taken to maintenance, or was silent and came back.
func TestOrderedEndBlamed(t *testing.T) {
	for name, end := range map[string]func(f *fixture, id runner.ID){
		"drained": func(f *fixture, id runner.ID) {
			i := info(id, "pool")
			i.Draining = true
			f.s.SetRunner(i, f.now)
			f.replaced(id, i.Addr)
		},
		"in maintenance": func(f *fixture, id runner.ID) { f.s.endIncarnation(f.s.runners[id], inUpkeep, f.now) },
		"silent": func(f *fixture, id runner.ID) {
			f.s.PollFailed(id, f.now)
			f.now += 8 * second
			f.plan()
			f.now += second
			f.s.ConfirmTerm(f.now)
			f.plan()
			f.report(id)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			start, _ := f.startOn()
			end(f, start.To.ID)
			if c := f.s.jobs[start.Task.Job].occs[0].steps[0].tasks[0].crashes; c != (crash.Record{}) {
				t.Errorf("record %+v, want none", c)
			}
		})
	}
}

// TestCrashBehindCut guards against a crash that is not counted because the lease
// of the runner had expired before it was seen again.
func TestCrashBehindCut(t *testing.T) {
	f := newFixture(t, 1)
	start, _ := f.startOn()
	f.s.PollFailed(start.To.ID, f.now)
	f.now += 8 * second
	f.plan()
	f.now += second
	f.s.ConfirmTerm(f.now)
	f.plan()
	f.replaced(start.To.ID, info(start.To.ID, "pool").Addr)
	if c := f.s.jobs[start.Task.Job].occs[0].steps[0].tasks[0].crashes; c.Crashes != 1 {
		t.Errorf("record %+v, want one crash", c)
	}
}

// TestSuspectStartedUnstored guards against a suspect that is started while the
// store, which is down, does not have the crash.
func TestSuspectStartedUnstored(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a", "b")
	f.job(1, job.Step{})
	starts := f.plan()
	f.accept(starts)
	f.s.PollFailed(starts[0].To.ID, f.now)
	f.replaced(starts[0].To.ID, info("a", "pool").Addr)
	for range 10 {
		if got := ofKind(f.plan(), StartRun); len(got) != 0 {
			t.Fatalf("%s started before its crash is stored", got[0].Task)
		}
	}
	f.flush()
	if got := f.settle(10); len(got) != 1 {
		t.Errorf("%d starts after the crash was stored, want 1", len(got))
	}
}

// TestRejectedStartCounted guards against a job that fails because starts of a
// suspect were rejected.
func TestRejectedStartCounted(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a", "b")
	id := f.job(1, job.Step{})
	starts := f.plan()
	f.accept(starts)
	f.crash(starts[0].To.ID)
	for range 2 * crash.MaxPossibleCrashes {
		for range 20 {
			f.flush()
			for _, c := range ofKind(f.plan(), StartRun) {
				f.s.HandleReply(&c, runner.Reply{Verdict: runner.NoCapacity}, true, true, f.now)
				f.now += second
			}
			for other, rs := range f.s.runners {
				if rs.replied && !rs.ended {
					f.report(other)
				}
			}
		}
	}
	if got := f.outcome(id); got != job.Open {
		t.Errorf("outcome %v after rejected starts, want open", got)
	}
}

// TestStartNotReceivedBlamed guards against a task that is suspected although its
// runner had crashed before the start could be sent.
func TestStartNotReceivedBlamed(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a")
	f.job(1, job.Step{})
	c := ofKind(f.plan(), StartRun)[0]
	f.s.PollFailed("a", f.now)
	f.s.HandleReply(&c, runner.Reply{}, false, false, f.now)
	f.replaced("a", info("a", "pool").Addr)
	if got := f.s.jobs[c.Task.Job].occs[0].steps[0].tasks[0].crashes; got != (crash.Record{}) {
		t.Errorf("record %+v, want none", got)
	}
}

// TestCrashingTaskEndsOthers guards against a long-running job whose tasks that
// work well are stopped because another one crashes its runners, and against that
// one being started without limit.
func TestCrashingTaskEndsOthers(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a", "b", "c", "d")
	id := f.job(1, job.Step{Count: 4, LongRunning: true, PerRunner: 1})
	deadly := job.Task{Job: id, Index: 3}
	crashes := 0
	for range 300 {
		commands := f.plan()
		if stops := ofKind(commands, StopRun); len(stops) > 0 {
			t.Fatalf("%s is stopped after %d crashes under %s", stops[0].Task, crashes, deadly)
		}
		for _, c := range ofKind(commands, StartRun) {
			f.accept([]Command{c})
			if c.Task == deadly {
				crashes++
				f.crash(c.To.ID)
			}
		}
		f.flush()
		for other, rs := range f.s.runners {
			if rs.replied && !rs.unreachable && !rs.ended {
				f.report(other, f.running(rs)...)
			}
		}
	}
	if crashes < crash.MaxCrashes || crashes > 5 {
		t.Errorf("%d runners crashed under the task, want at most two after the third", crashes)
	}
	if got := f.outcome(id); got != job.Open {
		t.Errorf("outcome %v, want open: three of its tasks are at work", got)
	}
	for i := range 3 {
		if x := f.s.jobs[id].task(job.Task{Job: id, Index: i}); !x.live() {
			t.Errorf("task %s has no run", x.name)
		}
	}
}

// TestSuspectThatWentOnGivenUp guards against a job that fails although its suspect
// went on after it was started alone, because that runner crashed later, and the next
// one before it received the start.
func TestSuspectThatWentOnGivenUp(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a", "b", "c")
	id := f.job(1, job.Step{})
	x := f.suspect(job.Task{Job: id})
	f.settle(20)
	if !x.live() || f.s.suspected[x.job] && x.job.isolatedOn != nil {
		t.Fatal("the suspect has not gone on")
	}
	f.crash(x.runs[0].runner.ID)
	for range 40 {
		for _, c := range ofKind(f.plan(), StartRun) {
			f.loseReply(c)
			f.crash(c.To.ID)
			if got := f.outcome(id); got != job.Open {
				t.Errorf("outcome %v with record %+v, want open", got, x.crashes)
			}
			return
		}
		f.flush()
		for other, rs := range f.s.runners {
			if rs.replied && !rs.unreachable && !rs.ended {
				f.report(other, f.running(rs)...)
			}
		}
	}
	t.Error("the suspect is not started again")
}

// TestJobEndsWhileAllWait guards against a long-running job that ends because none of
// its tasks runs just when one of them has no start left.
func TestJobEndsWhileAllWait(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a", "b", "c", "d", "e", "f", "g", "h")
	id := f.job(1, job.Step{Count: 4, LongRunning: true, PerRunner: 1})
	for i := range 4 {
		x := f.s.jobs[id].task(job.Task{Job: id, Index: i})
		c := crash.Record{Crashes: 2, Immediate: 2, Suspect: true} // as a new leader loads it
		if i == 0 {
			c.Unresolved = 1 // counted by a leader that ended
		}
		f.s.setCrashes(x, c)
	}
	f.settle(300)
	if got := f.outcome(id); got != job.Open {
		t.Errorf("outcome %v, want open", got)
	}
}

// TestEarlierResultClearsCrashes guards against a task that is started again and again
// while it crashes its runners, because a result from before the crashes, which was not
// acknowledged, is reported to each new leader.
func TestEarlierResultClearsCrashes(t *testing.T) {
	f := newFixture(t, 200)
	f.runner("a")
	id := f.job(1, job.Step{LongRunning: true})
	task := job.Task{Job: id}
	f.settle(2)
	f.s.runners["a"].withheld = 1 // no later result of this runner is acknowledged
	f.end("a", task, 1, runner.Failed)
	f.settle(2)
	x := f.s.jobs[id].task(task)
	if x.attempt < 2 {
		t.Fatalf("attempt %d, want another after the failed one", x.attempt)
	}
	r := crash.Record{Crashes: 3, Immediate: 3, Suspect: true}
	f.s.setCrashes(x, r)
	next := f.nextTerm(id, 1)
	next.results = f.results
	next.runner("a")
	if got := next.s.jobs[id].task(task).crashes; got != r {
		t.Errorf("record %+v after the result of attempt 1, want %+v", got, r)
	}
}
