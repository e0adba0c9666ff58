// Package trace records the decisions of a daemon, one JSON line per event, and
// checks a recorded trace against invariants.
//
// # Use
//
// serve --record writes a trace. Traces of several daemons can be read together:
// Read merges them by time. The traces that operators send after an incident are
// replayed by the same code that checks the traces of the tests.
//
// # Failure
//
// If writing fails, recording stops with one log line. If the writer is slow and
// the queue is full, events are dropped, and their number is logged at the end.
// Requests are not affected.
package trace
