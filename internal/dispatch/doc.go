// Package dispatch processes a request from arrival to outcome: the claim on
// its idempotency key, admission, the choice of a runner, the exchange with the
// runner, and retries.
//
// # States
//
//	received -> claimed (keyed only) -> queued -> admitted -> sending -> ended
//
// A request that fails before any byte of it was written to a backend server,
// or that the server itself rejected, ends as not run. After the first byte it
// ends as answered or as unknown, and is retried only if it is idempotent.
//
// # Ownership
//
// A Dispatcher owns only the requests in progress. The queue of a pool belongs to
// its admission.Gate, the state of the runners to the route.Picker, and the record
// of a key to the owner of the key.
//
// # Keys
//
// Only the owner of a key can tell whether an earlier attempt ran it. Until the
// owner has granted the key to this daemon, a keyed request that fails ends as
// unknown, even if this daemon rejects it because of overload.
package dispatch
