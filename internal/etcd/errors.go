package etcd

import (
	"fmt"

	"github.com/pkg/errors"
)

// Refusals by the store that callers act on.
var (
	// ErrNoLease means that a lease has lapsed or was revoked.
	ErrNoLease = errors.New("lease not found")
	// ErrCompacted means that the store no longer has the revision at which a
	// watch should start; the watcher lists the keys again.
	ErrCompacted = errors.New("revision compacted")
)

// UnknownError is a call that may have taken effect: the request left, and no
// whole answer came back.
type UnknownError struct {
	Op, Key string
	Err     error
}

func (e *UnknownError) Error() string {
	return fmt.Sprintf("%s %s: outcome unknown: %v", e.Op, e.Key, e.Err)
}

// Unwrap returns the transport's error.
func (e *UnknownError) Unwrap() error { return e.Err }
