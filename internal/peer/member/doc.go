// Package member holds the daemons that a daemon has discovered, and the link
// rule, which selects the ones to which it maintains links. It does no I/O and
// is not safe for concurrent use; the mesh synchronizes access.
package member
