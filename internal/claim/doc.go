// Package claim decides who may run the request of an idempotency key, so that
// it runs at most once.
//
// # Ownership
//
// Each key has a home: one daemon incarnation, for ever. A minted key names its
// home; the home of a caller's own key is the daemon that first recorded it in
// the platform's key-value service. The home's Table decides all claims. The
// Claimer exchanges Claim, Grant and Report messages between holder and home.
//
// # Failure
//
// A grant is not taken back: no clock and no lease takes part. If its holder
// crashes, is paused or is cut off, the key stays granted until it is too old
// to be accepted. If the home is gone or cannot be asked, or the platform
// cannot tell who the home is, the verdict is Unknown, since an earlier attempt
// may have run. Only Full, which the home itself says of a key that it has no
// record of, and the holder's own outcome mean that the request did not run.
//
// A lost Report of a not-run leaves the key granted, which is safe. A grant
// that arrives after its call was given up is reported as not run, since a
// call that was given up never runs.
//
// The clocks of daemons may differ by less than 15 min: a record outlives its
// key's age by that much at least.
package claim
