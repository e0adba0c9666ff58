package sched

import (
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// fillersBeside starts a serving task and a filler on one runner and returns
// their names.
func fillersBeside(t *testing.T) (w *world, serving, filler job.Task) {
	t.Helper()
	w = newWorld(t, 1)
	w.runner("a")
	w.job(1, job.Step{LongRunning: true, TargetLatency: 100 * time.Millisecond})
	w.job(2, job.Step{BestEffort: true})
	starts := ofKind(w.plan(), StartRun)
	if len(starts) != 2 {
		t.Fatalf("%d starts, want 2", len(starts))
	}
	w.accept(starts)
	return w, starts[0].Task, starts[1].Task
}

// TestPaceFillers guards against fillers that keep a serving task over its
// target: they must be slowed down until they are halted, well within the four
// seconds that the contract gives, and let work again when there is room.
func TestPaceFillers(t *testing.T) {
	w, serving, filler := fillersBeside(t)
	began := w.now
	look := func(tail int) {
		w.report("a",
			runner.Run{Task: serving, Attempt: 1, Percent: 100, Load: tail, ReportsLoad: true},
			runner.Run{Task: filler, Attempt: 1, Percent: 100, Load: 500, ReportsLoad: true})
	}
	pace := func() int { return w.s.nodes["a"].runs[filler].pace }
	for pace() > 0 {
		if w.now-began > 4*second {
			t.Fatalf("filler works at %d%% after 4 s over the target", pace())
		}
		w.now += second / 10
		look(150)
		w.plan()
	}
	for pace() < 100 {
		if w.now-began > 20*second {
			t.Fatalf("filler works at %d%% though there is room", pace())
		}
		w.now += second / 10
		look(20)
		w.plan()
	}
}

// TestPolicy guards against a start on a runner that the queue's policy does
// not allow, or with a permit that has run out or is of an earlier life.
func TestPolicy(t *testing.T) {
	w := newWorld(t, 1)
	w.s.Configure(job.NewConfig(2, []*job.Queue{{
		Name: "work", Service: "pool", MaxAttempts: 3, Stretch: 2, Target: time.Second,
		Policy: &job.Policy{PermitTTL: 3 * time.Second},
	}}, []*job.Service{{Name: "pool"}}, job.Limits{}))
	w.runner("a", "b")
	w.job(1, job.Step{Count: 2})
	if got := ofKind(w.plan(), StartRun); len(got) != 0 {
		t.Fatalf("started %v without a permit", got)
	}
	qs := w.s.PolicyQueries()
	if len(qs) != 1 || len(qs[0].Runners) != 2 {
		t.Fatalf("questions %v, want one about both runners", qs)
	}
	w.plan()
	if got := w.s.PolicyQueries(); len(got) != 0 {
		t.Errorf("asked again while a question is open: %v", got)
	}
	w.s.HandlePolicyReply(&qs[0], []AllowedRunner{{Runner: "b", Ticket: "ticket-b"}}, 3*time.Second, w.now, w.now)
	starts := ofKind(w.plan(), StartRun)
	if len(starts) != 2 {
		t.Fatalf("%d starts after the answer, want 2", len(starts))
	}
	for i := range starts {
		if starts[i].To.ID != "b" {
			t.Errorf("started on %s, which is not allowed", starts[i].To.ID)
		}
		if st, _ := w.s.Prepare(&starts[i], w.now); st.Permit != "ticket-b" {
			t.Errorf("start carries the permit %q", st.Permit)
		}
	}
	w.now += 4 * second
	w.job(2, job.Step{})
	w.report("b")
	if got := ofKind(w.plan(), StartRun); len(got) != 0 {
		t.Errorf("started %v without a permit for the step", got)
	}
}

// TestStandstill guards against a run on a runner whose tasks stand still that
// keeps its job waiting, and against taking a busy run for one.
func TestStandstill(t *testing.T) {
	for _, c := range []struct {
		name  string
		load  int
		stops int
	}{{"stands still", 0, 1}, {"works", 900, 0}} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, 1)
			w.runner("a", "b")
			w.job(1, job1)
			starts := w.plan()
			w.accept(starts)
			stops := 0
			for range 40 {
				w.now += second / 10
				for _, id := range []runner.ID{"a", "b"} {
					if id == starts[0].To.ID {
						w.report(id, runner.Run{Task: starts[0].Task, Attempt: 1, Percent: 100, Load: c.load, ReportsLoad: true})
					} else {
						w.report(id)
					}
				}
				stops += len(ofKind(w.plan(), StopRun))
			}
			if stops != c.stops {
				t.Errorf("%d stops, want %d", stops, c.stops)
			}
		})
	}
}
