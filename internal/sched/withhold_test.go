package sched

import (
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/machine"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// TestNextTermAcknowledgesWithheldResult guards against a result as done of an
// earlier attempt that is acknowledged by the term after the one that started the
// task again and withheld the result, once the job is closed.
func TestNextTermAcknowledgesWithheldResult(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a", "b")
	id := f.job(1, job1)
	start := ofKind(f.plan(), StartRun)[0]
	f.accept([]Command{start})
	a, b := start.To.ID, map[runner.ID]runner.ID{"a": "b", "b": "a"}[start.To.ID]
	f.report(a, runner.Run{Task: start.Task, Attempt: 1, Percent: 100})
	f.end(a, start.Task, 1, runner.Done)
	f.s.PollFailed(a, f.now)
	var again []Command
	for range 20 {
		f.now += second
		f.report(b)
		f.s.ConfirmTerm(f.now)
		f.flush()
		if again = ofKind(f.plan(), StartRun); len(again) > 0 {
			break
		}
	}
	if len(again) != 1 || again[0].To.ID != b {
		t.Fatalf("commands %v, want a start on %s after the lease has expired", again, b)
	}
	f.accept(again)
	f.report(a)
	rows := f.s.DirtyProgress(100)
	if len(rows) != 1 || rows[0].Progress.Outcome != job.Completed {
		t.Fatalf("progress %v, want that of a completed job", rows)
	}

	next := newFixture(t, 300)
	next.now, next.results = f.now, f.results
	j := &job.Job{ID: id, Queue: "work", Service: "pool", Spec: "s", Steps: []job.Step{job1}, Accepted: time.Unix(0, 0)}
	next.s.AddJob(j, 100, rows[0].Progress, 200, next.now, time.Unix(0, 0))
	next.runner(a, b)
	next.flush()
	if p, _ := next.s.Poll(a, next.now); p.Acked != 0 {
		t.Errorf("poll acknowledges %d results, want none: the task was started again after its result", p.Acked)
	}
}

// TestReservedAttemptRepeats guards against the same where the attempt that is
// started again has the number of an unrecorded one of a previous term.
func TestReservedAttemptRepeats(t *testing.T) {
	unrecorded := func(term runner.Term) int {
		f := newFixture(t, term)
		f.runner("a")
		f.job(1, job1)
		return ofKind(f.plan(), StartRun)[0].Attempt
	}(200)
	f := newFixture(t, 300)
	f.s.InheritRoster([]RosterEntry{{ID: "a", Closed: true, Remaining: time.Second, Tasks: []string{"0000000000000001.0.0.0"}}})
	f.runner("b")
	f.job(1, job1)
	for range 20 {
		f.now += second
		f.report("b")
		f.s.ConfirmTerm(f.now)
		f.flush()
		if got := ofKind(f.plan(), StartRun); len(got) > 0 {
			if got[0].Attempt <= unrecorded {
				t.Errorf("attempt %d, want one above %d of the previous term", got[0].Attempt, unrecorded)
			}
			return
		}
	}
	t.Error("the task is never started again")
}

// unrecordedStart returns whether a term starts a task on runner "b", before the store
// holds its attempt, with the roster of the term before, in which the lease of "a"
// expired.
func (f *fixture) unrecordedStart(roster []RosterEntry, fail bool) bool {
	f.s.InheritRoster(roster)
	f.s.SetRunner(info("a", "pool"), f.now)
	f.runner("b")
	id := f.job(1, job1)
	if fail {
		f.end("b", job.Task{Job: id}, 1, runner.Failed)
	}
	for range 30 {
		f.now += second
		f.report("b")
		f.s.ConfirmTerm(f.now)
		if len(ofKind(f.plan(), StartRun)) > 0 {
			return true
		}
	}
	return false
}

// TestNextTermForgetsExpiredLease guards against a task that is done and started again
// by a leader which cannot store its attempt: an earlier term had abandoned a run, whose
// runner has not replied since, so that a later leader acknowledges its result.
func TestNextTermForgetsExpiredLease(t *testing.T) {
	open := []RosterEntry{{ID: "a", Addr: info("a", "pool").Addr, Incarnation: 1}}
	for name, earlier := range map[string]func(f *fixture){
		"its entry expired in the term before": func(f *fixture) {
			f.s.InheritRoster(open)
			f.s.SetRunner(info("a", "pool"), f.now)
			f.runner("b")
		},
		"its lease expired in the term before": func(f *fixture) {
			f.runner("a")
			f.job(1, job1)
			f.accept(f.plan())
			f.s.PollFailed("a", f.now)
			f.runner("b")
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 200)
			earlier(f)
			for range 20 {
				f.now += second
				f.report("b")
				f.s.ConfirmTerm(f.now)
				f.plan()
			}
			roster := f.s.Roster(f.now, false)
			f.s.RosterStored(roster)
			if f.s.RosterChanged(f.now) {
				t.Errorf("roster %v has just been stored and counts as changed", roster)
			}
			if next := newFixture(t, 300); next.unrecordedStart(roster, false) {
				t.Error("the next term starts the task before the store holds its attempt")
			}
		})
	}
}

// TestEarlierResultHidesRun guards against the same where the result of an earlier
// attempt is known, but not the run of a later one on a runner that was not reached.
func TestEarlierResultHidesRun(t *testing.T) {
	f := newFixture(t, 300)
	if f.unrecordedStart([]RosterEntry{{ID: "a", Addr: info("a", "pool").Addr, Incarnation: 1}}, true) {
		t.Error("the task is started before the store holds its attempt")
	}
}

// TestWithheldRunnerUnused guards against a long-running task that waits for ever,
// because each runner with room has a result that is not acknowledged, which ends only
// with the runner.
func TestWithheldRunnerUnused(t *testing.T) {
	for name, standby := range map[string]bool{"no standby pool": false, "in use for others": true} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.runner("a")
			if standby {
				f.s.Configure(job.NewConfig(2, []*job.Queue{{Name: "work", Service: "pool", MaxAttempts: 3, Stretch: 2, Target: time.Second}},
					[]*job.Service{{Name: "pool", EnforcesCapacity: true}, {Name: "off", Standby: true}}, job.Limits{}))
				f.s.SetMachines([]machine.Machine{{ID: "m-a", Pool: "pool", Runner: "a"}}, f.now)
				f.job(1, job.Step{LongRunning: true})
				f.settle(2)
			}
			f.s.runners["a"].withheld = 1
			batch, lasting := f.job(2, job1), f.job(3, job.Step{LongRunning: true})
			f.settle(50)
			if f.waitingTasks(lasting) > 0 {
				t.Error("a long-running task waits beside free room")
			}
			if f.waitingTasks(batch) == 0 {
				t.Error("a batch task is started, whose result will not be acknowledged")
			}
		})
	}
}

// TestReservedAttemptWithholdsResult guards against a runner that is given no batch
// tasks again because of a second attempt that was reserved and never started.
func TestReservedAttemptWithholdsResult(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a", "b")
	f.job(1, job1)
	start := ofKind(f.plan(), StartRun)[0]
	f.accept([]Command{start})
	a, b := start.To.ID, map[runner.ID]runner.ID{"a": "b", "b": "a"}[start.To.ID]
	f.report(a, runner.Run{Task: start.Task, Attempt: 1, Percent: 100})
	f.flush()
	f.end(a, start.Task, 1, runner.Done)
	f.s.PollFailed(a, f.now)
	for range 20 {
		f.now += second
		f.report(b)
		f.s.ConfirmTerm(f.now)
		if got := ofKind(f.plan(), StartRun); len(got) > 0 {
			t.Fatalf("started before the attempt is stored: %v", got)
		}
	}
	f.report(a)
	if f.s.runners[a].withheld != 0 {
		t.Error("the result is withheld for an attempt that was not started")
	}
}
