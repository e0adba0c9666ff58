package sched

import (
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// TestPollAcknowledgesResultsUnseen guards against a poll that acknowledges
// results of a runner's next incarnation by the numbers of the previous one: a
// result as done would be forgotten, and its task started again.
func TestPollAcknowledgesResultsUnseen(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a")
	f.job(1, job1)
	start := ofKind(f.plan(), StartRun)[0]
	f.accept([]Command{start})
	f.end("a", start.Task, 1, runner.Done)
	f.report("a")
	f.flush()
	if p, _ := f.s.Poll("a", f.now); p.Acked != 1 {
		t.Fatalf("poll acknowledges %d results, want 1", p.Acked)
	}
	f.s.PollFailed("a", f.now)
	if p, _ := f.s.Poll("a", f.now); p.Acked != 0 {
		t.Errorf("poll acknowledges %d results of a runner that may have started again", p.Acked)
	}
}

// TestResultOfEndedJobAcknowledged guards against a later leader that
// acknowledges a result as done of a task which was started again after it: the
// job has ended since, and its record did not name the later attempt.
func TestResultOfEndedJobAcknowledged(t *testing.T) {
	f := newFixture(t, 10)
	f.runner("a", "b")
	f.job(1, job1)
	start := ofKind(f.plan(), StartRun)[0]
	f.accept([]Command{start})
	on := start.To.ID
	other := map[runner.ID]runner.ID{"a": "b", "b": "a"}[on]
	f.end(on, start.Task, 1, runner.Done)
	f.s.PollFailed(on, f.now)
	for range 20 { // the lease expires, and the task is started again
		f.now += second
		f.s.ConfirmTerm(f.now)
		f.report(other, f.running(f.s.runners[other])...)
		f.accept(f.plan())
		f.flush()
	}
	f.report(on)
	f.flush()
	js := f.s.jobs[start.Task.Job]
	if js.outcome != job.Completed || js.occs[0].steps[0].tasks[0].attempt != 2 {
		t.Fatalf("job %v at attempt %d, want completed at attempt 2", js.outcome, js.occs[0].steps[0].tasks[0].attempt)
	}
	next := newFixture(t, 200)
	next.results = f.results
	next.s.AddJob(js.def, 100, js.progress(), 1, next.now, time.Unix(0, 0))
	next.runner(on)
	next.flush()
	if p, _ := next.s.Poll(on, next.now); p.Acked != 0 {
		t.Errorf("the result of attempt 1 is acknowledged, although attempt 2 was started after it")
	}
}

// TestPollAcknowledgesAgain guards against the same where a runner starts again
// between two polls, so that none fails.
func TestPollAcknowledgesAgain(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a")
	f.job(1, job1)
	start := ofKind(f.plan(), StartRun)[0]
	f.accept([]Command{start})
	f.end("a", start.Task, 1, runner.Done)
	f.report("a")
	f.flush()
	for _, want := range []int{1, 0} {
		if p, _ := f.s.Poll("a", f.now); p.Acked != want {
			t.Errorf("poll acknowledges %d results, want %d", p.Acked, want)
		}
		f.results["a"] = nil
		f.report("a")
	}
}
