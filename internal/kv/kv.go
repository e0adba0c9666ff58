// Package kv is what the product needs of the platform's key-value service:
// reads, watches, leases and conditional transactions.
//
// A call that fails has one of three meanings, and callers must tell them
// apart: ErrRefused means that the service did nothing, ErrUnknown that the
// call may have taken effect or may still do so, and a Conflict that a
// condition did not hold.
package kv

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// MaxEntries is the most conditions, writes and deletes of one transaction, as
// the platform's contract says.
const MaxEntries = 32

var (
	// ErrRefused means that the service did nothing.
	ErrRefused = errors.New("store refused the call")
	// ErrUnknown means that the call may have taken effect, or may do so later.
	ErrUnknown = errors.New("store gave no answer")
	// ErrNotFound means that there is no such key or lease.
	ErrNotFound = errors.New("not found in store")
	// ErrCompacted means that the history after the given revision is gone.
	ErrCompacted = errors.New("store history is gone")
)

// Revision is the service's change counter. Zero means no revision.
type Revision int64

// Lease names a lease; zero means none.
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

// Cond holds if the key's last change has this revision; zero demands that the
// key does not exist.
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

// Txn is applied whole if all its conditions hold.
type Txn struct {
	Conds   []Cond
	Writes  []Write
	Deletes []string
}

// Conflict is the error of a transaction whose conditions did not hold. Items
// has the present state of the keys of its conditions; a key that does not
// exist has revision zero or is absent.
type Conflict struct{ Items []Item }

func (c *Conflict) Error() string { return "store condition does not hold" }

// Find returns the state of a key.
func (c *Conflict) Find(key string) Item {
	for _, it := range c.Items {
		if it.Key == key {
			return it
		}
	}
	return Item{Key: key}
}

// Store is the key-value service.
type Store interface {
	Get(ctx context.Context, key string) (Item, error)
	// List returns all keys with a prefix, and a revision that the listing is
	// not older than: a watch from there misses no change.
	List(ctx context.Context, prefix string) ([]Item, Revision, error)
	// Watch waits for changes after a revision, at most until the deadline.
	Watch(ctx context.Context, prefix string, after Revision, until time.Time) ([]Event, Revision, error)
	Commit(ctx context.Context, t Txn) (Revision, error)
	Grant(ctx context.Context, ttl time.Duration) (Lease, time.Duration, error)
	Renew(ctx context.Context, l Lease) error
	Revoke(ctx context.Context, l Lease) error
}
