// Package relay distributes the leader's calls to runners over the other
// daemons.
//
// With some hundred runners the calls need more processor time than one host
// has, while the other hosts are idle. Each daemon that does not lead therefore
// opens a WebSocket connection to the leader and executes calls for it: the
// leader sends commands and polls as CBOR, several in a message, and receives
// the results in the same way. All decisions stay with the leader.
//
// # Membership
//
// The relays are the connected daemons. The store has no list of them: daemons
// read the leader's address from the leader key, and the connection shows that
// both ends are alive. The leader calls a runner through a relay of the
// runner's zone if there is one, selected by a weighted hash, so that few
// runners change their relay when a relay connects or disconnects.
//
// # Failures
//
// A command through a relay that gets no reply is treated like any other
// command without a reply: it may have been executed, or the runner may execute
// it later. Terms, attempts and leases protect against both, but not at a new
// incarnation of the runner, which knows none of them. Each call therefore has
// an expiry, at which the leader gives up on it. However long the call was held
// on the link or the relay was paused, the relay does not begin it after that and
// cancels it if it has begun. An expired call is returned as not sent. A result
// that arrives after the leader has given up on its call is dropped.
//
// The expiry is a time of the boot clock of the leader's host, whose origin is
// unrelated to that of the relay's. In reply to the hello and with its calls, the
// leader returns the time at which the relay sent its last message, by the
// relay's clock, and the time of its receipt, by its own. From these the relay
// knows the latest time that the leader's clock can have, and compares it with
// the expiry immediately before each call to a runner.
//
// A relay whose calls time out repeatedly is disconnected. Without a relay the
// leader calls runners itself.
package relay
