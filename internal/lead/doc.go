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
// its lease for RenewDeadline, which is checked where a lease is computed and where
// a command is written, since the process may have been paused. The next leader
// relies on that limit for runners that it cannot reach: it assumes that their runs
// may last for RenewDeadline plus the maximum runner lease, unless the list of
// machines shows after the last start that they have ended. No task is started later
// than StartDeadline after a renewal. The next leader also asks the previous one to end
// its term, and waits less for one that has. Results are not acknowledged to runners
// until their effect is stored.
//
// # Ownership
//
// The Leader owns the sched.State of its term behind one mutex. Each runner has
// a goroutine that polls it. One goroutine each plans, stores progress, watches
// the input, the registered runners and the waves, lists the machines, sends
// policy queries, and renews the lease.
package lead
