// Package intake bounds what clients can make a server of callers hold:
// connections, headers and bodies that are being read or handled, and large
// bodies that are decoded at the same time. Both the daemon of entry and that of
// serve use it, so that no crowd of clients takes their memory or descriptors.
//
// A Guard wraps the listener and the handler of one HTTP server and owns the state
// of its connections. It never waits for a client: at a limit it closes the
// connection that has been stalled the longest, and a body that finds no room in
// time fails with ErrBusy, to which the handler responds that nothing was done.
package intake
