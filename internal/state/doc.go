// Package state holds the active state of a daemon: the newest configuration text
// of the operators, the newest map of each zone and the set of leaving hosts.
//
// # Ownership
//
// A Tracker has one writer lock and any number of lock-free readers. Readers
// load one View, which is immutable and replaced as a whole.
//
// # Failure
//
// Versions never decrease. An older text or map is ignored regardless of its
// source: the platform after a restore from a backup, a peer that was partitioned,
// or a late response.
package state
