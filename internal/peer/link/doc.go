// Package link runs one link: the heartbeat, the exchange of plans, maps and
// leaving hosts with the state.Tracker, and the queue of all other messages.
//
// # State
//
// The heartbeat carries the versions, and is also sent immediately after a
// change. The end with the newer version sends it, once per link and version.
// After the first exchange it first gives the peer a short time to get the
// version from the key-value store itself.
//
// # Failure
//
// A link ends when a read or write fails, when no heartbeat is received in
// time, or when its queue is full. The queued messages are then lost; the next
// link of the pair exchanges the state again.
package link
