package etcd

import "context"

// Pair is a key with its value and revisions.
type Pair struct {
	Key   string
	Value []byte
	// Created and Modified are the store's revisions of the key.
	Created, Modified int64
	// Lease is the lease that holds the key, or zero.
	Lease int64
}

// Cond is one comparison of a transaction: the key's revision must equal the
// given one. A Modified of zero means that the key must not exist, unless
// Created is set.
type Cond struct {
	Key               string
	Created, Modified int64
}

// Put writes one key of a transaction; Delete removes it instead. Lease is
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

// TxnResult is the store's answer to a Txn.
type TxnResult struct {
	Applied  bool
	Revision int64
	// Else holds the pairs of Txn.Else that exist, when not applied.
	Else []Pair
}

// Event is one change seen by a watch. Deleted events have no value.
type Event struct {
	Pair
	Deleted bool
}

// Store is the platform's key-value service. A call whose error is an
// *UnknownError may have taken effect; any other error means that it did not.
type Store interface {
	// Get reads one key; a missing key gives a zero Pair and no error.
	Get(ctx context.Context, key string) (Pair, error)
	// List reads all keys with a prefix, and the store's revision.
	List(ctx context.Context, prefix string) ([]Pair, int64, error)
	Do(ctx context.Context, t Txn) (TxnResult, error)
	// Watch sends the changes of a prefix after a revision until ctx ends or
	// the stream breaks, and then returns the reason.
	Watch(ctx context.Context, prefix string, after int64, f func(Event)) error
	// Grant creates a lease that lapses after ttl seconds unless kept alive.
	Grant(ctx context.Context, ttl int64) (int64, error)
	KeepAlive(ctx context.Context, lease int64) error
	Revoke(ctx context.Context, lease int64) error
}
