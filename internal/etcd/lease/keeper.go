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

// Reasons why a keeper does not hold its key.
var (
	// ErrSuperseded means that another writer's value must stay.
	ErrSuperseded = errors.New("superseded")

	errTaken = errors.New("key is taken")
)

// Held is a key that is held under a lease.
type Held struct {
	// Created is the create revision of a lock's key, for Cond.
	Created int64
	// Deadline is the instant up to which the key is certainly held: the
	// lease's length after a moment before its last renewal was sent.
	Deadline time.Time
}

// keeper keeps one key under a lease, for Register and Lock.
type keeper struct {
	store etcd.Store
	key   string
	value []byte
	ttl   time.Duration
	log   log.Logger
	// may returns why the key must not be written over its present pair.
	may func(etcd.Pair) error
	// set is told of every renewal, and of nil when the key is given up.
	set func(*Held)
}

// run holds the key again and again until ctx ends or it is superseded.
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
		case errors.Is(err, errTaken):
			mean = k.ttl / 4
		default:
			k.log.Log("part", "platform", "msg", "key is not held", "key", k.key, "err", err)
		}
		if err := pause(ctx, mean); err != nil {
			return err
		}
	}
}

// hold acquires the key and returns when it no longer holds it.
func (k keeper) hold(ctx context.Context, acquired func()) error {
	now, err := k.store.Get(ctx, k.key)
	if err != nil {
		return err
	}
	if err := k.may(now); err != nil {
		return err
	}
	deadline := time.Now().Add(k.ttl)
	lease, err := k.store.Grant(ctx, int64(k.ttl/time.Second))
	if err != nil {
		return err
	}
	defer k.release(ctx, lease)
	res, err := k.write(ctx, now, lease, deadline)
	if err != nil {
		return err
	}
	acquired()
	k.log.Log("part", "platform", "msg", "key is held", "key", k.key, "revision", res.Revision)
	defer k.set(nil) // before the lease is revoked
	k.set(&Held{Created: res.Revision, Deadline: deadline})
	return k.keep(ctx, lease, res.Revision, deadline)
}

// write puts the key under the lease if it is as it was read.
func (k keeper) write(ctx context.Context, now etcd.Pair, lease int64, deadline time.Time) (etcd.TxnResult, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	res, err := CASWriter{Store: k.store}.Do(ctx, etcd.Txn{
		Conds: []etcd.Cond{{Key: k.key, Modified: now.Modified}},
		Puts:  []etcd.Put{{Key: k.key, Value: k.value, Lease: lease}},
	})
	if err == nil && !res.Applied {
		err = errTaken
	}
	return res, err
}

// keep renews the lease until it has lapsed, the key was written by another
// or ctx ends. Two renewals fit into the lease even if the first one gets no
// answer: pauses of at most 3/8 and 1/8 and two calls of 1/4 of its length. It
// goes on past the deadline, with growing pauses: a store that was down may
// still have the lease.
func (k keeper) keep(ctx context.Context, lease, revision int64, until time.Time) error {
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
			k.log.Log("part", "platform", "msg", "renewal failed", "key", k.key, "err", err)
			if mean = retry; time.Now().After(until) {
				retry = min(2*retry, k.ttl/2)
			}
			continue
		}
		if k.changed(ctx, revision) {
			return errors.New("key was changed")
		}
		k.set(&Held{Created: revision, Deadline: deadline})
		mean, retry, until = k.ttl/4, k.ttl/12, deadline
	}
}

func (k keeper) renew(ctx context.Context, lease int64) error {
	ctx, cancel := context.WithTimeout(ctx, k.ttl/4)
	defer cancel()
	return k.store.KeepAlive(ctx, lease)
}

// changed reports that the key is no longer the one written at a revision. An
// answer from a state before that revision proves nothing.
func (k keeper) changed(ctx context.Context, revision int64) bool {
	pairs, at, err := k.store.List(ctx, k.key)
	if err != nil || at < revision {
		return false
	}
	return !slices.ContainsFunc(pairs, func(p etcd.Pair) bool { return p.Key == k.key && p.Modified == revision })
}

// release revokes a lease, also after ctx has ended.
func (k keeper) release(ctx context.Context, lease int64) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	if err := k.store.Revoke(ctx, lease); err != nil && !errors.Is(err, etcd.ErrNoLease) {
		k.log.Log("part", "platform", "msg", "lease is left to lapse", "key", k.key, "err", err)
	}
}
