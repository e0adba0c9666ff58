// Package kv defines the interface to the platform's key-value store: reads,
// watches, leases and conditional transactions.
//
// Callers must distinguish three kinds of failure: ErrRejected means that the
// store did nothing, ErrUnknown that the call may have taken effect or may still
// do so, and a Conflict that a condition of the transaction was not met.
package kv

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// MaxEntries is the maximum number of conditions, writes and deletes of one
// transaction, by the platform's contract.
const MaxEntries = 32

var (
	// ErrRejected means that the store did nothing.
	ErrRejected = errors.New("store call rejected")
	// ErrUnknown means that the call may have taken effect, or may do so later.
	ErrUnknown = errors.New("outcome of store call unknown")
	// ErrNotFound means that there is no such key or lease.
	ErrNotFound = errors.New("not found in store")
	// ErrCompacted means that the changes after the given revision are no longer
	// available.
	ErrCompacted = errors.New("store revision compacted")
)

// Revision is the store's change counter. Zero means no revision.
type Revision int64

// Lease is the ID of a lease. Zero means no lease.
type Lease int64

// Item is one key with its value.
type Item struct {
	Key     string
	Value   []byte
	Rev     Revision // of the last change
	Created Revision
	Lease   Lease
}

// Event is one change. A deleted key has Deleted set and no value.
type Event struct {
	Item
	Deleted bool
}

// Cond is met if the key's last change has this revision, or, for revision zero,
// if the key does not exist.
type Cond struct {
	Key string
	Rev Revision
}

// Write sets a key.
type Write struct {
	Key   string
	Value []byte
	Lease Lease
}

// Txn is applied completely if all its conditions are met, otherwise not at all.
type Txn struct {
	Conds   []Cond
	Writes  []Write
	Deletes []string
}

// Conflict is the error of a transaction whose conditions were not met. Items
// is the present state of the keys of its conditions; a key that does not exist
// has revision zero or is absent.
type Conflict struct{ Items []Item }

func (c *Conflict) Error() string { return "store condition does not hold" }

// Find returns the present state of a key of the conditions; its revision is
// zero if the key does not exist.
func (c *Conflict) Find(key string) Item {
	for _, it := range c.Items {
		if it.Key == key {
			return it
		}
	}
	return Item{Key: key}
}

// Store is the key-value store.
type Store interface {
	// Get returns ErrNotFound if there is no such key.
	Get(ctx context.Context, key string) (Item, error)
	// List returns all keys with a prefix, and a revision that is not newer than
	// the listing, so that a watch from it misses no change.
	List(ctx context.Context, prefix string) ([]Item, Revision, error)
	// Watch waits for changes after a revision, until the deadline at most. It
	// returns them with the revision to continue from, or ErrCompacted.
	Watch(ctx context.Context, prefix string, after Revision, until time.Time) ([]Event, Revision, error)
	// Commit returns a Conflict if a condition is not met, and ErrNotFound if a
	// lease of its writes does not exist.
	Commit(ctx context.Context, t Txn) (Revision, error)
	// Grant returns a new lease with its time to live, which the store chooses.
	Grant(ctx context.Context, ttl time.Duration) (Lease, time.Duration, error)
	// Renew extends a lease by its time to live.
	Renew(ctx context.Context, l Lease) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, l Lease) error
}
