// Package backend exchanges requests and responses with the backend servers.
//
// # Communication
//
// A Client uses HTTP/1.1 over its own connections to runners. It sends a
// Request-Id and compares it with the one in the response. A runner rejects
// work by status 503 with Outcome: not-run, and adds Leaving: true when it is
// shutting down.
//
// # Ownership
//
// The Client owns its connections. Close closes the idle ones and rejects new
// exchanges; the channel of Done is closed after the last exchange.
//
// # Failure
//
// The result of a failed exchange indicates whether the request can have run.
// The outcome is not-run only after a failure before the first byte was
// written, or if the server itself rejected the request.
package backend
