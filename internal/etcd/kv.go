package etcd

import "context"

// Pair is a key with its value and revisions.
type Pair struct {
	Key   string
	Value []byte
	// Created and Modified are the revisions of the store at which the key was
	// created and last modified.
	Created, Modified int64
	// Lease is the lease that the key is attached to, or zero.
	Lease int64
}

// Cond is one comparison of a transaction: the revisions of the key must equal
// those that are set. If neither is set, the key must not exist.
type Cond struct {
	Key               string
	Created, Modified int64
}

// Put writes one key of a transaction, or removes it if Delete is set. Lease is
// zero for a key without a lease.
type Put struct {
	Key    string
	Value  []byte
	Lease  int64
	Delete bool
}

// Txn applies Puts if all Conds hold; otherwise it reads the Else keys.
type Txn struct {
	Conds []Cond
	Puts  []Put
	Else  []string
}

// TxnResult is the result of a Txn.
type TxnResult struct {
	Applied  bool
	Revision int64
	// Else holds the pairs of Txn.Else that exist, if the Txn was not applied.
	Else []Pair
}

// Event is one change that a watch reports. Deleted events have no value.
type Event struct {
	Pair
	Deleted bool
}

// Store is a key-value store. A call whose error is an *UnknownError may have
// taken effect; any other error means that it did not.
type Store interface {
	// Get reads one key; for a missing key it returns a zero Pair and no error.
	Get(ctx context.Context, key string) (Pair, error)
	// List reads all keys with a prefix, and the revision of the store.
	List(ctx context.Context, prefix string) ([]Pair, int64, error)
	// Do applies a transaction. It returns ErrNoLease if a Put has a lease that
	// does not exist.
	Do(ctx context.Context, t Txn) (TxnResult, error)
	// Watch calls f with each change of a prefix after a revision, until ctx
	// ends or the stream fails, and returns the reason. It returns ErrCompacted
	// if the store no longer has the changes after that revision.
	Watch(ctx context.Context, prefix string, after int64, f func(Event)) error
	// Grant creates a lease that expires after ttl seconds unless kept alive.
	Grant(ctx context.Context, ttl int64) (int64, error)
	// KeepAlive extends a lease by its length. It returns ErrNoLease if the lease
	// has expired.
	KeepAlive(ctx context.Context, lease int64) error
	// Revoke ends a lease and deletes its keys. For an expired lease it returns
	// nil or ErrNoLease.
	Revoke(ctx context.Context, lease int64) error
}
