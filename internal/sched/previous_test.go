package sched

import (
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/machine"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// lostRunner returns a term whose previous leader may go on, with a task that may run
// on a runner which has not replied, and the list of machines without that runner.
func lostRunner(t *testing.T) (*fixture, []machine.Machine) {
	t.Helper()
	f := newFixture(t, 200)
	f.s.Limits.RunnerTakeover = 11300 * time.Millisecond
	f.s.InheritRoster([]RosterEntry{{ID: "a", Addr: info("a", "pool").Addr, Incarnation: 1}})
	f.s.SetRunner(info("a", "pool"), f.now)
	f.runner("b")
	f.job(1, job.Step{LongRunning: true})
	return f, []machine.Machine{{ID: "m-a", State: machine.Down}, {ID: "m-b", Runner: "b"}}
}

// startAfter lets a second pass at a time, with a list of machines that was requested
// at its start, and returns after which of them the task is started.
func (f *fixture) startAfter(seconds int, list func(at int) []machine.Machine) int {
	for i := range seconds {
		sent := f.now + 1
		f.now += second
		if ms := list(i); ms != nil {
			f.s.RunnersListed(ms, sent, f.now)
		}
		f.report("b")
		if len(ofKind(f.plan(), StartRun)) > 0 {
			return i + 1
		}
	}
	return 0
}

// TestWaitForUnlistedRunner guards against long-running tasks that wait over 9 s
// because the previous leader may have extended the lease of a runner that has ended.
func TestWaitForUnlistedRunner(t *testing.T) {
	f, ms := lostRunner(t)
	got := f.startAfter(7, func(at int) []machine.Machine { // the term starts up to 2 s after the loss
		if at == 3 {
			f.s.DeregisterRunner("a", f.now)
		}
		return ms
	})
	if got == 0 {
		t.Error("no start within 7 s")
	}
	if got > 0 && got < 6 {
		t.Errorf("started after %d s: the previous leader may send commands for 5 s", got)
	}
}

// TestListedRunnerMayRun guards against a second run while the one on a runner of
// the previous term may go on.
func TestListedRunnerMayRun(t *testing.T) {
	for name, list := range map[string]func(f *fixture, ms []machine.Machine, at int) []machine.Machine{
		"listed": func(f *fixture, ms []machine.Machine, _ int) []machine.Machine {
			f.s.DeregisterRunner("a", f.now)
			return append(ms[1:], machine.Machine{ID: "m-a", Runner: "a"})
		},
		"registered": func(_ *fixture, ms []machine.Machine, _ int) []machine.Machine { return ms },
		"one list": func(f *fixture, ms []machine.Machine, at int) []machine.Machine {
			f.s.DeregisterRunner("a", f.now)
			if at%2 == 0 {
				return append(ms[1:], machine.Machine{ID: "m-a", Runner: "a"})
			}
			return ms
		},
		"no machines": func(f *fixture, ms []machine.Machine, _ int) []machine.Machine {
			f.s.DeregisterRunner("a", f.now)
			return ms[:0]
		},
		"missed by one list after it started again": func(f *fixture, ms []machine.Machine, at int) []machine.Machine {
			f.s.DeregisterRunner("a", f.now)
			if at > 5 {
				return append(ms[1:], machine.Machine{ID: "m-a", Runner: "a"})
			}
			return ms
		},
		"requested before": func(f *fixture, ms []machine.Machine, at int) []machine.Machine {
			f.s.DeregisterRunner("a", f.now)
			f.s.RunnersListed(ms, f.s.startedAt, f.now)
			if at < 5 {
				return ms
			}
			return nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			f, ms := lostRunner(t)
			if got := f.startAfter(10, func(at int) []machine.Machine { return list(f, ms, at) }); got != 0 {
				t.Errorf("started after %d s", got)
			}
		})
	}
}

// TestWaitForRunnerWithoutEntry guards against the same wait where the entry of the
// runner was removed before the term began.
func TestWaitForRunnerWithoutEntry(t *testing.T) {
	f := newFixture(t, 200)
	f.s.Limits.RunnerTakeover = 11300 * time.Millisecond
	f.s.InheritRoster([]RosterEntry{{ID: "a", Addr: info("a", "pool").Addr, Incarnation: 1, Machine: "m-a"}})
	f.runner("b")
	f.job(1, job.Step{LongRunning: true})
	list := []machine.Machine{{ID: "m-a", Runner: "c"}, {ID: "m-b", Runner: "b"}}
	if got := f.startAfter(7, func(int) []machine.Machine { return list }); got < 6 {
		t.Errorf("started after %d s, want 6 or 7: the previous leader may send commands for 5 s", got)
	}
}

// TestMachineOfRunnerRecorded guards against a later term that does not know the
// machine of a runner whose entry has been removed.
func TestMachineOfRunnerRecorded(t *testing.T) {
	f := newFixture(t, 200)
	f.runner("a")
	next := newFixture(t, 300)
	next.s.InheritRoster(f.s.Roster(f.now, false))
	for _, e := range next.s.Roster(next.now, false) {
		if e.Machine != "m-a" {
			t.Errorf("entry %+v, want machine m-a", e)
		}
	}
}

// TestListWithoutIDs guards against a runner that counts as ended because the list of
// machines names none yet for its machine, which is up.
func TestListWithoutIDs(t *testing.T) {
	f, _ := lostRunner(t)
	got := f.startAfter(8, func(int) []machine.Machine {
		f.s.DeregisterRunner("a", f.now)
		return []machine.Machine{{ID: "m-a", State: machine.Up}, {ID: "m-b", Runner: "b"}}
	})
	if got > 0 {
		t.Errorf("started after %d s, though m-a is listed as up without a runner", got)
	}
}

// TestWaitForPoweredOffMachine guards against long-running tasks that wait over 9 s
// because the machine of a runner of the previous term is powered off: it is up
// without a runner for good. On leaders-lost-in-turn, seeds 1 and 3, LOST was broken.
func TestWaitForPoweredOffMachine(t *testing.T) {
	f, _ := lostRunner(t)
	f.s.Configure(job.NewConfig(2, []*job.Queue{{Name: "work", Service: "pool", MaxAttempts: 3, Stretch: 2, Target: time.Second}},
		[]*job.Service{{Name: "pool"}, {Name: "off", Standby: true}}, job.Limits{}))
	got := f.startAfter(8, func(int) []machine.Machine {
		f.s.DeregisterRunner("a", f.now)
		return []machine.Machine{{ID: "m-a", Pool: "off", State: machine.Up}, {ID: "m-b", Pool: "pool", Runner: "b"}}
	})
	if got == 0 {
		t.Error("no start within 8 s")
	}
}

// TestWaitForReusedMachine guards against long-running tasks that wait over 9 s because
// the machine of a runner of the previous term, which has a later runner by the first
// lists, moves on and is up without a runner in the last ones.
func TestWaitForReusedMachine(t *testing.T) {
	f, _ := lostRunner(t)
	got := f.startAfter(8, func(at int) []machine.Machine {
		f.s.DeregisterRunner("a", f.now)
		m := machine.Machine{ID: "m-a", State: machine.Up}
		if at < 4 {
			m.Runner = "c"
		}
		return []machine.Machine{m, {ID: "m-b", Runner: "b"}}
	})
	if got < 6 {
		t.Errorf("started after %d s, want 6 to 8: the previous leader may send commands for 5 s", got)
	}
}

// TestRestartedRunnerLost guards against a long-running task that waits over 9 s for the
// lease of a runner that had started again in this term and is then lost for good.
func TestRestartedRunnerLost(t *testing.T) {
	f := newFixture(t, 1)
	report := func(in runner.Incarnation, runs ...runner.Run) {
		f.s.HandleReport(f.s.runners["a"].target(), f.now, f.now, &runner.Report{Incarnation: in, Clock: clock.RunnerTime(f.now / clock.BootTime(time.Millisecond)), Running: runs})
		f.s.RosterStored(f.s.Roster(f.now, false))
	}
	f.runner("a")
	f.now += second
	i := info("a", "pool")
	i.Incarnation = 2
	f.s.SetRunner(i, f.now)
	report(2)
	f.job(1, job.Step{LongRunning: true})
	c := ofKind(f.plan(), StartRun)
	f.accept(c)
	f.now += second
	report(2, runner.Run{Task: c[0].Task, Attempt: 1, Percent: 100})
	f.s.Poll("a", f.now) // extends the lease
	lost := f.now
	f.s.PollFailed("a", f.now)
	f.s.DeregisterRunner("a", f.now)
	f.runner("b")
	list := []machine.Machine{{ID: "m-a", State: machine.Down}, {ID: "m-b", Runner: "b"}}
	for f.now.Sub(lost) < 20*time.Second {
		f.now += second / 10
		f.report("b")
		f.s.ConfirmTerm(f.now)
		f.s.RunnersListed(list, f.now, f.now)
		if len(ofKind(f.plan(), StartRun)) > 0 {
			break
		}
	}
	if d := f.now.Sub(lost); d > lostBound {
		t.Errorf("started again %v after the runner was lost", d)
	}
}

// TestUnconfirmedStartEndedByLists guards against two runs of a task: a start that a
// silent runner has not confirmed may still reach its next incarnation, which forgets
// that it is late.
func TestUnconfirmedStartEndedByLists(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a")
	id := f.job(1, job.Step{LongRunning: true})
	f.loseReply(ofKind(f.plan(), StartRun)[0])
	f.s.PollFailed("a", f.now)
	f.s.DeregisterRunner("a", f.now)
	f.runner("b")
	f.startAfter(5, func(int) []machine.Machine { return []machine.Machine{{ID: "m-b", Runner: "b"}} })
	if !f.s.jobs[id].task(job.Task{Job: id}).live() {
		t.Error("the run is given up, while its start may still arrive")
	}
}
