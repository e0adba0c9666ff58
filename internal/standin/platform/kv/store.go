package kv

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/etcd/gateway"
	"gypsumtrestle.example/gypsumtrestle/internal/standin/platform/rest"
)

// maxOps is the maximum number of conditions, and of operations, of one
// transaction, the default of etcd.
const maxOps = 128

// Store is an in-memory key-value store. The zero value is an empty store. It
// can be used directly as an etcd.Store, without faults.
type Store struct {
	// Now is the clock of the leases; nil means time.Now.
	Now func() time.Time
	// History is the number of changes kept for watches and reads of earlier
	// revisions; zero means 100,000.
	History int

	mu        sync.Mutex
	revision  int64
	pairs     map[string]etcd.Pair
	log       []change
	compacted int64 // the last revision dropped from log
	leases    map[int64]*lease
	lastLease int64
	changed   chan struct{} // closed and replaced at every change
}

var _ etcd.Store = (*Store)(nil)

// span selects the keys in [key, end). An empty end selects only key, and an
// end of one zero byte means no upper bound.
type span struct{ key, end string }

func prefixSpan(prefix string) span { return span{prefix, string(gateway.PrefixEnd(prefix))} }

func (s span) has(key string) bool {
	switch s.end {
	case "":
		return key == s.key
	case "\x00":
		return key >= s.key
	}
	return key >= s.key && key < s.end
}

// lock locks the store, initializes it if it is new and removes expired leases.
func (s *Store) lock() (unlock func()) {
	s.mu.Lock()
	if s.pairs == nil {
		s.revision = 1
		s.pairs = make(map[string]etcd.Pair)
		s.leases = make(map[int64]*lease)
		s.changed = make(chan struct{})
	}
	s.expire()
	return s.mu.Unlock
}

func (s *Store) now() time.Time {
	if s.Now != nil {
		return s.Now()
	}
	return time.Now()
}

// Get implements etcd.Store.
func (s *Store) Get(_ context.Context, key string) (etcd.Pair, error) {
	ps, _, err := s.read(span{key: key}, 0)
	if err != nil || len(ps) == 0 {
		return etcd.Pair{}, err
	}
	return ps[0], nil
}

// List implements etcd.Store.
func (s *Store) List(_ context.Context, prefix string) ([]etcd.Pair, int64, error) {
	return s.read(prefixSpan(prefix), 0)
}

// read returns the pairs as of a revision, or the current ones if it is zero.
func (s *Store) read(sp span, at int64) ([]etcd.Pair, int64, error) {
	defer s.lock()()
	from := s.pairs
	if at != 0 && at < s.revision {
		if at < s.compacted {
			return nil, 0, etcd.ErrCompacted
		}
		from = s.pairsAt(at)
	}
	var ps []etcd.Pair
	for key, p := range from {
		if sp.has(key) {
			ps = append(ps, p)
		}
	}
	slices.SortFunc(ps, func(a, b etcd.Pair) int { return cmp.Compare(a.Key, b.Key) })
	return ps, s.revision, nil
}

// Do implements etcd.Store.
func (s *Store) Do(_ context.Context, t etcd.Txn) (etcd.TxnResult, error) {
	if err := check(t); err != nil {
		return etcd.TxnResult{}, err
	}
	defer s.lock()()
	for _, d := range t.Conds {
		if !holds(d, s.pairs[d.Key]) {
			return s.elseResult(t.Else), nil
		}
	}
	for _, p := range t.Puts {
		if !p.Delete && p.Lease != 0 && s.leases[p.Lease] == nil {
			return etcd.TxnResult{}, etcd.ErrNoLease
		}
	}
	var changes []change
	for _, p := range t.Puts {
		if c, ok := s.apply(p); ok {
			changes = append(changes, c)
		}
	}
	s.commit(changes)
	return etcd.TxnResult{Applied: true, Revision: s.revision}, nil
}

// check rejects the transactions that etcd rejects.
func check(t etcd.Txn) error {
	if max(len(t.Conds), len(t.Puts), len(t.Else)) > maxOps {
		return errors.Wrapf(rest.ErrInvalid, "transaction of more than %d operations", maxOps)
	}
	seen := make(map[string]bool)
	for _, p := range t.Puts {
		switch {
		case p.Key == "":
			return errors.Wrap(rest.ErrInvalid, "key is not provided")
		case seen[p.Key]:
			return errors.Wrapf(rest.ErrInvalid, "duplicate key %s", p.Key)
		case len(p.Value) > etcd.MaxValueSize:
			return errors.Wrapf(rest.ErrInvalid, "value of key %s is too large", p.Key)
		}
		seen[p.Key] = true
	}
	return nil
}

func holds(d etcd.Cond, p etcd.Pair) bool {
	if (d.Created != 0 || d.Modified == 0) && p.Created != d.Created {
		return false
	}
	return d.Modified == 0 || p.Modified == d.Modified
}

func (s *Store) elseResult(keys []string) etcd.TxnResult {
	res := etcd.TxnResult{Revision: s.revision}
	for _, key := range keys {
		if p, ok := s.pairs[key]; ok {
			res.Else = append(res.Else, p)
		}
	}
	return res
}

// apply changes one key at the next revision.
func (s *Store) apply(p etcd.Put) (change, bool) {
	old, exists := s.pairs[p.Key]
	if p.Delete && !exists {
		return change{}, false
	}
	if l := s.leases[old.Lease]; l != nil {
		delete(l.keys, p.Key)
	}
	c := change{old: old, Event: etcd.Event{Deleted: p.Delete}}
	c.Key, c.Modified = p.Key, s.revision+1
	if p.Delete {
		delete(s.pairs, p.Key)
		return c, true
	}
	c.Value, c.Lease, c.Created = slices.Clone(p.Value), p.Lease, c.Modified
	if exists {
		c.Created = old.Created
	}
	if l := s.leases[p.Lease]; l != nil {
		l.keys[p.Key] = true
	}
	s.pairs[p.Key] = c.Pair
	return c, true
}
