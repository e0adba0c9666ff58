package sched

import (
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/machine"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// TestEndListedAgain guards against an end that counts twice: the runner lists
// it again to a new leader, and a later step would pass as complete.
func TestEndListedAgain(t *testing.T) {
	w := newWorld(t, 1)
	w.runner("a")
	id := w.job(1, job.Step{}, job.Step{DependsOn: []int{0}})
	first := w.plan()
	if len(first) != 1 {
		t.Fatalf("orders %v, want one start", first)
	}
	w.end("a", first[0].Task, 1, runner.Done)
	w.end("a", first[0].Task, 1, runner.Done)
	w.report("a")
	if got := w.outcome(id); got != job.Open {
		t.Errorf("outcome after the first step %v, want open", got)
	}
	if got := w.plan(); len(got) != 1 || got[0].Task.Step != 1 {
		t.Errorf("orders %v, want a start of step 1", got)
	}
}

// TestLapseNeedsConfirmation guards against a leader that was cut off and takes
// a lease as lapsed that its successor extends: two runs at once.
func TestLapseNeedsConfirmation(t *testing.T) {
	w := newWorld(t, 1)
	w.runner("a", "b")
	w.job(1, job.Step{LongRunning: true})
	starts := w.plan()
	w.accept(starts)
	on := starts[0].To.ID
	other := map[runner.ID]runner.ID{"a": "b", "b": "a"}[on]
	w.report(on, runner.Run{Task: starts[0].Task, Attempt: 1, Percent: 100})
	w.s.PollFailed(on, w.now)
	w.now += 8 * second
	w.report(other)
	if got := w.plan(); len(got) != 0 {
		t.Fatalf("orders %v before the store has confirmed the term", got)
	}
	if !w.s.NeedsConfirmation(w.now) {
		t.Error("no confirmation is asked for")
	}
	w.s.ConfirmTerm(w.now - second)
	if got := w.plan(); len(got) != 0 {
		t.Fatalf("orders %v on a confirmation from before the lapse was seen", got)
	}
	w.now += second
	w.report(other)
	w.s.ConfirmTerm(w.now)
	if got := ofKind(w.plan(), StartRun); len(got) != 1 || got[0].To.ID != other {
		t.Errorf("orders %v, want a start on %s", got, other)
	}
}

// TestStartAfterSilence guards against a start that had no answer and is never
// sent again once its runner answers.
func TestStartAfterSilence(t *testing.T) {
	w := newWorld(t, 1)
	w.runner("a")
	w.job(1, job1)
	starts := w.plan()
	w.s.PollFailed("a", w.now)
	if w.s.HandleReply(&starts[0], runner.Reply{}, false, true, w.now) {
		t.Fatal("order is repeated at a silent runner")
	}
	w.now += second
	w.report("a")
	if got := ofKind(w.plan(), StartRun); len(got) != 1 || got[0].Attempt != 1 {
		t.Errorf("orders %v, want the same start again", got)
	}
}

// TestRefusedAfterNoAnswer guards against a task that is started elsewhere when
// its order was refused, though an earlier delivery may yet be carried out.
func TestRefusedAfterNoAnswer(t *testing.T) {
	w := newWorld(t, 1)
	w.runner("a")
	w.job(1, job1)
	o := w.plan()[0]
	if !w.s.HandleReply(&o, runner.Reply{}, false, true, w.now) {
		t.Fatal("order without an answer is not repeated")
	}
	w.s.HandleReply(&o, runner.Reply{Verdict: runner.Unhealthy}, true, true, w.now)
	w.runner("b")
	w.now += second
	orders := w.plan()
	if got := ofKind(orders, StartRun); len(got) != 0 {
		t.Errorf("started elsewhere: %v", got)
	}
	stops := ofKind(orders, StopRun)
	if len(stops) != 1 {
		t.Fatalf("orders %v, want a stop", orders)
	}
	w.s.HandleReply(&stops[0], runner.Reply{}, true, true, w.now)
	w.now += second
	w.report("a")
	if got := ofKind(w.plan(), StartRun); len(got) != 1 || got[0].Attempt != 2 {
		t.Errorf("orders %v, want a start with the next attempt", got)
	}
}

// TestEvacuation guards against planned work that ends a lasting task while as
// many others of its step are away as may be.
func TestEvacuation(t *testing.T) {
	w := newWorld(t, 1)
	w.runner("a", "b", "c")
	w.job(1, job.Step{Count: 2, LongRunning: true, MaxUnavailable: 1, PerRunner: 1})
	starts := w.plan()
	w.accept(starts)
	for _, o := range starts {
		w.report(o.To.ID, runner.Run{Task: o.Task, Attempt: 1, Percent: 100})
	}
	machines := []machine.ID{machine.ID("m-" + starts[0].To.ID), machine.ID("m-" + starts[1].To.ID)}
	w.s.SetWave(machine.Wave{Number: 1, Machines: machines, MaxUnavailable: 2, Within: time.Second}, false, w.now)
	stops := len(ofKind(w.plan(), StopRun)) + len(ofKind(w.plan(), StopRun))
	if stops != 1 {
		t.Errorf("%d tasks are ended at once, want 1", stops)
	}
}

// TestGreyRunner guards against a runner that fails all it starts and so ends
// jobs that could be done, and against blaming runners for a job's own fault.
func TestGreyRunner(t *testing.T) {
	w := newWorld(t, 1)
	w.runner("a", "b")
	for n := 1; n <= 2; n++ {
		w.end("a", job.Task{Job: w.job(n, job1)}, 1, runner.Failed)
	}
	w.report("a")
	for _, o := range ofKind(w.plan(), StartRun) {
		if o.To.ID == "a" {
			t.Errorf("task %s is started on the runner that failed two jobs", o.Task)
		}
	}
	w.end("b", job.Task{Job: w.job(3, job.Step{Count: 2})}, 1, runner.Failed)
	w.end("b", job.Task{Job: "0000000000000003", Index: 1}, 1, runner.Failed)
	w.report("b")
	if !w.s.nodes["b"].health.allows(w.now, 0) {
		t.Error("a runner is set aside for one job's failures")
	}
}

// TestResignedRoster guards against a planned change of the leader that blocks
// lasting tasks of a dark runner for longer than its lease: the closed roster
// tells which tasks may run there, and for how long.
func TestResignedRoster(t *testing.T) {
	w := newWorld(t, 1)
	w.runner("a", "b")
	w.job(1, job.Step{LongRunning: true})
	starts := w.plan()
	w.accept(starts)
	on := starts[0].To.ID
	other := map[runner.ID]runner.ID{"a": "b", "b": "a"}[on]
	w.report(on, runner.Run{Task: starts[0].Task, Attempt: 1, Percent: 100})
	rows := w.s.Roster(w.now, true)

	next := newWorld(t, 200)
	next.s.InheritRoster(rows)
	next.runner(other)
	next.job(1, job.Step{LongRunning: true})
	next.job(2, job1)
	if got := ofKind(next.plan(), StartRun); len(got) != 1 || got[0].Task.Job != "0000000000000002" {
		t.Fatalf("orders %v, want only the task that cannot run on the dark runner", got)
	}
	next.now += 8 * second
	next.s.ConfirmTerm(next.now)
	next.report(other)
	if got := ofKind(next.plan(), StartRun); len(got) != 1 || got[0].Task != starts[0].Task {
		t.Errorf("orders %v, want the task of the dark runner after its lease", got)
	}
}

// TestInheritedTwice guards against a runner that is gone and that each new
// leader waits for anew: a lasting task stood still for 21 s on mix
// 557256691568 of shramba-lj. The time left is handed on, and a runner that the
// store no longer lists is asked at its address.
func TestInheritedTwice(t *testing.T) {
	w := newWorld(t, 1)
	w.runner("a", "b")
	w.job(1, job.Step{LongRunning: true})
	starts := w.plan()
	w.accept(starts)
	on := starts[0].To.ID
	other := map[runner.ID]runner.ID{"a": "b", "b": "a"}[on]
	rows := w.s.Roster(w.now, false)

	second2 := func(term runner.Term, rows []RosterEntry) *world {
		n := newWorld(t, term)
		n.s.InheritRoster(rows)
		n.runner(other)
		n.job(1, job.Step{LongRunning: true})
		return n
	}
	first := second2(200, rows)
	first.now += 10 * second
	rows = first.s.Roster(first.now, false)
	next := second2(300, rows)
	if got := next.s.UnregisteredRunners(); len(got) != 1 || got[0] != on {
		t.Errorf("runners to ask %v, want %s", got, on)
	}
	if got := ofKind(next.plan(), StartRun); len(got) != 0 {
		t.Fatalf("orders %v while the runner may run the task", got)
	}
	next.now += 7 * second
	next.report(other)
	next.s.ConfirmTerm(next.now)
	if got := ofKind(next.plan(), StartRun); len(got) != 1 {
		t.Errorf("orders %v, want a start after the time that was left", got)
	}

	asked := second2(300, rows)
	asked.s.RunnerReplaced(on, asked.now)
	if got := ofKind(asked.plan(), StartRun); len(got) != 1 {
		t.Errorf("orders %v, want a start once another runner answers at the address", got)
	}
}
