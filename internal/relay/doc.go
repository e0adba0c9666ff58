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
// command without a reply: it may have been executed, or may be executed later.
// Terms, attempts and leases protect against both. A relay whose calls time out
// repeatedly is disconnected. Without a relay the leader calls runners itself.
package relay
