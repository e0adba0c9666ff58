// Package watch takes what the platform says to the rest of a daemon: the text,
// the maps and the registered daemons, the hosts that leave, and the services
// that have used up their availability budget.
//
// # Failure
//
// While the platform is down the state in force stays. A follower that lost its
// watch reads everything again and offers it; older versions are ignored by the
// keeper.
package watch
