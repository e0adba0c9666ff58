package sched

import (
	"testing"
	"time"

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
