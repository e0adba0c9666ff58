package sched

import (
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/machine"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// TestResultReportedAgain guards against counting a result twice: a runner
// reports it again to a new leader, and a later step would be treated as
// complete.
func TestResultReportedAgain(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a")
	id := f.job(1, job.Step{}, job.Step{DependsOn: []int{0}})
	first := f.plan()
	if len(first) != 1 {
		t.Fatalf("commands %v, want one start", first)
	}
	f.end("a", first[0].Task, 1, runner.Done)
	f.end("a", first[0].Task, 1, runner.Done)
	f.report("a")
	if got := f.outcome(id); got != job.Open {
		t.Errorf("outcome after the first step: %v, want open", got)
	}
	if got := f.plan(); len(got) != 1 || got[0].Task.Step != 1 {
		t.Errorf("commands %v, want a start of step 1", got)
	}
}

// TestLeaseExpiryNeedsConfirmation guards against two runs at once: an isolated
// leader treats a lease as expired that the next leader extends.
func TestLeaseExpiryNeedsConfirmation(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a", "b")
	f.job(1, job.Step{LongRunning: true})
	starts := f.plan()
	f.accept(starts)
	on := starts[0].To.ID
	other := map[runner.ID]runner.ID{"a": "b", "b": "a"}[on]
	f.report(on, runner.Run{Task: starts[0].Task, Attempt: 1, Percent: 100})
	f.s.PollFailed(on, f.now)
	f.now += 8 * second
	f.report(other)
	if got := f.plan(); len(got) != 0 {
		t.Fatalf("commands %v before the store confirmed the term", got)
	}
	if !f.s.NeedsConfirmation(f.now) {
		t.Error("NeedsConfirmation is false with an expired lease")
	}
	f.s.ConfirmTerm(f.now - second)
	if got := f.plan(); len(got) != 0 {
		t.Fatalf("commands %v after a confirmation from before the expiry was detected", got)
	}
	f.now += second
	f.report(other)
	f.s.ConfirmTerm(f.now)
	if got := ofKind(f.plan(), StartRun); len(got) != 1 || got[0].To.ID != other {
		t.Errorf("commands %v, want a start on %s", got, other)
	}
}

// TestStartRepeatedWhenReachable guards against a start without a reply that is
// never repeated after its runner becomes reachable again.
func TestStartRepeatedWhenReachable(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a")
	f.job(1, job1)
	starts := f.plan()
	f.s.PollFailed("a", f.now)
	if f.s.HandleReply(&starts[0], runner.Reply{}, false, true, f.now) {
		t.Fatal("start repeated to an unreachable runner")
	}
	f.now += second
	f.report("a")
	if got := ofKind(f.plan(), StartRun); len(got) != 1 || got[0].Attempt != 1 {
		t.Errorf("commands %v, want the same start again", got)
	}
}

// TestRejectedAfterNoReply guards against starting a task on another runner
// after its start was rejected, while an earlier delivery of the start may
// still be carried out.
func TestRejectedAfterNoReply(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a")
	f.job(1, job1)
	c := f.plan()[0]
	if !f.s.HandleReply(&c, runner.Reply{}, false, true, f.now) {
		t.Fatal("start without a reply not repeated")
	}
	f.s.HandleReply(&c, runner.Reply{Verdict: runner.Unhealthy}, true, true, f.now)
	f.runner("b")
	f.now += second
	commands := f.plan()
	if got := ofKind(commands, StartRun); len(got) != 0 {
		t.Errorf("started on another runner: %v", got)
	}
	stops := ofKind(commands, StopRun)
	if len(stops) != 1 {
		t.Fatalf("commands %v, want a stop", commands)
	}
	f.s.HandleReply(&stops[0], runner.Reply{}, true, true, f.now)
	f.now += second
	f.report("a")
	if got := ofKind(f.plan(), StartRun); len(got) != 1 || got[0].Attempt != 2 {
		t.Errorf("commands %v, want a start with the next attempt", got)
	}
}

// TestEvacuation guards against planned maintenance that stops a long-running
// task while MaxUnavailable other tasks of its step are already unavailable.
func TestEvacuation(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a", "b", "c")
	f.job(1, job.Step{Count: 2, LongRunning: true, MaxUnavailable: 1, PerRunner: 1})
	starts := f.plan()
	f.accept(starts)
	for _, c := range starts {
		f.report(c.To.ID, runner.Run{Task: c.Task, Attempt: 1, Percent: 100})
	}
	machines := []machine.ID{machine.ID("m-" + starts[0].To.ID), machine.ID("m-" + starts[1].To.ID)}
	f.s.SetWave(machine.Wave{Number: 1, Machines: machines, MaxUnavailable: 2, Within: time.Second}, false, f.now, time.Unix(0, 0))
	stops := len(ofKind(f.plan(), StopRun)) + len(ofKind(f.plan(), StopRun))
	if stops != 1 {
		t.Errorf("%d tasks stopped at once, want 1", stops)
	}
}

// TestFailingRunnerQuarantined guards against a runner that fails every run, so
// that jobs fail which other runners could complete, and against quarantining
// runners for the faults of one job.
func TestFailingRunnerQuarantined(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a", "b")
	for n := 1; n <= 2; n++ {
		f.end("a", job.Task{Job: f.job(n, job1)}, 1, runner.Failed)
	}
	f.report("a")
	for _, c := range ofKind(f.plan(), StartRun) {
		if c.To.ID == "a" {
			t.Errorf("task %s started on the runner on which two jobs failed", c.Task)
		}
	}
	f.end("b", job.Task{Job: f.job(3, job.Step{Count: 2})}, 1, runner.Failed)
	f.end("b", job.Task{Job: "0000000000000003", Index: 1}, 1, runner.Failed)
	f.report("b")
	if !f.s.runners["b"].health.allows(f.now, 0) {
		t.Error("runner quarantined for the failures of one job")
	}
}

// TestRosterAtStepDown guards against a planned change of leader that blocks the
// long-running tasks of an unreachable runner for longer than its lease: the
// closed roster entry lists which tasks may run there, and for how long.
func TestRosterAtStepDown(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a", "b")
	f.job(1, job.Step{LongRunning: true})
	starts := f.plan()
	f.accept(starts)
	on := starts[0].To.ID
	other := map[runner.ID]runner.ID{"a": "b", "b": "a"}[on]
	f.report(on, runner.Run{Task: starts[0].Task, Attempt: 1, Percent: 100})
	entries := f.s.Roster(f.now, true)

	next := newFixture(t, 200)
	next.s.InheritRoster(entries)
	next.runner(other)
	next.job(1, job.Step{LongRunning: true})
	next.job(2, job1)
	if got := ofKind(next.plan(), StartRun); len(got) != 1 || got[0].Task.Job != "0000000000000002" {
		t.Fatalf("commands %v, want only the task that cannot be running on the unreachable runner", got)
	}
	next.now += 8 * second
	next.s.ConfirmTerm(next.now)
	next.report(other)
	if got := ofKind(next.plan(), StartRun); len(got) != 1 || got[0].Task != starts[0].Task {
		t.Errorf("commands %v, want the task of the unreachable runner after its lease expired", got)
	}
}

// TestInheritedTwice guards against each new leader waiting again for a runner
// that no longer exists: a long-running task had no run for 21 s on mix
// 557256691568 of shramba-lj. The roster passes on the remaining time, and a
// deregistered runner is polled at its address.
func TestInheritedTwice(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a", "b")
	f.job(1, job.Step{LongRunning: true})
	starts := f.plan()
	f.accept(starts)
	on := starts[0].To.ID
	other := map[runner.ID]runner.ID{"a": "b", "b": "a"}[on]
	entries := f.s.Roster(f.now, false)

	newTerm := func(term runner.Term, entries []RosterEntry) *fixture {
		nf := newFixture(t, term)
		nf.s.InheritRoster(entries)
		nf.runner(other)
		nf.job(1, job.Step{LongRunning: true})
		return nf
	}
	first := newTerm(200, entries)
	first.now += 10 * second
	entries = first.s.Roster(first.now, false)
	next := newTerm(300, entries)
	if got := next.s.UnregisteredRunners(); len(got) != 1 || got[0] != on {
		t.Errorf("runners to poll: %v, want %s", got, on)
	}
	if got := ofKind(next.plan(), StartRun); len(got) != 0 {
		t.Fatalf("commands %v while the runner may run the task", got)
	}
	next.now += 7 * second
	next.report(other)
	next.s.ConfirmTerm(next.now)
	if got := ofKind(next.plan(), StartRun); len(got) != 1 {
		t.Errorf("commands %v, want a start after the remaining time", got)
	}

	replaced := newTerm(300, entries)
	replaced.replaced(on, info(on, "pool").Addr)
	if got := ofKind(replaced.plan(), StartRun); len(got) != 1 {
		t.Errorf("commands %v, want a start after another runner replied at the address", got)
	}
}

// TestPendingUntilBegun guards against callers that are told that no job waits
// while the starts of several were lost with their runner, seen on scale-1 of
// bvc-routelog-large when a zone was cut off.
func TestPendingUntilBegun(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a")
	f.job(1, job1)
	starts := ofKind(f.plan(), StartRun)
	if n := f.s.Pending("work"); len(starts) != 1 || n != 1 {
		t.Errorf("%d starts and %d jobs pending before the reply of the runner, want 1 and 1", len(starts), n)
	}
	f.s.HandleReply(&starts[0], runner.Reply{}, false, true, f.now)
	f.s.PollFailed("a", f.now)
	if n := f.s.Pending("work"); n != 1 {
		t.Errorf("%d jobs pending after a start without a reply, want 1", n)
	}
	f.report("a", runner.Run{Task: starts[0].Task, Attempt: starts[0].Attempt, Percent: 100})
	if n := f.s.Pending("work"); n != 0 {
		t.Errorf("%d jobs pending after the runner reported the run, want 0", n)
	}
}

// TestRunnerThatLeftNotUsed guards against a runner that has left and is used
// again: one that left while no leader watched and of which only the roster
// knows, and one whose entry was removed, though both still reply.
func TestRunnerThatLeftNotUsed(t *testing.T) {
	f := newFixture(t, 2)
	f.s.InheritRoster([]RosterEntry{{ID: "gone", Addr: info("gone", "pool").Addr}})
	f.report("gone")
	f.runner("a", "left")
	f.s.DeregisterRunner("left", f.now)
	f.now = f.now.Add(2 * reregisterTimeout)
	f.report("a")
	f.report("left")
	f.s.RosterStored(f.s.Roster(f.now, false))
	f.job(1, job.Step{Count: 20})
	starts := ofKind(f.plan(), StartRun)
	if len(starts) == 0 {
		t.Fatal("no starts on the registered runner")
	}
	for _, c := range starts {
		if c.To.ID != "a" {
			t.Errorf("task %v started on runner %s, which is not registered", c.Task, c.To.ID)
		}
	}
}

// TestUnknownRoster guards against a roster that cannot be decoded and is taken
// for an empty one: tasks that run on unknown runners would be started again.
func TestUnknownRoster(t *testing.T) {
	f := newFixture(t, 200) // the job was accepted before this term
	f.s.InheritUnknownRoster()
	f.runner("a")
	f.job(1, job1)
	if starts := ofKind(f.plan(), StartRun); len(starts) != 0 {
		t.Errorf("%v started while it may run on an unknown runner", starts[0].Task)
	}
	f.now = f.now.Add(2 * f.s.Limits.RunnerTakeover)
	f.report("a")
	f.s.ConfirmTerm(f.now)
	f.plan() // reserves the attempt number, since an unknown run may have ended as done
	f.flush()
	if starts := ofKind(f.plan(), StartRun); len(starts) != 1 {
		t.Errorf("%d starts after the leases of all runners have expired, want 1", len(starts))
	}
}

// TestStartWithoutReply guards against a task that waits for ever for the reply of one
// runner to its start, though the runner replies to polls without listing the run.
func TestStartWithoutReply(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a", "b")
	f.job(1, job.Step{LongRunning: true})
	var pending []Command
	for range lostPasses {
		f.report("a")
		f.report("b")
		var again []Command
		for _, c := range f.prepared(append(pending, f.plan()...)) {
			switch {
			case c.To.ID == "b":
				return
			case c.Kind == StopRun:
				f.accept([]Command{c})
			case f.loseReply(c):
				again = append(again, c)
			}
		}
		pending = again
	}
	t.Errorf("not started on the other runner within %v", lostBound)
}
