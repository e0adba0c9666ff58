package sched

import (
	"cmp"
	"slices"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/kv"
	"gypsumtrestle.example/gypsumtrestle/internal/share"
)

// maxReadLag is how long before a job is read it may have been accepted, as far as its
// share is concerned. A wall clock that jumps makes the times of acceptance stand still
// for no longer. The store gives jobs late by less, also when it is slow.
const maxReadLag = 5 * time.Second

// shares is what the state holds for the shares of workspaces.
type shares struct {
	lines    share.Lines
	untagged []untagged // in any order
}

// untagged is a job that has no tag yet.
type untagged struct {
	job        *jobState
	acceptedAt clock.BootTime // as far as its share is concerned
}

// awaitTag records that a job needs a tag. The jobs of previous terms are read in no
// particular order, so that tags are given when they are first needed.
func (s *State) awaitTag(js *jobState, now clock.BootTime, wall time.Time) {
	if js.def.Workspace == "" || js.def.LongRunning() {
		return
	}
	// The age of jobs of previous terms is not limited to maxJobAge: all jobs above the
	// limit would count as accepted at once.
	at := now.Add(-max(wall.Sub(js.def.Accepted), 0))
	if js.created > kv.Revision(s.Term) {
		at = max(at, now.Add(-maxReadLag))
	}
	s.untagged = append(s.untagged, untagged{job: js, acceptedAt: at})
}

// tagJobs gives tags to the jobs that need one, in the order of acceptance.
func (s *State) tagJobs() {
	slices.SortFunc(s.untagged, func(a, b untagged) int { return cmp.Compare(a.job.created, b.job.created) })
	for _, u := range s.untagged {
		js, weight := u.job, 0.0
		if js.limits != nil {
			weight = js.limits.Weight
		}
		tag := s.lines.Next(js.def.Workspace, u.acceptedAt, weight)
		if js.beyond = tag.Beyond; js.beyond && js.open() {
			s.Logger.Log("msg", "job beyond the share of its workspace", "job", js.def.ID, "workspace", js.def.Workspace, "weight", weight, "lead", tag.Lead, "rev", int64(js.created))
		}
	}
	clear(s.untagged)
	s.untagged = s.untagged[:0]
}

// beyondShare reports whether a job is beyond the share of its workspace, so that it comes
// after all jobs within theirs. Long-running jobs and jobs without a workspace never are.
// A job keeps its place until it is done.
func (s *State) beyondShare(js *jobState, _ clock.BootTime) bool {
	if len(s.untagged) > 0 {
		s.tagJobs()
	}
	return js.beyond
}

// tier is what candidates are ranked by first.
type tier int8

const (
	longRunningTier tier = iota
	withinShareTier
	beyondShareTier
)

func (s *State) tier(js *jobState, now clock.BootTime) tier {
	switch {
	case js.def.LongRunning():
		return longRunningTier
	case s.beyondShare(js, now):
		return beyondShareTier
	}
	return withinShareTier
}

// workspacesBeyondShare returns the workspaces of which a job that is accepted now would
// be beyond the share, ordered by name.
func (s *State) workspacesBeyondShare(now clock.BootTime) []string {
	s.tagJobs()
	return s.lines.Beyond(now)
}

// configureShares applies the weights of a configuration to the next jobs.
func (s *State) configureShares() {
	for name, w := range s.cfg.Workspaces {
		s.lines.Configure(name, w.Weight)
	}
}

// sweepShares drops the tags of workspaces that are neither configured nor have jobs.
func (s *State) sweepShares(now clock.BootTime) {
	s.lines.Sweep(now, func(name string) bool { return s.cfg.Workspaces[name] != nil || s.ledger.Has(name) })
}

// arrivesWithinShare reports whether a new job counts for the work that its pool expects.
// Before the first planning pass, jobs of previous terms may not have been read yet.
func (s *State) arrivesWithinShare(js *jobState, now clock.BootTime) bool {
	return s.lastFullPlan == 0 || !s.beyondShare(js, now)
}

// shareClass returns the class of a job's work as demand of its pool. Work beyond a share
// yields machines to timely work within one.
func (s *State) shareClass(js *jobState, c deadlineClass, now clock.BootTime) deadlineClass {
	if s.beyondShare(js, now) {
		return max(c, late)
	}
	return c
}
