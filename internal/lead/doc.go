// Package lead elects one daemon as the leader and carries out its decisions.
//
// # Election
//
// The leader holds a key in the store under a lease; the revision of that key
// is its term and the fence of its orders. A daemon that sees the key missing
// tries to create it. All of the leader's writes are conditional on the key's
// revision, so that a leader that has lost it without notice cannot change
// what its successor has read.
//
// # When the store is away
//
// A leader that cannot reach the store goes on ordering runners, since their
// fences protect a successor. It stops when it has not renewed its lease for
// RenewDeadline, which is what a successor counts with for runners that it cannot
// reach. Ends are not noted at the runners until their effect is stored.
//
// # Ownership
//
// The Leader owns the sched.State of its term behind one mutex. A goroutine
// for each runner looks at it; one goroutine each plans, stores progress,
// watches the input and the list of runners, and renews the lease.
package lead
