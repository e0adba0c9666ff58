// Package workspace decides whether a request may be handled with the key that its
// caller sent, and which jobs the caller may see. It is pure: the caller passes the
// header values, the queue, the configuration and its age.
//
// The load that it addresses is that of callers with missing, wrong or very long keys,
// and of a store that is slow or unreachable while keys change. A decision takes one
// look-up and allocates nothing that depends on the key. No decision, reason or error
// contains a key or a part of one.
package workspace
