package lease

import (
	"bytes"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
)

// CASWriter makes compare-and-swap writes whose responses may be lost.
type CASWriter struct {
	Store etcd.Store
	// Pause is the mean delay between two attempts; zero means 200 ms.
	Pause time.Duration
}

// Do applies t. If the response is lost, it retries until it is known whether t
// took effect. It returns an *UnknownError if ctx ends before that, or if the
// history of the key has been compacted. The write is recognized by its first
// put: t must compare Modified of that put's key, and no other write may have the
// same value, so the value has to contain the writer and a number.
//
// A retry is the same transaction, which reads the key if it does not apply. It
// takes effect at most once, since the first success changes the compared
// revision, and unlike a plain read it cannot return an older state.
//
// If t is not applied, Else of the result ends with the current pair of the key,
// if it exists.
func (w CASWriter) Do(ctx context.Context, t etcd.Txn) (etcd.TxnResult, error) {
	i := slices.IndexFunc(t.Conds, func(cond etcd.Cond) bool {
		return len(t.Puts) > 0 && cond.Key == t.Puts[0].Key && (cond.Modified != 0 || cond.Created == 0)
	})
	if i < 0 || t.Puts[0].Delete {
		return etcd.TxnResult{}, errors.New("compare-and-swap: first put has no condition on the revision of its key, or is a deletion")
	}
	t.Else = append(slices.Clone(t.Else), t.Puts[0].Key)
	for lost := false; ; {
		res, err := w.Store.Do(ctx, t)
		switch {
		case err == nil && lost && !res.Applied:
			return w.resolve(ctx, t.Puts[0], t.Conds[i].Modified, res)
		case err == nil, errors.Is(err, etcd.ErrNoLease):
			// Without the lease, the key of an earlier attempt is gone as well.
			return res, err
		case !lost && !isUnknown(err):
			return res, err
		}
		lost = true
		if pause(ctx, w.meanPause()) != nil {
			return etcd.TxnResult{}, &etcd.UnknownError{Op: "settle", Key: t.Puts[0].Key, Err: err}
		}
	}
}

func (w CASWriter) meanPause() time.Duration {
	if w.Pause == 0 {
		return 200 * time.Millisecond
	}
	return w.Pause
}

// resolve determines whether an earlier attempt made the write, after the
// comparison has failed. from is the revision that the write compared.
func (w CASWriter) resolve(ctx context.Context, own etcd.Put, from int64, res etcd.TxnResult) (etcd.TxnResult, error) {
	var current etcd.Pair
	if n := len(res.Else); n > 0 && res.Else[n-1].Key == own.Key {
		current = res.Else[n-1]
	}
	if from == 0 && current.Created != 0 {
		from = current.Created - 1
	}
	switch {
	case current.Modified == from:
		return res, nil // another condition failed
	case isOwnWrite(own, current):
		return etcd.TxnResult{Applied: true, Revision: current.Modified}, nil
	}
	// Another write is current. It replaced either the compared revision or the
	// own write; the first change after the compared revision shows which.
	for {
		first, err := w.firstChange(ctx, own.Key, from)
		switch {
		case err == nil && isOwnWrite(own, first):
			return etcd.TxnResult{Applied: true, Revision: first.Modified}, nil
		case err == nil:
			return res, nil
		case errors.Is(err, etcd.ErrCompacted) || pause(ctx, w.meanPause()) != nil:
			return etcd.TxnResult{}, &etcd.UnknownError{Op: "settle", Key: own.Key, Err: err}
		}
	}
}

// isOwnWrite reports whether p is the result of the put.
func isOwnWrite(own etcd.Put, p etcd.Pair) bool {
	return p.Key == own.Key && p.Lease == own.Lease && bytes.Equal(p.Value, own.Value)
}

// firstChange returns the first change of the key after a revision, and waits for
// one if there is none.
func (w CASWriter) firstChange(ctx context.Context, key string, after int64) (etcd.Pair, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var first etcd.Pair
	err := w.Store.Watch(ctx, key, after, func(e etcd.Event) {
		if first.Key == "" && e.Key == key {
			first = e.Pair
			cancel()
		}
	})
	if first.Key != "" {
		return first, nil
	}
	return first, err
}

func isUnknown(err error) bool {
	var u *etcd.UnknownError
	return errors.As(err, &u)
}

// pause waits for half to one and a half times the mean, so that daemons that
// failed at the same time do not retry at the same time.
func pause(ctx context.Context, mean time.Duration) error {
	t := time.NewTimer(mean/2 + rand.N(mean))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
