// Package owner finds the owner of callers' own idempotency keys: the daemon that
// first recorded the key in the key-value store.
//
// # Ownership
//
// The store holds the records, each under a lease, so that they expire. A Finder
// owns the pending lookups of its daemon and does not cache their results.
//
// # Failure
//
// While the store is unavailable, no owner can be found and Find returns an error
// at once. If the response to a transaction is lost, the same transaction is sent
// again; it reads the records if the first one was applied.
package owner
