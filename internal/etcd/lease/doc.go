// Package lease holds keys of the platform's service under leases, and makes
// writes whose outcome must be known.
//
// # Use
//
// A Register keeps a daemon's registration, a Lock the key of a zone's manager.
// Settle repeats a compare-and-swap until it knows whether it stands.
//
// # Failure
//
// While the platform is down they try again with jitter. A holder that was
// paused learns from the deadline of what it holds, which was taken before the
// renewal was sent, that it may hold the key no longer; its writes compare the
// key's create revision as well.
package lease
