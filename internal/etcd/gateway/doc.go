// Package gateway holds the messages of the HTTP/JSON gateway of the etcd v3
// API, and one exchange over HTTP with its outcome. Names and encodings are
// those that the gateway publishes: base64 for keys and values, strings for
// 64-bit integers, and absent fields for zero values.
//
// # Failure
//
// An exchange that fails reports whether any byte of its request was sent. A
// request is sent at most once: the transport may repeat a GET on a connection
// that died, and never any other method.
package gateway
