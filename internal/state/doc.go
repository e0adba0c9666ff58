// Package state holds what is in force at a daemon: the newest operators'
// text, the newest map of each zone and the set of leaving hosts.
//
// # Ownership
//
// A Tracker has one writer lock and any number of lock-free readers. Readers
// take one View, which is immutable and replaced whole.
//
// # Failure
//
// Versions only grow. An older text or map is ignored, whoever offers it: the
// platform after a restore, a peer that was cut off, or a late response.
package state
