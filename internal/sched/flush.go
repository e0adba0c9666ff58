package sched

import (
	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/kv"
)

// ProgressRow is the progress of one job to be stored.
type ProgressRow struct {
	ID       job.ID
	Version  uint64
	Rev      int64 // revision of the stored progress that it replaces; 0: none
	Progress *job.Progress
}

// DirtyProgress returns progress that is not stored yet, at most limit rows.
func (s *State) DirtyProgress(limit int) []ProgressRow {
	if !s.changed {
		return nil
	}
	var rows []ProgressRow
	for _, js := range s.jobs {
		if js.storedVersion == js.version {
			continue
		}
		if len(rows) == limit {
			return rows
		}
		rows = append(rows, ProgressRow{ID: js.def.ID, Version: js.version, Rev: int64(js.rev), Progress: js.progress()})
	}
	s.changed = len(rows) > 0
	return rows
}

// ProgressStored records that rows were stored at a revision.
func (s *State) ProgressStored(rows []ProgressRow, rev kv.Revision) {
	for _, r := range rows {
		if js := s.jobs[r.ID]; js != nil {
			js.storedVersion = max(js.storedVersion, r.Version)
			js.rev = rev
		}
	}
	for _, rs := range s.runners {
		rs.acknowledge()
	}
}

// ProgressConflict records the revision of a job's stored progress after a
// transaction whose outcome was unknown. The progress is stored again.
func (s *State) ProgressConflict(id job.ID, rev kv.Revision) {
	if js := s.jobs[id]; js != nil {
		js.rev = rev
	}
}

// TakeExpired removes jobs whose outcome need no longer be kept, and returns
// their IDs.
func (s *State) TakeExpired(now clock.BootTime, limit int) []job.ID {
	var ids []job.ID
	for len(s.closed) > 0 && len(ids) < limit {
		js := s.closed[0]
		if now.Sub(js.closed) < s.Limits.OutcomeRetention || js.storedVersion != js.version {
			break
		}
		s.closed = s.closed[1:]
		delete(s.jobs, js.def.ID)
		ids = append(ids, js.def.ID)
	}
	return ids
}
