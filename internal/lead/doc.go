// Package lead elects one daemon as the leader, which schedules jobs and sends
// commands to runners and machines.
//
// # Election
//
// The leader holds a key in the store under a lease. The revision at which the
// key was created is the term, and the fencing token of the leader's commands.
// A daemon that finds no key tries to create it. All writes of the leader are
// conditional on the revision of the key, so that a leader that has lost the
// key without notice cannot change what the next leader has read.
//
// # Store outages
//
// A leader that cannot reach the store continues to send commands to runners,
// because fencing protects the next leader. It stops when it has not renewed
// its lease for RenewDeadline; the next leader waits that long for runners that
// it cannot reach. Results are not acknowledged to runners until their effect
// is stored.
//
// # Ownership
//
// The Leader owns the sched.State of its term behind one mutex. One goroutine
// polls each runner; further goroutines plan, store progress, watch the input
// and the registered runners, and renew the lease.
package lead
