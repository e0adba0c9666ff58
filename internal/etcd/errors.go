package etcd

import (
	"fmt"

	"github.com/pkg/errors"
)

// Rejections by the store that callers act on.
var (
	// ErrNoLease means that a lease has expired or was revoked.
	ErrNoLease = errors.New("lease not found")
	// ErrCompacted means that the store no longer has the revision at which a
	// watch should start; the watcher lists the keys again.
	ErrCompacted = errors.New("revision compacted")
)

// UnknownError is the error of a call that may have taken effect: the request
// was sent, and no complete response was received.
type UnknownError struct {
	Op, Key string
	Err     error
}

func (e *UnknownError) Error() string {
	return fmt.Sprintf("%s %s: outcome unknown: %v", e.Op, e.Key, e.Err)
}

// Unwrap returns the error of the transport.
func (e *UnknownError) Unwrap() error { return e.Err }
