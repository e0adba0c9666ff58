package sched

import (
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// TestCancelled guards against starts after a job was cancelled, and against
// runs that go on.
func TestCancelled(t *testing.T) {
	w := newWorld(t, 1)
	w.runner("a")
	id := w.job(1, job.Step{Count: 6})
	starts := ofKind(w.plan(), StartRun)
	if len(starts) != 4 {
		t.Fatalf("%d starts, want 4 that fit", len(starts))
	}
	w.accept(starts[:3])
	w.s.CancelJob(id, w.now)
	orders := w.plan()
	if got := ofKind(orders, StartRun); len(got) != 0 {
		t.Errorf("started %v after the cancellation", got)
	}
	if got := ofKind(orders, StopRun); len(got) != 4 {
		t.Errorf("%d stops, want 4, also of the start without an answer", len(got))
	}
	if _, wanted := w.s.Prepare(&starts[3], w.now); wanted {
		t.Error("the start without an answer is sent again")
	}
	if got := w.outcome(id); got != job.Cancelled {
		t.Errorf("outcome %v", got)
	}
}

// TestWhere guards against a start in another pool, without the label, on a
// draining runner, or beyond the room or the number for a runner.
func TestWhere(t *testing.T) {
	label := func(i *runner.Info) { i.Labels = []string{"fast", "r"} }
	for _, c := range []struct {
		name string
		step job.Step
		set  func(*runner.Info)
		want int
	}{
		{"fits", job.Step{Count: 2}, nil, 2},
		{"other pool", job.Step{Count: 2}, func(i *runner.Info) { i.Service = "other" }, 0},
		{"without label", job.Step{Count: 2, Label: "fast"}, nil, 0},
		{"with label", job.Step{Count: 2, Label: "fast"}, label, 2},
		{"draining", job.Step{Count: 2}, func(i *runner.Info) { i.Draining = true }, 0},
		{"processor", job.Step{Count: 5, Resources: job.Resources{CPU: 1500, Mem: 1}}, nil, 2},
		{"memory", job.Step{Count: 5, Resources: job.Resources{CPU: 1, Mem: 3000}}, nil, 2},
		{"number for a runner", job.Step{Count: 4, PerRunner: 1}, nil, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, 1)
			w.runner("a")
			if c.set != nil {
				i := info("a", "pool")
				c.set(&i)
				w.s.SetRunner(i, w.now)
			}
			w.job(1, c.step)
			got := ofKind(w.plan(), StartRun)
			got = append(got, ofKind(w.plan(), StartRun)...)
			if len(got) != c.want {
				t.Errorf("%d starts, want %d", len(got), c.want)
			}
		})
	}
}

// TestStoppingTakesRoom guards against a start into the room of a run whose
// stop was ordered and whose end is not listed.
func TestStoppingTakesRoom(t *testing.T) {
	w := newWorld(t, 1)
	w.runner("a")
	id := w.job(1, job.Step{Resources: job.Resources{CPU: 3000, Mem: 1}})
	starts := w.plan()
	w.accept(starts)
	w.report("a", runner.Run{Task: starts[0].Task, Attempt: 1, Percent: 100})
	w.s.CancelJob(id, w.now)
	w.job(2, job.Step{Resources: job.Resources{CPU: 3000, Mem: 1}})
	stops := ofKind(w.plan(), StopRun)
	w.accept(stops)
	if got := ofKind(w.plan(), StartRun); len(got) != 0 {
		t.Errorf("started %v beside a run that is being stopped", got)
	}
	w.end("a", starts[0].Task, 1, runner.Stopped)
	w.now += second
	w.report("a")
	if got := ofKind(w.plan(), StartRun); len(got) != 1 {
		t.Errorf("%d starts after the end is listed, want 1", len(got))
	}
}

// TestGang guards against a gang of which some members start without the
// others, with different attempts, or one by one after a failure.
func TestGang(t *testing.T) {
	w := newWorld(t, 1)
	w.runner("a")
	big := job.Step{Count: 3, Gang: true, Resources: job.Resources{CPU: 2000, Mem: 1}}
	id := w.job(1, big)
	if got := w.plan(); len(got) != 0 {
		t.Fatalf("orders %v, though only two members fit", got)
	}
	w.runner("b")
	starts := ofKind(w.plan(), StartRun)
	if len(starts) != 3 {
		t.Fatalf("%d starts, want 3", len(starts))
	}
	w.accept(starts)
	w.end(starts[0].To.ID, starts[0].Task, 1, runner.Failed)
	w.report(starts[0].To.ID)
	if got := ofKind(w.plan(), StartRun); len(got) != 0 {
		t.Errorf("started %v while other members may run", got)
	}
	for _, o := range starts[1:] {
		w.end(o.To.ID, o.Task, 1, runner.GangBroken)
	}
	w.report("a")
	w.report("b")
	again := ofKind(w.plan(), StartRun)
	if len(again) != 3 {
		t.Fatalf("%d starts after the failure, want 3", len(again))
	}
	for _, o := range again {
		if o.Attempt != again[0].Attempt || o.Attempt < 2 {
			t.Errorf("attempts differ or are used again: %v", again)
		}
	}
	w.accept(again)
	w.end(again[0].To.ID, again[0].Task, again[0].Attempt, runner.Done)
	w.report(again[0].To.ID)
	if got := w.outcome(id); got != job.Completed {
		t.Errorf("outcome %v after one end as done, want completed", got)
	}
}

// TestTimed guards against an occurrence that starts before its time, and
// against one that waits for the occurrence before it.
func TestTimed(t *testing.T) {
	w := newWorld(t, 1)
	w.s.Limits.EarlyStart = 250 * time.Millisecond
	w.runner("a")
	first := time.Unix(1000, 0)
	j := &job.Job{
		ID: "000000000000000a", Queue: "work", Service: "pool", FirstDue: first, Period: 2 * time.Second, Repeats: 3,
		Accepted: time.Unix(0, 0), Steps: []job.Step{{Count: 1, Resources: job.Resources{CPU: 1, Mem: 1}}},
	}
	w.s.AddJob(j, 100, nil, 0, w.now, time.Unix(0, 0))
	started := 0
	for _, c := range []struct {
		at   time.Time
		want int
	}{{first.Add(-time.Second), 0}, {first, 1}, {first.Add(time.Second), 1}, {first.Add(5 * time.Second), 3}} {
		w.now += second
		w.s.Plan(w.now, c.at)
		started += len(ofKind(w.s.Commands(), StartRun))
		if started != c.want {
			t.Errorf("%v after the first time: %d occurrences have started, want %d", c.at.Sub(first), started, c.want)
		}
	}
}

// TestAttempts guards against a task that is started again after its job has
// failed as often as the queue allows, and against counting one failure twice.
func TestAttempts(t *testing.T) {
	w := newWorld(t, 1)
	w.runner("a", "b", "c", "d")
	id := w.job(1, job1)
	for n := 1; n <= 3; n++ {
		starts := ofKind(w.plan(), StartRun)
		if len(starts) != 1 {
			t.Fatalf("%d starts for attempt %d, want 1", len(starts), n)
		}
		w.accept(starts)
		w.end(starts[0].To.ID, starts[0].Task, starts[0].Attempt, runner.Failed)
		w.report(starts[0].To.ID)
		w.report(starts[0].To.ID)
		want := job.Open
		if n == 3 {
			want = job.Failed
		}
		if got := w.outcome(id); got != want {
			t.Fatalf("outcome after %d failures %v, want %v", n, got, want)
		}
	}
	if got := w.plan(); len(got) != 0 {
		t.Errorf("orders %v after the job has failed", got)
	}
}

// TestDrainingRunnerIsLeft guards against lasting tasks that end with a runner
// which has said that it leaves, and stay away until its lease has lapsed.
func TestDrainingRunnerIsLeft(t *testing.T) {
	w := newWorld(t, 1)
	w.runner("a", "b")
	w.job(1, job.Step{LongRunning: true, MaxUnavailable: 1})
	starts := w.plan()
	w.accept(starts)
	on := starts[0].To.ID
	w.report(on, runner.Run{Task: starts[0].Task, Attempt: 1, Percent: 100})
	i := info(on, "pool")
	i.Draining = true
	w.s.SetRunner(i, w.now)
	if got := ofKind(w.plan(), StopRun); len(got) != 1 {
		t.Fatalf("%d stops, want 1", len(got))
	}
	w.end(on, starts[0].Task, 1, runner.Stopped)
	w.report(on)
	if got := ofKind(w.plan(), StartRun); len(got) != 1 || got[0].To.ID == on {
		t.Errorf("orders %v, want a start on the other runner", got)
	}
}

// TestUnstoredEndInRoster guards against a task that a successor starts again
// though it has ended as done: the end was applied by a leader that stopped
// before the store held it, on a runner that runs nothing else.
func TestUnstoredEndInRoster(t *testing.T) {
	w := newWorld(t, 1)
	w.runner("a")
	w.job(1, job1)
	o := w.plan()[0]
	w.end("a", o.Task, 1, runner.Done)
	w.report("a")
	rows := w.s.Roster(w.now, true)
	if len(rows) != 1 || len(rows[0].Tasks) != 1 || rows[0].Tasks[0] != o.Task.String() {
		t.Fatalf("closed roster %+v, want a row that names %s", rows, o.Task)
	}
	w.flush()
	if rows := w.s.Roster(w.now, true); len(rows) != 0 {
		t.Errorf("closed roster %+v once the end is stored, want none", rows)
	}
}

// TestRestartIsStoredFirst guards against a task that is started again after
// its runner fell silent, by a leader that dies before the store knows: its
// successor would note the end as done of the first run.
func TestRestartIsStoredFirst(t *testing.T) {
	w := newWorld(t, 1)
	w.runner("a", "b")
	w.job(1, job1)
	o := w.plan()[0]
	w.accept([]Command{o})
	other := map[runner.ID]runner.ID{"a": "b", "b": "a"}[o.To.ID]
	w.report(o.To.ID, runner.Run{Task: o.Task, Attempt: 1, Percent: 100})
	w.s.PollFailed(o.To.ID, w.now)
	for range 2 {
		w.now += 7 * second
		w.report(other)
		w.plan()
		w.s.ConfirmTerm(w.now.Add(time.Second))
		w.plan()
	}
	w.now += 3 * second
	w.report(other)
	if got := ofKind(w.plan(), StartRun); len(got) != 0 {
		t.Fatalf("started again %v before the store knows", got)
	}
	var stored *job.Progress
	for _, row := range w.s.DirtyProgress(10) {
		stored = row.Progress
		w.s.ProgressStored([]ProgressRow{row}, 200)
	}
	got := ofKind(w.plan(), StartRun)
	if len(got) != 1 || got[0].To.ID != other || stored == nil || len(stored.Tasks) != 1 || stored.Tasks[0].Attempt != got[0].Attempt {
		t.Fatalf("orders %v, stored %+v, want a start with the stored number", got, stored)
	}

	next := newWorld(t, 300)
	next.now = w.now
	next.s.AddJob(w.s.jobs[o.Task.Job].job, 100, stored, 200, next.now, time.Unix(0, 0))
	next.runner("a", "b")
	next.end(o.To.ID, o.Task, 1, runner.Done)
	next.report(o.To.ID)
	next.flush()
	if l, _ := next.s.Poll(o.To.ID, next.now); l.Acked != 0 {
		t.Errorf("the next term notes end %d, of the first run", l.Acked)
	}
}
