package sched

import (
	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/kv"
)

// ProgressRow is the progress of one job that has to be stored.
type ProgressRow struct {
	ID       job.ID
	Version  uint64
	Rev      int64 // of the stored progress that it replaces
	Progress *job.Progress
}

// DirtyProgress returns progress that is not in the store yet, at most limit rows.
func (s *State) DirtyProgress(limit int) []ProgressRow {
	if !s.changed {
		return nil
	}
	var rows []ProgressRow
	for _, w := range s.jobs {
		if w.flushed == w.version {
			continue
		}
		if len(rows) == limit {
			return rows
		}
		rows = append(rows, ProgressRow{ID: w.job.ID, Version: w.version, Rev: int64(w.rev), Progress: w.progress()})
	}
	s.changed = len(rows) > 0
	return rows
}

// ProgressStored takes that rows are in the store as of a revision.
func (s *State) ProgressStored(rows []ProgressRow, rev kv.Revision) {
	for _, r := range rows {
		if w := s.jobs[r.ID]; w != nil {
			w.flushed = max(w.flushed, r.Version)
			w.rev = rev
		}
	}
	for _, n := range s.nodes {
		n.settle()
	}
}

// ProgressConflict takes the revision at which the store holds a job's progress, after a
// transaction whose answer was lost. The progress is stored again.
func (s *State) ProgressConflict(id job.ID, rev kv.Revision) {
	if w := s.jobs[id]; w != nil {
		w.rev = rev
	}
}

// TakeExpired returns jobs whose outcome need no longer be kept, and forgets them.
func (s *State) TakeExpired(now clock.BootTime, limit int) []job.ID {
	var ids []job.ID
	for len(s.closed) > 0 && len(ids) < limit {
		w := s.closed[0]
		if now.Sub(w.closed) < s.Limits.OutcomeRetention || w.flushed != w.version {
			break
		}
		s.closed = s.closed[1:]
		delete(s.jobs, w.job.ID)
		ids = append(ids, w.job.ID)
	}
	return ids
}
