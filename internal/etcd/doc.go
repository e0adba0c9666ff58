// Package etcd is the client of a platform that speaks the etcd v3 form, for the
// request path of the product's own interface: its
// key-value service, its host list and its tasks.
//
// # Failure
//
// The service has outages, and its responses can be lost after a write took
// effect. Such a call returns an *UnknownError; the writer reads again until
// it knows. The client never re-sends a write by itself.
package etcd
