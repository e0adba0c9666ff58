// Package kv implements an in-memory key-value store with revisions, leases and
// watches, and the HTTP/JSON gateway of the etcd v3 API for it. The Store owns
// all state, which is lost when the process ends.
package kv
