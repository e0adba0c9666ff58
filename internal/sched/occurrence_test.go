package sched

import (
	"slices"
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// repeatedJob returns a job whose occurrences are all due.
func repeatedJob(id job.ID, repeats, count int) *job.Job {
	return &job.Job{
		ID: id, Queue: "work", Service: "pool", Spec: "s", Accepted: time.Unix(0, 0), FirstDue: time.Unix(-3600, 0), Period: time.Second, Repeats: repeats,
		Steps: []job.Step{{Count: count, Resources: job.Resources{CPU: 100, Mem: 1}, Estimate: time.Second}},
	}
}

// TestOccurrenceWithoutRecordSkipped guards against an occurrence that never runs
// because a new leader has a record of later ones only: of this one, no task had been
// started, or the runner of its first run is gone.
func TestOccurrenceWithoutRecordSkipped(t *testing.T) {
	const id = job.ID("000000000000000b")
	for name, known := range map[string]func(*fixture){
		"later ones are stored": func(f *fixture) {
			p := &job.Progress{Started: true, Tasks: []job.TaskProgress{{Occ: 1, Done: true, Attempt: 1}, {Occ: 2, Done: true, Attempt: 1}}}
			f.s.AddJob(repeatedJob(id, 3, 1), 100, p, 1, f.now, time.Unix(0, 0))
			f.runner("a")
		},
		"a later one is reported": func(f *fixture) {
			f.s.AddJob(repeatedJob(id, 3, 1), 100, nil, 0, f.now, time.Unix(0, 0))
			f.runner("a")
			f.report("a", runner.Run{Task: job.Task{Job: id, Occ: 2}, Attempt: 1, Percent: 100})
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 200)
			f.s.InheritRoster(nil)
			known(f)
			started := make(map[int]bool)
			for _, c := range ofKind(f.plan(), StartRun) {
				started[c.Task.Occ] = true
			}
			if !started[0] || started[2] {
				t.Errorf("started occurrences %v, want the first one", started)
			}
		})
	}
}

// completeAll lets runner "a" complete all tasks that are planned, in some passes,
// and stores the progress.
func (f *fixture) completeAll(passes int) {
	rs := f.s.runners["a"]
	for range passes {
		starts := ofKind(f.plan(), StartRun)
		f.accept(starts)
		for page := range slices.Chunk(starts, resultsPage) {
			rep := runner.Report{Incarnation: 1, Clock: clock.RunnerTime(f.now / clock.BootTime(time.Millisecond))}
			for i, c := range page {
				rep.Results = append(rep.Results, runner.RunResult{Seq: rs.applied + i + 1, Task: c.Task, Attempt: c.Attempt, Cause: runner.Done})
			}
			if len(page) < resultsPage { // only such a report is taken to list all runs
				rep.Running = f.running(rs)
				rep.Running = slices.DeleteFunc(rep.Running, func(r runner.Run) bool {
					return slices.ContainsFunc(page, func(c Command) bool { return c.Task == r.Task })
				})
			}
			f.s.HandleReport(rs.target(), f.now, f.now, &rep)
		}
		f.flush()
	}
}

// TestRecordGrowsWithOccurrences guards against the record of a scheduled job that
// grows with each task that ends, until the store rejects it.
func TestRecordGrowsWithOccurrences(t *testing.T) {
	const id, repeats, count, valueBytes = job.ID("000000000000000c"), 700, 200, 1 << 20
	for name, term := range map[string]runner.Term{"accepted in the term": 1, "accepted before the term": 200} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, term)
			f.s.InheritRoster(nil)
			f.runner("a")
			j := repeatedJob(id, repeats, count)
			j.Steps[0].Resources.CPU = 1
			f.s.AddJob(j, 100, nil, 0, f.now, time.Unix(0, 0))
			js := f.s.jobs[id]
			for n := 0; js.finished < repeats-1; n++ {
				if n > 2*repeats {
					t.Fatalf("%d occurrences are complete", js.finished)
				}
				f.completeAll(1)
				b, err := job.EncodeProgress(js.progress())
				if err != nil || len(b) > valueBytes/2 {
					t.Fatalf("record of %d bytes (%v) after %d occurrences", len(b), err, js.finished)
				}
				if len(js.occs) > 2*maxOpenOccurrences {
					t.Fatalf("%d occurrences in the state after %d", len(js.occs), js.finished)
				}
			}
		})
	}
}

// TestDroppedOccurrenceStartedAgain guards against a complete occurrence that runs
// again under the next leader, or whose earlier attempt is acknowledged as done,
// because the record of the job no longer has its tasks.
func TestDroppedOccurrenceStartedAgain(t *testing.T) {
	const id = job.ID("000000000000000d")
	first := job.Task{Job: id}
	f := newFixture(t, 1)
	f.runner("a")
	j := repeatedJob(id, 30, 1000)
	j.Steps[0].Resources.CPU = 1
	f.s.AddJob(j, 100, nil, 0, f.now, time.Unix(0, 0))
	x := f.s.jobs[id].task(first)
	x.attempt, x.possibleResult = 1, true
	f.completeAll(3)
	js := f.s.jobs[id]
	if !js.dropped.Has(0) || js.task(first) != nil {
		t.Fatalf("dropped %v, want the first occurrence among them", js.dropped)
	}
	b, err := job.EncodeProgress(js.progress())
	if err != nil {
		t.Fatal(err)
	}
	p, err := job.DecodeProgress(b)
	if err != nil {
		t.Fatal(err)
	}
	next := newFixture(t, 300)
	next.s.InheritRoster(nil)
	next.s.AddJob(j, 100, p, 1, next.now, time.Unix(0, 0))
	next.runner("a", "b")
	for _, c := range ofKind(next.plan(), StartRun) {
		if js.dropped.Has(c.Task.Occ) {
			t.Fatalf("%s started again", c.Task)
		}
	}
	if got := next.s.jobs[id]; got.finished != js.finished {
		t.Errorf("%d complete occurrences, want %d", got.finished, js.finished)
	}
	next.end("b", first, 1, runner.Done)
	next.report("b")
	next.flush()
	if p, _ := next.s.Poll("b", next.now); p.Acked != 0 {
		t.Errorf("poll acknowledges %d results, want none: the task was started again after its result", p.Acked)
	}
}
