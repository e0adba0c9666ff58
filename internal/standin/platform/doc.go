// Package platform is a stand-in for the platform in tests. It serves a
// key-value store with the HTTP/JSON gateway of the etcd v3 API, a host list
// and tasks. Tests inject faults over HTTP.
//
// Server owns all state, which is in memory and is lost when the process ends.
// It calls only the control addresses of the hosts, through Runners. If a call
// to start a runner fails, the task fails; the call is not retried.
package platform
