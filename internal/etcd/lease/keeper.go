package lease

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
)

// releaseTimeout bounds the revocation of a lease at shutdown.
const releaseTimeout = 2 * time.Second

// Reasons why a keeper does not write its key.
var (
	// ErrSuperseded means that the value of another writer must not be
	// overwritten.
	ErrSuperseded = errors.New("superseded")

	errKeyHeld = errors.New("key held by another process")
)

// Held describes a key that is held under a lease.
type Held struct {
	// Created is the create revision of a lock's key, for Cond.
	Created int64
	// Deadline is the time until which the key is certainly held. It is one lease
	// length after the time just before the last renewal was sent.
	Deadline time.Time
}

// keeper keeps one key under a lease, for Registration and Lock.
type keeper struct {
	store etcd.Store
	key   string
	value []byte
	ttl   time.Duration
	log   log.Logger
	// mayWrite returns an error if the current pair must not be overwritten.
	mayWrite func(etcd.Pair) error
	// setHeld is called after every renewal, and with nil when the key is no
	// longer held.
	setHeld func(*Held)
}

// run acquires and holds the key, and starts over when it is lost, until ctx
// ends or the key is superseded.
func (k keeper) run(ctx context.Context) error {
	if k.log == nil {
		k.log = log.NewNopLogger()
	}
	for mean := k.ttl / 8; ; mean = min(2*mean, k.ttl) {
		err := k.hold(ctx, func() { mean = k.ttl / 8 })
		switch {
		case ctx.Err() != nil:
			return context.Cause(ctx)
		case errors.Is(err, ErrSuperseded):
			return errors.Wrapf(err, "hold %s", k.key)
		case errors.Is(err, errKeyHeld):
			mean = k.ttl / 4
		default:
			k.log.Log("part", "platform", "msg", "key not held", "key", k.key, "err", err)
		}
		if err := pause(ctx, mean); err != nil {
			return err
		}
	}
}

// hold acquires the key, calls acquired, and returns when the key is no longer
// held.
func (k keeper) hold(ctx context.Context, acquired func()) error {
	current, err := k.store.Get(ctx, k.key)
	if err != nil {
		return err
	}
	if err := k.mayWrite(current); err != nil {
		return err
	}
	deadline := time.Now().Add(k.ttl)
	lease, err := k.store.Grant(ctx, int64(k.ttl/time.Second))
	if err != nil {
		return err
	}
	defer k.release(ctx, lease)
	res, err := k.writeKey(ctx, current, lease, deadline)
	if err != nil {
		return err
	}
	acquired()
	k.log.Log("part", "platform", "msg", "key acquired", "key", k.key, "revision", res.Revision)
	defer k.setHeld(nil) // before the lease is revoked
	k.setHeld(&Held{Created: res.Revision, Deadline: deadline})
	return k.keepAlive(ctx, lease, res.Revision, deadline)
}

// writeKey writes the key under the lease if it has not changed since it was read.
func (k keeper) writeKey(ctx context.Context, current etcd.Pair, lease int64, deadline time.Time) (etcd.TxnResult, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	res, err := CASWriter{Store: k.store}.Do(ctx, etcd.Txn{
		Conds: []etcd.Cond{{Key: k.key, Modified: current.Modified}},
		Puts:  []etcd.Put{{Key: k.key, Value: k.value, Lease: lease}},
	})
	if err == nil && !res.Applied {
		err = errKeyHeld
	}
	return res, err
}

// keepAlive renews the lease until the lease has expired, the key was changed or
// deleted by another process, or ctx ends. Two renewals fit into the lease even if
// the first one times out: the pauses take at most 3/8 and 1/8 of its length, and
// the two calls 1/4 each. Renewals continue past the deadline, with growing
// pauses, because a store that was down may still have the lease.
func (k keeper) keepAlive(ctx context.Context, lease, revision int64, until time.Time) error {
	for mean, retry := k.ttl/4, k.ttl/12; ; {
		if err := pause(ctx, mean); err != nil {
			return err
		}
		deadline := time.Now().Add(k.ttl)
		err := k.renew(ctx, lease)
		switch {
		case errors.Is(err, etcd.ErrNoLease):
			return err
		case err != nil:
			k.log.Log("part", "platform", "msg", "lease renewal failed", "key", k.key, "err", err)
			if mean = retry; time.Now().After(until) {
				retry = min(2*retry, k.ttl/2)
			}
			continue
		}
		if k.changed(ctx, revision) {
			return errors.New("key changed or deleted by another process")
		}
		k.setHeld(&Held{Created: revision, Deadline: deadline})
		mean, retry, until = k.ttl/4, k.ttl/12, deadline
	}
}

func (k keeper) renew(ctx context.Context, lease int64) error {
	ctx, cancel := context.WithTimeout(ctx, k.ttl/4)
	defer cancel()
	return k.store.KeepAlive(ctx, lease)
}

// changed reports whether the key was changed or deleted since it was written at
// a revision. A failed read, or one of a state before that revision, proves
// nothing, so changed returns false.
func (k keeper) changed(ctx context.Context, revision int64) bool {
	pairs, at, err := k.store.List(ctx, k.key)
	if err != nil || at < revision {
		return false
	}
	return !slices.ContainsFunc(pairs, func(p etcd.Pair) bool { return p.Key == k.key && p.Modified == revision })
}

// release revokes a lease, even if ctx has ended.
func (k keeper) release(ctx context.Context, lease int64) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	if err := k.store.Revoke(ctx, lease); err != nil && !errors.Is(err, etcd.ErrNoLease) {
		k.log.Log("part", "platform", "msg", "lease revocation failed", "key", k.key, "err", err)
	}
}
