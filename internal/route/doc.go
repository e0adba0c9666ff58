// Package route chooses a runner for each attempt of a request, ejects runners
// that fail requests, and bounds retries.
//
// # Use
//
// For each attempt, the caller calls Budget.AllowRetry if it is not the first
// attempt, then Picker.Pick, exchanges the request with the runner, and calls
// Picker.Finish with the Decision and the Result. Maps, leaving hosts and
// reports of other daemons are passed to the Picker separately.
//
// # Ownership
//
// The Picker owns the counters of all runners. Pick and Finish use atomics on an
// immutable snapshot. Set replaces the snapshot; SetRemoteLoad, RemoveDaemon and
// SetFreeSlots store new values in its counters.
//
// # Failure
//
// A runner that fails requests is ejected, or avoided if half of its pool is
// already ejected. With missing or old reports, requests are sent to busy runners,
// which reject them. The reported free slots of another zone expire with the
// report.
package route
