// Package etcd is the client of a platform whose key-value store speaks the
// etcd v3 JSON API. It covers the key-value store, the host list and the tasks,
// and serves the daemons that forward requests to backend servers.
//
// # Failure
//
// The platform has outages, and a response can be lost after the write took
// effect. Such a call returns an *UnknownError, and the caller resolves the
// outcome; lease.CASWriter does so for compare-and-swap writes. The client never
// retries a write by itself. It keeps the last host list, so that the platform
// sends the list only if it has changed.
package etcd
