// Package caller serves the callers over HTTP: it validates a request, enforces
// its limits, passes it to dispatch, and writes the response or a problem
// response.
//
// # Failure
//
// Invalid input gets a 4xx status and occupies no slot. Every problem response
// carries the request's ID and an outcome: not-run only if it is certain that
// the request was not run, unknown otherwise. During a planned stop running
// requests finish; requests that still arrive get a deadline before its end.
package caller
