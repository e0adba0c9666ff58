// Package gateway holds the messages of the HTTP/JSON gateway of the etcd v3
// API, and exchanges them over HTTP. Names and encodings are those that the
// gateway publishes: base64 for keys and values, strings for 64-bit integers,
// and absent fields for zero values.
//
// # Failure
//
// A failed exchange reports whether any byte of its request was sent. A request
// is sent at most once, except that the transport may retry a GET whose
// connection was closed.
package gateway
