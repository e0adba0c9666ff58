// Package fleet holds the hosts of an availability zone, the pool that each
// belongs to, and the state machine that a host goes through.
//
// # Ownership
//
// A Map is one zone's record of its hosts. It is stored in the key-value store,
// and only the zone's manager writes it, by compare-and-swap on the map's
// revision and on the manager key. All other daemons have an immutable copy. A
// host is listed once, in one Map, and has one pool, so it belongs to exactly
// one pool at any time.
//
// # Roster
//
// The set of daemons that a drain waits for is stored in the Map itself,
// because registrations are deleted when their leases expire. The rules are:
//
//   - A daemon sends requests by a map only if that map's roster lists the
//     daemon's incarnation (Map.HasMember). This holds for each zone's map,
//     whatever the daemon's own zone is.
//   - The manager adds each registered daemon of every zone (Join), except
//     while the host list reports its entry host as gone: the list lags, and
//     that entry is about a previous host of the same name, which must not be
//     treated as proof later.
//   - A member leaves the roster only by proof that it sends no more requests
//     (Leave): a newer incarnation under its name, the host list reporting its
//     entry host as gone, or its own shutdown notice after it confirmed 0
//     outstanding requests. An expired registration is no proof.
//   - A drain of version V is complete when every member that joined before V
//     has confirmed a version of V or later and 0 outstanding requests.
//
// This is safe: suppose that a daemon may still send to a host by a map older
// than V. That map lists the daemon, so the daemon joined before V. It is not
// proved to have left, so it is still in the roster. It has not confirmed V, or
// has requests outstanding, so the drain waits. A member that joined at V or
// later has no map in which the host accepts requests, and is not waited for.
// The argument uses no clock. It relies on a name being used by one process at
// a time (it belongs to an entry host's peer address), on incarnations of a
// name growing, on the host list never returning to an earlier state, and on
// each daemon confirming a version only after its last routing decision by an
// older one is included in its outstanding requests.
//
// A daemon that is not yet listed is not ready and rejects requests with 503
// not-run. It is normally listed within one planning round of the manager.
// While the key-value store is unavailable the map cannot be written, so a
// daemon started in an outage is not ready until the outage ends, and the
// listed daemons handle its load. Admission by peers instead is not safe: if all
// peers that admitted a new daemon crash and the daemon is then partitioned, the
// next manager has no record of it.
//
// # Failure
//
// The package does no I/O. An Event that the state machine does not allow is an
// error, and the Map is unchanged.
package fleet
