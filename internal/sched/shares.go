package sched

import "gypsumtrestle.example/gypsumtrestle/internal/clock"

// beyondShare reports whether a job is beyond the share of its workspace.
func (s *State) beyondShare(*jobState, clock.BootTime) bool { return false }

// workspacesBeyondShare returns the workspaces whose next job would be beyond their
// share.
func (s *State) workspacesBeyondShare(clock.BootTime) []string { return nil }
