package sched

import (
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
)

// TestProgressStoredInTurn guards against a job whose progress is never stored,
// so that its callers never see it completed, because jobs that change all the
// time are stored first.
func TestProgressStoredInTurn(t *testing.T) {
	f := newFixture(t, 1)
	busy, quiet := f.s.jobs[f.job(1, job1)], f.s.jobs[f.job(2, job1)]
	f.s.markChanged(busy)
	f.s.markChanged(quiet)
	for range 2 {
		rows := f.s.DirtyProgress(1)
		f.s.markChanged(busy) // while the rows are written
		f.s.ProgressStored(rows, 200)
	}
	if quiet.storedVersion != quiet.version {
		t.Error("two writes of one row did not store the job that changed once")
	}
	f.flush()
	if busy.storedVersion != busy.version || len(f.s.dirty) != 0 {
		t.Errorf("stored version %d of %d, %d jobs left to store", busy.storedVersion, busy.version, len(f.s.dirty))
	}
}

// TestPackingOfEqualTasks guards against equal tasks that are placed on other
// runners when the runner of the last one is tried first than when all runners
// are compared for each task.
func TestPackingOfEqualTasks(t *testing.T) {
	place := func(compareAll bool) []Command {
		f := newFixture(t, 1)
		f.runner("a", "b", "c", "d")
		for n, cpu := range []int{500, 1500, 700, 1300} {
			id := f.job(n+1, job.Step{Count: 5, Resources: job.Resources{CPU: cpu, Mem: 100}})
			if !compareAll {
				continue
			}
			for _, task := range f.s.jobs[id].occs[0].steps[0].tasks {
				task.avoid = append(task.avoid, "another")
			}
		}
		return ofKind(f.plan(), StartRun)
	}
	got, want := place(false), place(true)
	if len(got) != len(want) || len(got) == 0 {
		t.Fatalf("%d starts, want %d", len(got), len(want))
	}
	for i := range got {
		if got[i].Task != want[i].Task || got[i].To.ID != want[i].To.ID {
			t.Errorf("start %d: task %v on %s, want %v on %s", i, got[i].Task, got[i].To.ID, want[i].Task, want[i].To.ID)
		}
	}
}

// TestExpiredJobLeavesProgress guards against a crash of the leader, and progress that is
// stored for a deleted job, if a job is removed while its progress waits to be stored.
func TestExpiredJobLeavesProgress(t *testing.T) {
	f := newFixture(t, 1)
	f.s.Configure(capConfig(1000))
	f.jobOf("w", "work", "pool", 1, job.Step{Count: 1, Resources: job.Resources{CPU: 1000}, Estimate: time.Second})
	id := job.ID("0000000000000001")
	f.s.CancelJob(id, f.now)
	f.s.RemoveExpired([]ExpiredJob{{ID: id, Created: 100}})
	if rows := f.s.TakeProgress(1, 10); len(rows) > 0 {
		t.Errorf("progress of %d removed jobs taken, want none", len(rows))
	}
}
