// Package pool holds a daemon's view of the pools: the gate that admits the
// requests of each pool, the daemon's share of the zone's slots, and the free
// slots that other zones advertise.
//
// # Ownership
//
// A Table owns the gates. The request path reads it without a lock; new state,
// load reports and advertised free slots replace what it reads.
//
// # Failure
//
// The last demand of a daemon whose reports stop is used until its link is
// lost. Free slots of other zones expire. All daemons of a zone divide the
// slots by the same reports; where reports differ, runners reject requests that
// exceed their slots.
package pool
