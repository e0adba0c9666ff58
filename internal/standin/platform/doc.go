// Package platform is a stand-in for the platform in tests. It serves a
// key-value store with the HTTP/JSON gateway of the etcd v3 API, a host list
// and tasks. Tests inject faults over HTTP.
//
// Server owns all state, which is in memory and is lost when the process ends.
// It calls only the control addresses of the hosts, through Runners. If a call
// to start a runner fails, the task fails; the call is not retried. If a call to
// stop a runner fails, the task remains running; the stop is retried at the next
// request to stop the task and, after the task's lease has expired, at each Tick.
package platform
