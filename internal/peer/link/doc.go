// Package link runs one link: the heartbeat, the exchange of plans, maps and
// leaving hosts with the state.Tracker, and the queue of all other messages.
//
// # State
//
// Versions travel in the heartbeat, at once after a change. The side with the
// newer version sends it, once per link and version. After the first exchange
// it gives the peer a moment to get the version from the platform itself.
//
// # Failure
//
// A link ends when a read or write fails, when no heartbeat arrives in time,
// or when its queue is full. What was queued is then lost; the next link of
// the pair exchanges the state again.
package link
