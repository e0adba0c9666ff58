package sched

import (
	"testing"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// TestEndListedAgain guards against an end that counts twice: the runner lists
// it again to a new leader, and a later step would pass as complete.
func TestEndListedAgain(t *testing.T) {
	w := newWorld(t, 1)
	w.runner("a")
	id := w.job(1, job.Step{}, job.Step{After: []int{0}})
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
