// Package daemon assembles one entry daemon, the process on an entry host that
// accepts callers' requests; the command serve runs it. It watches the key-value
// store and the other daemons, serves callers, and takes part in managing its
// zone.
//
// # Start
//
// A daemon first links to its peers and reads the key-value store. It reports
// ready once it has a configuration text, every peer it can reach has answered,
// and the map of its zone lists it.
//
// # Stop
//
// A planned stop reports not ready, waits until the load balancer has noticed,
// lets the running requests finish, writes the totals, sends a shutdown notice
// to the peers and removes the registration, all before a deadline.
//
// # Failure
//
// While the key-value store or peers are unavailable, the daemon continues with the
// state that it has. If a part of the daemon fails, all parts stop and Run returns
// the error.
package daemon
