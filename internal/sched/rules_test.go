package sched

import (
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// TestCancelled guards against starts after a job was cancelled, and against
// runs that continue.
func TestCancelled(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a")
	id := f.job(1, job.Step{Count: 6})
	starts := ofKind(f.plan(), StartRun)
	if len(starts) != 4 {
		t.Fatalf("%d starts, want the 4 that fit", len(starts))
	}
	f.accept(starts[:3])
	f.s.CancelJob(id, f.now)
	commands := f.plan()
	if got := ofKind(commands, StartRun); len(got) != 0 {
		t.Errorf("started after the cancellation: %v", got)
	}
	if got := ofKind(commands, StopRun); len(got) != 4 {
		t.Errorf("%d stops, want 4, including the start without a reply", len(got))
	}
	if _, needed := f.s.Prepare(&starts[3], f.now); needed {
		t.Error("start without a reply sent again after the cancellation")
	}
	if got := f.outcome(id); got != job.Cancelled {
		t.Errorf("outcome %v, want cancelled", got)
	}
}

// TestPlacement guards against a start in another pool, without the label, on a
// draining runner, or beyond the capacity or the task limit of a runner.
func TestPlacement(t *testing.T) {
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
			f := newFixture(t, 1)
			f.runner("a")
			if c.set != nil {
				i := info("a", "pool")
				c.set(&i)
				f.s.SetRunner(i, f.now)
			}
			f.job(1, c.step)
			got := ofKind(f.plan(), StartRun)
			got = append(got, ofKind(f.plan(), StartRun)...)
			if len(got) != c.want {
				t.Errorf("%d starts, want %d", len(got), c.want)
			}
		})
	}
}

// TestStoppingRunUsesCapacity guards against a start that uses the capacity of
// a run whose stop was sent and whose result has not been reported.
func TestStoppingRunUsesCapacity(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a")
	id := f.job(1, job.Step{Resources: job.Resources{CPU: 3000, Mem: 1}})
	starts := f.plan()
	f.accept(starts)
	f.report("a", runner.Run{Task: starts[0].Task, Attempt: 1, Percent: 100})
	f.s.CancelJob(id, f.now)
	f.job(2, job.Step{Resources: job.Resources{CPU: 3000, Mem: 1}})
	stops := ofKind(f.plan(), StopRun)
	f.accept(stops)
	if got := ofKind(f.plan(), StartRun); len(got) != 0 {
		t.Errorf("started beside a run that is being stopped: %v", got)
	}
	f.end("a", starts[0].Task, 1, runner.Stopped)
	f.now += second
	f.report("a")
	if got := ofKind(f.plan(), StartRun); len(got) != 1 {
		t.Errorf("%d starts after the result was reported, want 1", len(got))
	}
}

// TestGang guards against a gang whose members are started without the others,
// with different attempt numbers, or one by one after a failure.
func TestGang(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a")
	big := job.Step{Count: 3, Gang: true, Resources: job.Resources{CPU: 2000, Mem: 1}}
	id := f.job(1, big)
	if got := f.plan(); len(got) != 0 {
		t.Fatalf("commands %v, though only two members fit", got)
	}
	f.runner("b")
	starts := ofKind(f.plan(), StartRun)
	if len(starts) != 3 {
		t.Fatalf("%d starts, want 3", len(starts))
	}
	f.accept(starts)
	f.end(starts[0].To.ID, starts[0].Task, 1, runner.Failed)
	f.report(starts[0].To.ID)
	if got := ofKind(f.plan(), StartRun); len(got) != 0 {
		t.Errorf("started while other members may run: %v", got)
	}
	for _, c := range starts[1:] {
		f.end(c.To.ID, c.Task, 1, runner.GangBroken)
	}
	f.report("a")
	f.report("b")
	restarts := ofKind(f.plan(), StartRun)
	if len(restarts) != 3 {
		t.Fatalf("%d starts after the failure, want 3", len(restarts))
	}
	for _, c := range restarts {
		if c.Attempt != restarts[0].Attempt || c.Attempt < 2 {
			t.Errorf("attempt numbers differ or are reused: %v", restarts)
		}
	}
	f.accept(restarts)
	f.end(restarts[0].To.ID, restarts[0].Task, restarts[0].Attempt, runner.Done)
	f.report(restarts[0].To.ID)
	if got := f.outcome(id); got != job.Completed {
		t.Errorf("outcome %v after one result as done, want completed", got)
	}
}

// TestDueTimes guards against an occurrence that starts before its due time, and
// against one that waits for the previous occurrence.
func TestDueTimes(t *testing.T) {
	f := newFixture(t, 1)
	f.s.Limits.EarlyStart = 250 * time.Millisecond
	f.runner("a")
	first := time.Unix(1000, 0)
	j := &job.Job{
		ID: "000000000000000a", Queue: "work", Service: "pool", FirstDue: first, Period: 2 * time.Second, Repeats: 3,
		Accepted: time.Unix(0, 0), Steps: []job.Step{{Count: 1, Resources: job.Resources{CPU: 1, Mem: 1}}},
	}
	f.s.AddJob(j, 100, nil, 0, f.now, time.Unix(0, 0))
	started := 0
	for _, c := range []struct {
		at   time.Time
		want int
	}{{first.Add(-time.Second), 0}, {first, 1}, {first.Add(time.Second), 1}, {first.Add(5 * time.Second), 3}} {
		f.now += second
		f.s.Plan(f.now, c.at)
		started += len(ofKind(f.s.Commands(), StartRun))
		if started != c.want {
			t.Errorf("%v after the first due time: %d occurrences started, want %d", c.at.Sub(first), started, c.want)
		}
	}
}

// TestAttempts guards against starting a task again after it has failed as
// often as the queue allows, and against counting one failure twice.
func TestAttempts(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a", "b", "c", "d")
	id := f.job(1, job1)
	for n := 1; n <= 3; n++ {
		starts := ofKind(f.plan(), StartRun)
		if len(starts) != 1 {
			t.Fatalf("%d starts for attempt %d, want 1", len(starts), n)
		}
		f.accept(starts)
		f.end(starts[0].To.ID, starts[0].Task, starts[0].Attempt, runner.Failed)
		f.report(starts[0].To.ID)
		f.report(starts[0].To.ID)
		want := job.Open
		if n == 3 {
			want = job.Failed
		}
		if got := f.outcome(id); got != want {
			t.Fatalf("outcome after %d failures: %v, want %v", n, got, want)
		}
	}
	if got := f.plan(); len(got) != 0 {
		t.Errorf("commands %v after the job failed", got)
	}
}

// TestDrainingRunnerEvacuated guards against long-running tasks that end with a
// draining runner and have no run until its lease has expired.
func TestDrainingRunnerEvacuated(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a", "b")
	f.job(1, job.Step{LongRunning: true, MaxUnavailable: 1})
	starts := f.plan()
	f.accept(starts)
	on := starts[0].To.ID
	f.report(on, runner.Run{Task: starts[0].Task, Attempt: 1, Percent: 100})
	i := info(on, "pool")
	i.Draining = true
	f.s.SetRunner(i, f.now)
	if got := ofKind(f.plan(), StopRun); len(got) != 1 {
		t.Fatalf("%d stops, want 1", len(got))
	}
	f.end(on, starts[0].Task, 1, runner.Stopped)
	f.report(on)
	if got := ofKind(f.plan(), StartRun); len(got) != 1 || got[0].To.ID == on {
		t.Errorf("commands %v, want a start on the other runner", got)
	}
}

// TestUnstoredResultInRoster guards against the next leader starting a task again
// that was done: the result was applied by a leader that stopped before it was
// stored, on a runner without other runs.
func TestUnstoredResultInRoster(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a")
	f.job(1, job1)
	c := f.plan()[0]
	f.end("a", c.Task, 1, runner.Done)
	f.report("a")
	entries := f.s.Roster(f.now, true)
	if len(entries) != 1 || len(entries[0].Tasks) != 1 || entries[0].Tasks[0] != c.Task.String() {
		t.Fatalf("closed roster %+v, want an entry that lists %s", entries, c.Task)
	}
	f.flush()
	if entries := f.s.Roster(f.now, true); len(entries) != 0 {
		t.Errorf("closed roster %+v after the result was stored, want none", entries)
	}
}

// TestRestartIsStoredFirst guards against a leader that starts a task of an
// unreachable runner again and fails before the start is stored: the next
// leader would acknowledge the result as done of the first run.
func TestRestartIsStoredFirst(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a", "b")
	f.job(1, job1)
	c := f.plan()[0]
	f.accept([]Command{c})
	other := map[runner.ID]runner.ID{"a": "b", "b": "a"}[c.To.ID]
	f.report(c.To.ID, runner.Run{Task: c.Task, Attempt: 1, Percent: 100})
	f.s.PollFailed(c.To.ID, f.now)
	for range 2 {
		f.now += 7 * second
		f.report(other)
		f.plan()
		f.s.ConfirmTerm(f.now.Add(time.Second))
		f.plan()
	}
	f.now += 3 * second
	f.report(other)
	if got := ofKind(f.plan(), StartRun); len(got) != 0 {
		t.Fatalf("started again before the attempt number was stored: %v", got)
	}
	var stored *job.Progress
	for _, row := range f.s.DirtyProgress(10) {
		stored = row.Progress
		f.s.ProgressStored([]ProgressRow{row}, 200)
	}
	got := ofKind(f.plan(), StartRun)
	if len(got) != 1 || got[0].To.ID != other || stored == nil || len(stored.Tasks) != 1 || stored.Tasks[0].Attempt != got[0].Attempt {
		t.Fatalf("commands %v, stored %+v, want a start with the stored attempt number", got, stored)
	}

	next := newFixture(t, 300)
	next.now = f.now
	next.s.AddJob(f.s.jobs[c.Task.Job].def, 100, stored, 200, next.now, time.Unix(0, 0))
	next.runner("a", "b")
	next.end(c.To.ID, c.Task, 1, runner.Done)
	next.report(c.To.ID)
	next.flush()
	if p, _ := next.s.Poll(c.To.ID, next.now); p.Acked != 0 {
		t.Errorf("next term acknowledges result %d, of the first run", p.Acked)
	}
}

// TestDroppedRouteFailsJobOfNextTerm guards against a job that the next leader fails
// after one failed run, or starts again without end, while its route is dropped: it has
// not seen the queue. Seen as review/8 (LOST).
func TestDroppedRouteFailsJobOfNextTerm(t *testing.T) {
	service := []*job.Service{{Name: "pool", EnforcesCapacity: true}}
	queues := func(attempts int) []*job.Queue {
		return []*job.Queue{{Name: "work", Service: "pool", MaxAttempts: attempts, Stretch: 2, Target: time.Second}}
	}
	other := []*job.Queue{{Name: "other", Service: "pool", MaxAttempts: 3}}
	for name, c := range map[string]struct {
		terms    *job.Terms // stored with the job
		changed  int        // attempts that the queue allowed before it was dropped
		attempts int        // starts until the job waits or has failed
		want     job.Outcome
	}{
		"of the job": {&job.Terms{MaxAttempts: 2}, 2, 2, job.Failed}, "changed before": {&job.Terms{MaxAttempts: 2}, 4, 4, job.Failed},
		"stored by an earlier version": {nil, 2, 2, job.Failed}, "never seen": {nil, 0, 3, job.Open},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			j := &job.Job{ID: "00000000000000b1", Queue: "work", Service: "pool", Steps: []job.Step{{Count: 1, Resources: job.Resources{CPU: 1}}}, Terms: c.terms, Accepted: time.Unix(0, 0)}
			f.s.Configure(job.NewConfig(2, queues(max(c.changed, 1)), service, job.Limits{}))
			f.s.AddJob(j, 1, nil, 0, f.now, time.Unix(0, 0))
			f.s.Configure(job.NewConfig(3, other, service, job.Limits{}))
			var p *job.Progress
			for _, row := range f.s.DirtyProgress(100) {
				p = row.Progress
			}
			if c.changed == 0 {
				p = nil // no leader has seen the queue
			}
			f = newFixture(t, 2)
			f.s.Configure(job.NewConfig(3, other, service, job.Limits{}))
			f.runner("a", "b", "c", "d", "e")
			f.s.AddJob(j, 1, p, 1, f.now, time.Unix(0, 0))
			starts := 0
			for range 200 {
				for _, s := range f.settle(1) {
					starts++
					f.end(s.To.ID, s.Task, s.Attempt, runner.Failed)
					f.report(s.To.ID)
				}
			}
			if o := f.outcome(j.ID); o != c.want || starts != c.attempts {
				t.Errorf("outcome %v after %d failed runs, want %v after %d", o, starts, c.want, c.attempts)
			}
			f.s.Configure(job.NewConfig(4, queues(2), service, job.Limits{}))
			f.settle(2)
			if o := f.outcome(j.ID); o != job.Failed {
				t.Errorf("outcome %v once the queue is configured again, which allows 2 attempts", o)
			}
		})
	}
}

// TestDroppedRouteFailsJob guards against a job that fails after one failed run,
// though its queue allows more, because its route was dropped for a while.
func TestDroppedRouteFailsJob(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a")
	id := f.job(1, job1)
	first := ofKind(f.plan(), StartRun)[0]
	f.accept([]Command{first})
	services := []*job.Service{{Name: "pool", EnforcesCapacity: true}}
	f.s.Configure(job.NewConfig(2, nil, services, job.Limits{}))
	for attempt := 1; attempt <= 3; attempt++ {
		if got := f.outcome(id); got != job.Open {
			t.Fatalf("outcome %v after %d failed runs, want open: the queue allows 3", got, attempt-1)
		}
		f.end("a", first.Task, attempt, runner.Failed)
		f.report("a")
		f.now += second
		f.accept(f.plan())
	}
	if got := f.outcome(id); got != job.Failed {
		t.Errorf("outcome %v after 3 failed runs, want failed", got)
	}
}
