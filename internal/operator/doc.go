// Package operator implements the operators' actions: apply a configuration
// text, show it, and read the status of the daemons.
//
// # Ownership
//
// The configuration text is one record in the key-value store. Apply replaces it
// by compare-and-swap against the version that the operator last read. Daemons
// report their active version at /status.
//
// # Failure
//
// If the response to the write is lost, Apply retries the same write. The
// comparison lets at most one of them take effect, and the record names its
// write, so that the outcome becomes known. Versions never decrease: a text gets
// a higher version than any daemon has active, even after the store was restored
// from an older state.
package operator
