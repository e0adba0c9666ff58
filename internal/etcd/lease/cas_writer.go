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

// CASWriter makes compare-and-swap writes whose answers may be lost.
type CASWriter struct {
	Store etcd.Store
	// Pause is the mean pause between two attempts; zero means 200 ms.
	Pause time.Duration
}

// Do applies t and, if the answer is lost, asks until it knows whether t took
// effect or ctx ends; it then returns an *UnknownError. The first put of t is
// the one looked for: t must compare its key's Modified, and no other write
// has the same value, which carries writer and number.
//
// Asking is the same transaction again, with a read of the key if it does not
// apply. It takes effect at most once, since the first time changes what it
// compares, and it cannot be answered from an older state as a plain read can.
//
// Else of the result ends with the present pair of the key, if any.
func (s CASWriter) Do(ctx context.Context, t etcd.Txn) (etcd.TxnResult, error) {
	i := slices.IndexFunc(t.Conds, func(d etcd.Cond) bool {
		return len(t.Puts) > 0 && d.Key == t.Puts[0].Key && (d.Modified != 0 || d.Created == 0)
	})
	if i < 0 || t.Puts[0].Delete {
		return etcd.TxnResult{}, errors.New("settle: the first put has no condition on its key's revision, or is a deletion")
	}
	t.Else = append(slices.Clone(t.Else), t.Puts[0].Key)
	for lost := false; ; {
		res, err := s.Store.Do(ctx, t)
		switch {
		case err == nil && lost && !res.Applied:
			return s.find(ctx, t.Puts[0], t.Conds[i].Modified, res)
		case err == nil, errors.Is(err, etcd.ErrNoLease):
			// Without its lease, an earlier write no longer stands either.
			return res, err
		case !lost && !unknown(err):
			return res, err
		}
		lost = true
		if pause(ctx, s.mean()) != nil {
			return etcd.TxnResult{}, &etcd.UnknownError{Op: "settle", Key: t.Puts[0].Key, Err: err}
		}
	}
}

func (s CASWriter) mean() time.Duration {
	if s.Pause == 0 {
		return 200 * time.Millisecond
	}
	return s.Pause
}

// find decides whether an earlier attempt made the write, now that the
// comparison fails. from is the revision that the write compared.
func (s CASWriter) find(ctx context.Context, own etcd.Put, from int64, res etcd.TxnResult) (etcd.TxnResult, error) {
	var now etcd.Pair
	if n := len(res.Else); n > 0 && res.Else[n-1].Key == own.Key {
		now = res.Else[n-1]
	}
	if from == 0 && now.Created != 0 {
		from = now.Created - 1
	}
	switch {
	case now.Modified == from:
		return res, nil // another condition failed
	case made(own, now):
		return etcd.TxnResult{Applied: true, Revision: now.Modified}, nil
	}
	// Another write stands. It replaced either the compared revision or ours,
	// and the first change after the compared revision tells which.
	for {
		first, err := s.firstChange(ctx, own.Key, from)
		switch {
		case err == nil && made(own, first):
			return etcd.TxnResult{Applied: true, Revision: first.Modified}, nil
		case err == nil:
			return res, nil
		case errors.Is(err, etcd.ErrCompacted) || pause(ctx, s.mean()) != nil:
			return etcd.TxnResult{}, &etcd.UnknownError{Op: "settle", Key: own.Key, Err: err}
		}
	}
}

func made(own etcd.Put, p etcd.Pair) bool {
	return p.Key == own.Key && p.Lease == own.Lease && bytes.Equal(p.Value, own.Value)
}

func (s CASWriter) firstChange(ctx context.Context, key string, after int64) (etcd.Pair, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var first etcd.Pair
	err := s.Store.Watch(ctx, key, after, func(e etcd.Event) {
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

func unknown(err error) bool {
	var u *etcd.UnknownError
	return errors.As(err, &u)
}

// pause waits for half to one and a half times the mean, so that daemons that
// failed together do not come back together.
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
