// Package watch passes state of the platform to the other parts of a daemon: the
// configuration text, the maps and the registered daemons, the leaving hosts, and
// the services that have exhausted their availability budget.
//
// # Ownership
//
// The package holds the registered daemons, the zones' managers and the exhausted
// budgets, as last read. The text, the maps and the leaving hosts belong to the
// state.Tracker.
//
// # Failure
//
// While the platform is unavailable, the previous state stays active. A watcher
// that lost its watch reads all keys again and passes them on; state.Tracker
// ignores older versions.
package watch
