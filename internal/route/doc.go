// Package route chooses the runner for each attempt of a request, takes runners
// that fail out of the choice, and bounds retries.
//
// # Use
//
// For each attempt: Budget.Retry if it is not the first, Picker.Pick, the
// exchange, then Picker.Finish with the Decision and the Result. Another part
// passes the maps, the leaving hosts and the reports of other daemons to the
// Picker.
//
// # Ownership
//
// The Picker owns the counters of all runners. Pick and Finish use atomics on
// an immutable snapshot; Set, SetRemoteLoad, RemoveDaemon and SetFreeSlots replace what they read.
//
// # Failure
//
// A runner that fails requests is ejected, or avoided when half of its pool is
// out. Reports that are missing or old lead to requests that a busy runner
// refuses. Another zone's room expires with its report.
package route
