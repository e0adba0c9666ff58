// Package backend is a stand-in for the host agent of a backend server and its
// runners, for tests and measurements.
//
// # Communication
//
// A platform stand-in or a test starts and stops runners through Host or its
// HTTP control (Handler). Entry daemons send requests to the runners over
// HTTP/1.1.
//
// # Ownership
//
// A Host owns its runners, its faults and its record of runs. The record
// counts what took effect, so that a test can check at-most-once execution.
//
// # Failure
//
// Faults are enabled per host, each for a number of times or until they are
// replaced. A run continues if its client disconnects.
package backend
