// Package faults injects faults into the calls of an HTTP handler: calls are
// delayed, refused, frozen, executed without a response, or disconnected by
// zone. The Injector owns the active faults and the counts; PUT /faults of the
// stand-in sets the faults.
package faults
