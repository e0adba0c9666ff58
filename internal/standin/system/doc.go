// Package system runs the stand-ins of the platform and of all backend servers
// in one process, for the demo and for tests of complete daemons.
//
// # Ownership
//
// A System owns the platform stand-in, its listener on loopback and the hosts'
// runners. Its user starts the daemons.
package system
