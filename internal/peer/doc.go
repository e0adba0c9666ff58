// Package peer connects the entry daemons to each other.
//
// # Links
//
// A link is a WebSocket connection between two daemons, in package link. Both
// ends prove in the hello that they know the shared secret, unless both are
// loopback addresses. Inside a zone every pair has a link. Between two zones
// the links form a matching by rendezvous hashing, so that each daemon has
// about one link to each other zone: 10 links at 27 daemons in 9 zones.
// Messages to a daemon without a link dial it on demand.
//
// # Ownership
//
// The Mesh owns its links and the known daemons. Plans, maps and leaving hosts
// belong to the state.Tracker; links pass on what changes there, so these reach
// daemons that are several links away. Other broadcasts go one link far.
//
// # Failure
//
// A link that breaks is dialled again with growing delays, and a daemon that
// cannot be reached is stood in for by another of its zone. Nothing depends on
// a message arriving: the heartbeat carries the versions of the plan and the
// maps, and the newest Load, FreeSlots and Confirm are repeated on a new link. A
// daemon that nothing mentions is forgotten after an hour.
package peer
