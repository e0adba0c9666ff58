// Package owner finds the home of callers' own idempotency keys: the daemon
// that first recorded the key in the platform's key-value service.
//
// # Failure
//
// While the service is down, no home can be found and Find returns an error at
// once. A lost response is followed by the same transaction again, which reads
// the records if the lost one took effect.
package owner
