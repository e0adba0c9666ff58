// Package totals counts the daily totals that operators compare, and stores
// them in the key-value store.
//
// # Ownership
//
// Each daemon incarnation has one key per day, which no other process writes, and
// stores its absolute counts there. A write whose response was lost is repeated,
// which does not count anything twice.
//
// State transitions of hosts are counted by the manager that wrote the map
// version with the transition, when that version becomes active at its daemon. A
// version has one writer and is activated at a daemon once, so nothing is
// counted twice. If the response to the write was lost, the version is activated
// as soon as the writer reads the map again. Not counted are
//
//   - the changes of one version, if its response was lost and another manager
//     wrote a newer one before its writer read the map again,
//   - a move, if the daemon that grants the host started after the host's last
//     runner had stopped, because the host's earlier pool is in no map.
//
// Idle minutes are sampled by the manager. A change of the manager loses or
// repeats at most one minute of each idle host. Time without a manager is not
// counted.
//
// # Failure
//
// While the store is unavailable, the counts stay in memory. A daemon that is
// killed loses the counts since its last write, which is at most FlushInterval ago
// while the store is available.
package totals
