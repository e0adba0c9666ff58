// Package wire opens and accepts authenticated connections between daemons,
// and holds the messages that wait to be sent on one.
//
// # Authentication
//
// Both ends prove that they have the shared secret with an HMAC over both
// hellos. This authenticates who opened the connection; the messages after it
// are neither encrypted nor signed, so the network between the daemons must be
// trusted not to alter them.
//
// # Failure
//
// Reads, writes and dials have deadlines. After any error the connection is
// unusable and must be closed.
package wire
