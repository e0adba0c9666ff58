package sched

import (
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/machine"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// TestCapacityOfPreviousIncarnation guards against starts by the capacity and
// the labels of an incarnation that has ended: a runner that starts again may be
// of another kind, and its reports name its start but not its capacity.
func TestCapacityOfPreviousIncarnation(t *testing.T) {
	forBoth(t, func(t *testing.T, f *fixture) {
		i := info("a", "pool")
		i.Labels = []string{"fast", "r"}
		f.s.SetRunner(i, f.now)
		f.runner("a")
		f.s.SetRunner(i, f.now)
		restarted := func() {
			f.s.HandleReport(f.s.runners["a"].target(), f.now, f.now, &runner.Report{Incarnation: 2, Clock: clock.RunnerTime(f.now / clock.BootTime(1e6))})
			f.s.RosterStored(f.s.Roster(f.now, false))
		}
		restarted()
		f.job(1, job.Step{Count: 3})
		f.job(2, job.Step{Label: "fast"})
		wantStarts(t, f.prepared(f.plan()), 0, "before the entry of the new incarnation is known")
		i.Incarnation, i.Labels, i.Capacity = 2, []string{"slow", "r"}, job.Resources{CPU: 2000, Mem: 8000}
		f.s.SetRunner(i, f.now)
		restarted()
		got := f.prepared(f.plan())
		wantStarts(t, got, 2, "by the entry of the new incarnation")
		for _, c := range got {
			if c.Task.Job != "0000000000000001" {
				t.Errorf("%v started without its label", c)
			}
		}
	})
}

// TestWaitForEndedLeader guards against long-running tasks that wait for runners
// which are gone, for as long as the previous leader might have extended their leases
// had its process not ended, and against an earlier start of those that another leader
// may have extended.
func TestWaitForEndedLeader(t *testing.T) {
	open := RosterEntry{ID: "gone", Addr: info("gone", "pool").Addr, Incarnation: 1}
	unreached := open
	unreached.Remaining = 10 * time.Second
	for _, c := range []struct {
		name     string
		entry    RosterEntry
		ended    bool
		min, max time.Duration
	}{
		{"the process has ended", open, true, 6300 * time.Millisecond, 7500 * time.Millisecond},
		{"it may go on", open, false, 15 * time.Second, 17 * time.Second},
		{"it had not reached the runner", unreached, true, 10 * time.Second, 12 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, 200)
			f.s.InheritRoster([]RosterEntry{c.entry})
			f.runner("a")
			f.job(1, job.Step{LongRunning: true})
			began := f.now
			f.now += second / 2
			if c.ended {
				f.s.PreviousLeaderEnded(f.now, f.now)
			}
			for f.now.Sub(began) < time.Minute {
				f.now += second / 10
				f.report("a")
				f.s.ConfirmTerm(f.now)
				f.s.RosterStored(f.s.Roster(f.now, false))
				if len(ofKind(f.plan(), StartRun)) > 0 {
					break
				}
			}
			if waited := f.now.Sub(began); waited < c.min || waited > c.max {
				t.Errorf("the task is started after %v, want between %v and %v", waited, c.min, c.max)
			}
		})
	}
}

// TestWaitGrowsWithTerms guards against a wait for a runner that grows with each term
// which inherits it, since the time that is left is rounded up and counts from the start
// of the term: no leader sends commands longer than the last one.
func TestWaitGrowsWithTerms(t *testing.T) {
	entries := []RosterEntry{{ID: "gone", Addr: info("gone", "pool").Addr, Incarnation: 1}}
	for term := range runner.Term(5) {
		f := newFixture(t, 200+term)
		f.s.InheritRoster(entries)
		if wait := f.s.inherited["gone"].until.Sub(f.now); wait > f.s.Limits.RunnerTakeover {
			t.Errorf("term %d waits up to %v, want %v at most", term+1, wait, f.s.Limits.RunnerTakeover)
		}
		entries = f.s.Roster(f.now.Add(100*time.Millisecond), false)
	}
}

// TestListAfterEndOfPreviousLeader guards against a list of machines that ends a runner
// while a leader before the previous one may send commands: the next incarnation under
// the same ID does not know the fence of the previous one.
func TestListAfterEndOfPreviousLeader(t *testing.T) {
	for _, earlier := range []int{0, 4} {
		f, ms := lostRunner(t)
		began := f.now
		got := f.startAfter(8, func(at int) []machine.Machine {
			if at == 1 {
				f.s.DeregisterRunner("a", f.now)
				f.s.PreviousLeaderEnded(f.now, began.Add(time.Duration(earlier)*time.Second))
			}
			return ms
		})
		if want := max(earlier+2, 4); got != want {
			t.Errorf("started after %d s, want %d: leaders before the previous one may send commands for %d s", got, want, earlier)
		}
	}
}

// TestWaitThroughTerms guards against a wait for a runner that begins anew with each
// leader which does not reach it, although only leaders before that may send it commands.
func TestWaitThroughTerms(t *testing.T) {
	open := RosterEntry{ID: "a", Addr: info("a", "pool").Addr, Incarnation: 1, Machine: "m-a"}
	unreached, closed := open, open
	unreached.Remaining = 10 * time.Second
	closed.Closed, closed.Remaining, closed.Tasks = true, 10*time.Second, []string{"no task"}
	for _, c := range []struct {
		name  string
		entry RosterEntry
		until time.Duration // from the start of the term
	}{
		{"reached", open, 15 * time.Second},
		{"not reached", unreached, 8300 * time.Millisecond},
		{"closed, with an unknown task", closed, 15 * time.Second},
	} {
		f := newFixture(t, 200)
		f.s.InheritRoster([]RosterEntry{c.entry})
		f.s.EarlierLeadersEnded(f.now + 2*second)
		in := f.s.inherited["a"]
		if got := in.until.Sub(f.now); got != c.until {
			t.Errorf("%s: waits up to %v, want %v", c.name, got, c.until)
		}
		if got, want := in.lastStart, in.until.Add(-6300*time.Millisecond); got != want {
			t.Errorf("%s: last start %v before the end of the wait, want 6.3 s", c.name, in.until.Sub(got))
		}
	}
}

// TestUnrecordedAttempts guards against a long-running task that is rejected again and
// again, once for each attempt of a former leader that is not in the store.
func TestUnrecordedAttempts(t *testing.T) {
	const highest = 40 // attempt that the runner has ended or stopped
	f := newFixture(t, 200)
	f.runner("a")
	id := f.job(1, job.Step{LongRunning: true})
	for range lostBound / busyPollWait {
		for _, c := range ofKind(f.plan(), StartRun) {
			r := runner.Reply{Verdict: runner.Superseded}
			if c.Attempt > highest {
				r.Verdict = runner.Accepted
			}
			f.s.HandleReply(&c, r, true, true, f.now)
		}
		sent := f.now + 1
		f.now = f.now.Add(busyPollWait)
		f.reportOf("a", 1, sent, f.running(f.s.runners["a"])...)
	}
	if len(f.running(f.s.runners["a"])) == 0 {
		t.Errorf("the task %s is still rejected after %v", id, lostBound)
	}
}

// TestInvalidStart guards against a task that is started again and again on a runner
// that rejects its start as invalid, while another one accepts it.
func TestInvalidStart(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a", "b")
	f.job(1, job.Step{LongRunning: true})
	rejected := 0
	for range lostPasses {
		for _, c := range ofKind(f.plan(), StartRun) {
			if c.To.ID == "b" {
				return
			}
			rejected++
			f.s.HandleReply(&c, runner.Reply{Verdict: runner.Invalid}, true, true, f.now)
		}
	}
	t.Errorf("%d starts on the runner that rejects them, none on the other, in %v", rejected, lostBound)
}

// TestWaitForAnnouncedRunner guards against long-running tasks that wait over 9 s for a
// runner of the previous term that wrote its entry as it started again, and was then
// lost for good.
func TestWaitForAnnouncedRunner(t *testing.T) {
	f, ms := lostRunner(t)
	i := info("a", "pool")
	i.Incarnation = 2
	f.s.SetRunner(i, f.now)
	if got := f.startAfter(9, func(int) []machine.Machine {
		f.s.DeregisterRunner("a", f.now)
		return ms
	}); got < 6 {
		t.Errorf("started after %d s, want 6 or more, since the previous leader may send commands for 5 s", got)
	}
}
