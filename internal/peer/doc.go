// Package peer connects the entry daemons, the processes on the entry hosts, to
// each other.
//
// # Links
//
// A link is a WebSocket connection between two daemons, in package link. Both
// ends prove in the handshake that they have the shared secret, unless both are
// loopback addresses. Inside a zone every pair has a link. Between two zones
// the links form a matching by rendezvous hashing, so that each daemon has
// about one link to each other zone: 10 links at 27 daemons in 9 zones.
// A message to a daemon without a link opens one on demand.
//
// # Ownership
//
// The Mesh owns its links and the set of known daemons. Plans, maps and leaving
// hosts belong to the state.Tracker; every link forwards their changes, so they
// reach daemons that are several links away. Other broadcasts are sent over one
// link only.
//
// # Failure
//
// A failed link is dialed again with increasing delays. While a daemon cannot be
// reached, a link to another daemon of its zone is opened instead. No part of a
// daemon relies on the delivery of a message: the heartbeat carries the
// versions of the plan and the maps, and the newest Load, FreeSlots and Confirm
// are repeated on a new link. A daemon that no link, peer or registration
// mentions is removed after an hour.
package peer
