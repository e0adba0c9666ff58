package sched

import (
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// TestLateCommandExtendsLease guards against a run that is abandoned while it
// goes on: a late start, meant for the previous incarnation of its runner, has
// extended the lease of the present one.
func TestLateCommandExtendsLease(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a", "b")
	f.restart("a", 2)
	f.s.RosterStored(f.s.Roster(f.now, false))
	f.s.PollFailed("b", f.now)
	f.job(1, job1)
	start := ofKind(f.plan(), StartRun)
	if len(start) != 1 || start[0].To.ID != "a" {
		t.Fatalf("commands %v, want a start on a", start)
	}
	f.accept(start)
	f.reportOf("a", 2, f.now, runner.Run{Task: start[0].Task, Attempt: 1, Percent: 100})
	restarted := f.now
	f.s.PollFailed("a", f.now)
	for {
		f.now += second
		f.report("b")
		f.s.RosterStored(f.s.Roster(f.now, false))
		f.s.ConfirmTerm(f.now)
		f.flush()
		if len(ofKind(f.plan(), StartRun)) > 0 {
			break
		}
		if f.now.Sub(restarted) > time.Minute {
			t.Fatal("the run is never abandoned")
		}
	}
	if got, want := f.now.Sub(restarted), 2*f.s.Limits.MaxRunnerLease; got < want {
		t.Errorf("started elsewhere %v after the restart, want at least %v", got, want)
	}
}

// TestClosedEntryLeaseExtended guards against two runs of a task: a leader that
// cannot store the roster reaches a runner whose stored entry is closed, and extends
// its lease beyond what the entry says, by which the next leader goes.
func TestClosedEntryLeaseExtended(t *testing.T) {
	f := newFixture(t, 200)
	f.s.InheritRoster([]RosterEntry{{ID: "a", Closed: true, Remaining: 2 * time.Second, Tasks: []string{"0000000000000001.0.0.0"}, Addr: info("a", "pool").Addr, Incarnation: 1}})
	f.s.SetRunner(info("a", "pool"), f.now)
	f.report("a")
	if p, _ := f.s.Poll("a", f.now); p.LeaseUntil != 0 {
		t.Errorf("poll extends the lease to %d, want no extension before the roster is stored", p.LeaseUntil)
	}
	f.s.RosterStored(f.s.Roster(f.now, false))
	if p, _ := f.s.Poll("a", f.now); p.LeaseUntil == 0 {
		t.Error("poll does not extend the lease after the roster is stored")
	}
}
