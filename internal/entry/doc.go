// Package entry accepts callers' jobs at a daemon, returns their state and
// cancels them.
//
// A job is accepted once it is stored; several jobs are stored in one
// transaction. A rejection means that the job is not stored and will not be
// stored by this attempt. If this cannot be determined before the caller's
// deadline, the outcome is unknown, and the caller must submit the same job again.
//
// A submission that its pool cannot complete in time is rejected before it is stored,
// by the leader's view of the load; see Admission. A job that is already stored is not.
//
// The state of a job is that of the leader, or that of the store if the leader
// cannot be queried. A job is reported as nonexistent only if it is not in the
// store.
//
// While the store is unreachable, the last configuration stays active, and its age
// grows, by which package workspace rejects requests with keys. A caller that may not see
// a job is told that it does not exist.
package entry
