// Package manager implements the zone's manager, a role that one daemon of the
// zone has at a time. The manager writes the zone's map and starts, renews and
// stops the runners' tasks.
//
// # Ownership
//
// Each daemon runs a Manager. The one that holds the manager key, which is
// created under a lease if it is absent, acts; the others record confirmations,
// so that they have them when they take over. Each round compares the desired
// state with the observed state and takes the next step. No step relies on an
// earlier one having been done by the same manager.
//
// Every write of the map is a transaction that compares the map's revision, the
// create revision of the manager key and the revision of the configuration text.
// After a write of unknown outcome, the manager reads the store before it does
// anything else.
//
// # A paused manager
//
// A manager that was paused for longer than its lease stops at the next check.
// Its map writes fail because the key has been recreated. The task service does
// not check leases, so the manager checks before each call that its lease is
// still held, and abandons the call when the lease expires. A call that is
// delayed beyond that, in transit or by a pause between the check and the send,
// does no harm to tasks, because the identifier of a task contains the map
// version that granted it:
//
//   - A late start names a task that was already started or stopped. A stopped
//     identifier does not start again, and a task that is not in the map is not
//     renewed, receives no requests and is stopped.
//   - A late stop names a task that had to stop in any case.
//   - A late renewal delays the end of a task by at most one lease.
//
// The manager leaves tasks alone whose identifier is newer than its map.
//
// Reboot names a host, not a task. A reboot call that is delayed until after the
// lease expired, a later manager observed the reboot and the host started its
// next runner would interrupt that runner. This takes a delay of minutes in a
// single call and is not prevented.
//
// # Failure
//
// While the platform is unavailable, the manager changes nothing and its lease
// expires. Tasks then run until their own leases expire. A drain waits for each
// daemon that has not confirmed; Status lists them.
package manager
