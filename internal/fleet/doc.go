// Package fleet holds the hosts of an availability zone, the pool that each
// belongs to, and the state machine that a host goes through.
//
// # Ownership
//
// A Map is one zone's record of its hosts. It is kept in the platform's
// key-value service and only the zone's manager writes it, by compare-and-swap
// on the map's revision and on its manager key. Everyone else holds an
// immutable copy. A host stands in one Map once and names one pool, so it
// belongs to exactly one pool at any moment.
//
// # Roster
//
// The set of daemons that a drain waits for is kept in the Map itself, because
// registrations vanish with their leases. The rules are:
//
//   - A daemon sends requests by a map only if that map's roster lists the
//     daemon's incarnation (Map.HasMember). This holds for each zone's map,
//     whatever the daemon's own zone is.
//   - The manager adds each registered daemon of every zone (Join), except
//     while the lagging host list has its entry host as gone: that row is about
//     an earlier host of the same name and must not count as proof later.
//   - A member leaves the roster only by proof that it sends no more (Part): a
//     newer incarnation under its name, the host list reporting its entry host
//     as gone, or its own bye after it confirmed 0 outstanding requests. A
//     lapsed registration is no proof.
//   - A drain of version V is complete when every member that joined before V
//     has confirmed a version of V or later and 0 outstanding requests.
//
// This is safe: suppose that a daemon may still send to a host by a map older
// than V. That map lists the daemon, so the daemon joined before V. It is not
// proved gone, so it is still in the roster. It has not confirmed V, or has
// requests outstanding, so the drain waits. A member that joined at V or later
// holds no map in which the host takes requests, and is not waited for. The
// argument uses no clock. It relies on a name being used by one process at a
// time (it belongs to an entry host's peer address), on incarnations of a name
// growing, on the host list never returning to an earlier state, and on each daemon confirming a version only after its last routing
// decision by an older one has been counted as outstanding.
//
// A daemon that is not yet listed is not ready and answers requests with 503
// not-run. It normally becomes listed within one round of the manager. While
// the platform is down the map cannot be written, so a daemon started in an
// outage stays unready until the outage ends, and the listed daemons carry its
// load. Admission by peers instead was ruled out: a newcomer whose sponsors all
// crash, and which is then partitioned, would be unknown to the next manager.
//
// # Failure
//
// The package does no I/O. An Event that the state machine does not allow is
// an error, and the Map stays as it was.
package fleet
