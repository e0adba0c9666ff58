// Package quota decides whether a workspace may have one more task running. It keeps
// one ledger of what each workspace may have running on all runners of all pools,
// and compares it with the workspace's cap.
//
// It addresses a workspace that sends more work than its cap allows while runs start,
// stop and move on many runners, and while a new leader does not know all runs of the
// previous one. What may be running counts: starts without a reply, stops that no
// runner has confirmed, and an upper bound of the runs of previous leaders.
//
// The package does no I/O. The ledger belongs to the leader's state; its caller adds
// and removes every run there. A newly started leader fills it from the reports of
// runners and from the roster. A nil account is that of a job without a workspace,
// which has no cap.
package quota
