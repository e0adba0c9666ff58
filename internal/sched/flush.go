package sched

import (
	"slices"

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
	var rows []ProgressRow
	for _, js := range s.dirty[:min(limit, len(s.dirty))] {
		rows = append(rows, ProgressRow{ID: js.def.ID, Version: js.version, Rev: int64(js.rev), Progress: js.progress()})
	}
	return rows
}

// ProgressStored records that rows were stored at a revision. Jobs that have
// changed since then are stored again after those that have waited longer.
func (s *State) ProgressStored(rows []ProgressRow, rev kv.Revision) {
	var again []*jobState
	for _, r := range rows {
		js := s.jobs[r.ID]
		if js == nil {
			continue
		}
		js.storedVersion = max(js.storedVersion, r.Version)
		js.rev = rev
		js.dirty = false
		if js.storedVersion != js.version {
			again = append(again, js)
		}
	}
	s.dirty = slices.DeleteFunc(s.dirty, func(js *jobState) bool { return !js.dirty })
	for _, js := range again {
		js.dirty = true
	}
	s.dirty = append(s.dirty, again...)
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
