package sched

import (
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/crash"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// slowStore confirms one write at a time, some time after it was sent.
type slowStore struct {
	*fixture
	write time.Duration
	rows  []ProgressRow // in flight
	due   clock.BootTime
}

func (s *slowStore) step() {
	switch {
	case len(s.rows) == 0:
		s.rows, s.due = s.s.DirtyProgress(100), s.now.Add(s.write)
	case !s.due.After(s.now):
		s.s.ProgressStored(s.rows, 200)
		s.rows = nil
	}
}

// finishRuns lets runs end as done after about a second, and all runners report.
func (f *fixture) finishRuns(ends map[*run]clock.BootTime) {
	for id, rs := range f.s.runners {
		var runs []runner.Run
		for _, r := range runsOf(rs) {
			if ends[r] == 0 {
				ends[r] = f.now.Add(900*time.Millisecond + time.Duration(len(ends)%7)*50*time.Millisecond)
			}
			if ends[r].After(f.now) {
				runs = append(runs, runner.Run{Task: r.task.name, Attempt: r.attempt, Percent: 100})
			} else {
				f.end(id, r.task.name, r.attempt, runner.Done)
			}
		}
		f.report(id, runs...)
	}
}

// TestSlowStoreKeepsSuspect guards against a suspect that is never started while a write
// of the store takes longer than a runner stays isolated: its start is counted for
// another runner each time, in a pool that is busy.
func TestSlowStoreKeepsSuspect(t *testing.T) {
	for _, write := range []time.Duration{1900 * time.Millisecond, 2200 * time.Millisecond} {
		t.Run(write.String(), func(t *testing.T) {
			f := newFixture(t, 200)
			f.runner("a", "b", "c", "d", "e", "f", "g", "h")
			x := f.s.jobs[f.job(1, job.Step{LongRunning: true})].occurrence(0).steps[0].tasks[0]
			f.s.setCrashes(x, crash.Record{Crashes: 1, Immediate: 1, Suspect: true})
			f.job(2, job.Step{Count: 4000})
			st, ends := &slowStore{fixture: f, write: write}, make(map[*run]clock.BootTime)
			for range lostPasses {
				if f.accept(ofKind(f.plan(), StartRun)); x.live() {
					return
				}
				st.step()
				f.finishRuns(ends)
			}
			t.Errorf("no start in %v, record %+v", lostBound, x.crashes)
		})
	}
}
