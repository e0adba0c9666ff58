// Package entry takes callers' jobs at a daemon, tells their state and cancels
// them.
//
// A job is accepted once the store holds it; several jobs go into one
// transaction. A refusal means that the store does not hold the job and never
// will by this attempt. If that cannot be known in the caller's time, the
// outcome is unknown, and the caller sends the same job again.
//
// The state of a job comes from the leader, or from the store when the leader
// cannot be asked. A job is said not to exist only if the store says so.
package entry
