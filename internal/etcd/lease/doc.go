// Package lease keeps keys of the key-value store alive under leases, and makes
// compare-and-swap writes whose outcome is resolved if a response is lost.
//
// # Use
//
// A Registration keeps the registration of a daemon, a Lock the key of the
// manager of a zone. CASWriter repeats a compare-and-swap until its outcome is
// known or its context ends.
//
// # Failure
//
// While the store is unavailable, all of them retry with jitter. The deadline of
// a held key is computed before the renewal is sent, so that a holder that was
// paused can see that it may have lost the key. Its writes also compare the
// create revision of the key, so that they fail once the key was lost.
package lease
