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

// DirtyProgress returns progress that is not stored yet, at most limit rows. Rows that
// were taken and not released are left out.
func (s *State) DirtyProgress(limit int) []ProgressRow {
	var rows []ProgressRow
	for _, js := range s.dirty {
		if len(rows) == limit {
			break
		}
		if !js.storing {
			rows = append(rows, ProgressRow{ID: js.def.ID, Version: js.version, Rev: int64(js.rev), Progress: js.progress()})
		}
	}
	return rows
}

// TakeProgress returns progress to store, between least and limit rows, or none. A row
// depends on the stored revision that it replaces, so that no other row of its job is
// returned until ReleaseProgress.
func (s *State) TakeProgress(least, limit int) []ProgressRow {
	waiting := 0
	for _, js := range s.dirty {
		if !js.storing {
			waiting++
		}
	}
	if waiting < least {
		return nil
	}
	rows := s.DirtyProgress(limit)
	for _, r := range rows {
		s.jobs[r.ID].storing = true
	}
	return rows
}

// ReleaseProgress gives back rows that were taken, after their transaction has ended.
func (s *State) ReleaseProgress(rows []ProgressRow) {
	for _, r := range rows {
		if js := s.jobs[r.ID]; js != nil {
			js.storing = false
		}
	}
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

// ProgressTooLarge ends a job whose progress is larger than the store holds. If the
// record of its end is too large as well, the tasks are left out of it.
func (s *State) ProgressTooLarge(id job.ID, size int, now clock.BootTime) {
	js := s.jobs[id]
	if js == nil {
		return
	}
	s.Logger.Log("msg", "progress too large for the store", "job", id, "bytes", size, "outcome", js.outcome)
	if js.open() {
		s.close(js, job.Failed, "progress too large for the store", now)
		return
	}
	js.withoutTasks = true
	s.markChanged(js)
}

// ProgressConflict records the revision of a job's stored progress after a
// transaction whose outcome was unknown. The progress is stored again.
func (s *State) ProgressConflict(id job.ID, rev kv.Revision) {
	if js := s.jobs[id]; js != nil {
		js.rev = rev
	}
}

// ExpiredJob is a job whose outcome need no longer be kept.
type ExpiredJob struct {
	ID      job.ID
	Created kv.Revision // at which it was accepted
}

// ExpiredJobs returns jobs whose outcome need no longer be kept, at most limit.
// They remain in the state until RemoveExpired, since a list of the jobs may
// return them until they are deleted. For the same reason a job is kept until the
// input has been read up to its acceptance.
func (s *State) ExpiredJobs(now clock.BootTime, limit int) []ExpiredJob {
	var expired []ExpiredJob
	for _, js := range s.closed {
		if len(expired) == limit || now.Sub(js.closed) < s.Limits.OutcomeRetention {
			break
		}
		if js.storedVersion == js.version && js.created <= s.inputRev {
			expired = append(expired, ExpiredJob{ID: js.def.ID, Created: js.created})
		}
	}
	return expired
}

// RemoveExpired removes jobs that the store no longer holds. Their progress is not stored
// again.
func (s *State) RemoveExpired(expired []ExpiredJob) {
	removed := make(map[*jobState]bool, len(expired))
	for _, e := range expired {
		if js := s.jobs[e.ID]; js != nil && js.created == e.Created {
			removed[js] = true
			delete(s.jobs, e.ID)
			s.ledger.Release(js.account)
		}
	}
	s.dirty = slices.DeleteFunc(s.dirty, func(js *jobState) bool { return removed[js] })
	s.closed = slices.DeleteFunc(s.closed, func(js *jobState) bool { return removed[js] })
}
