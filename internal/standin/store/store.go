// Package store is an in-memory stand-in for the platform's key-value store.
// Tests inject the faults that the platform's contract allows: rejected calls,
// lost responses to successful writes, compaction of the history and revoked
// leases. The Store owns all state, which is lost when the process ends.
package store

import (
	"context"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/kv"
)

// Store is an in-memory key-value store. The zero value is an empty store.
type Store struct {
	mu        sync.Mutex
	rev       kv.Revision
	items     map[string]kv.Item
	log       []kv.Event
	compacted kv.Revision // the last revision removed from log
	leases    map[kv.Lease]*lease
	changed   chan struct{}
	commits   int
	down      bool
	// LoseEvery loses the response to each n-th commit, which takes effect; zero
	// loses none.
	LoseEvery int
}

// lease is removed by the first Expire after until.
type lease struct {
	ttl   time.Duration
	until time.Time
}

func (s *Store) init() {
	if s.items == nil {
		s.items, s.leases = make(map[string]kv.Item), make(map[kv.Lease]*lease)
		s.changed = make(chan struct{})
		s.rev = 1
	}
}

// SetDown makes the store reject all calls, or accept them again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Compact removes the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.log, s.compacted = nil, s.rev
}

// Put writes a key without conditions, as operators and runners do.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.apply(kv.Txn{Writes: []kv.Write{{Key: key, Value: value}}})
}

// RevokeLeases ends all leases and deletes their keys at once.
func (s *Store) RevokeLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	for l := range s.leases {
		s.endLease(l)
	}
}

func (s *Store) endLease(l kv.Lease) {
	delete(s.leases, l)
	var t kv.Txn
	for key, it := range s.items {
		if it.Lease == l {
			t.Deletes = append(t.Deletes, key)
		}
	}
	if len(t.Deletes) > 0 {
		s.apply(t)
	}
}

func (s *Store) apply(t kv.Txn) {
	s.rev++
	for _, w := range t.Writes {
		it := kv.Item{Key: w.Key, Value: slices.Clone(w.Value), Rev: s.rev, Created: s.rev, Lease: w.Lease}
		if old, ok := s.items[w.Key]; ok {
			it.Created = old.Created
		}
		s.items[w.Key] = it
		s.log = append(s.log, kv.Event{Item: it})
	}
	for _, key := range t.Deletes {
		if _, ok := s.items[key]; ok {
			delete(s.items, key)
			s.log = append(s.log, kv.Event{Item: kv.Item{Key: key, Rev: s.rev}, Deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Get returns one key.
func (s *Store) Get(_ context.Context, key string) (kv.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	if s.down {
		return kv.Item{}, errors.Wrap(kv.ErrRejected, "store is down")
	}
	it, ok := s.items[key]
	if !ok {
		return kv.Item{}, errors.Wrap(kv.ErrNotFound, key)
	}
	return it, nil
}

// List returns the keys with a prefix.
func (s *Store) List(_ context.Context, prefix string) ([]kv.Item, kv.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	if s.down {
		return nil, 0, errors.Wrap(kv.ErrRejected, "store is down")
	}
	var items []kv.Item
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b kv.Item) int { return strings.Compare(a.Key, b.Key) })
	return items, s.rev, nil
}

// Watch waits until a deadline for changes of a prefix after a revision.
func (s *Store) Watch(ctx context.Context, prefix string, after kv.Revision, until time.Time) ([]kv.Event, kv.Revision, error) {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	for {
		events, rev, changed, err := s.since(prefix, after)
		if err != nil || len(events) > 0 {
			return events, rev, err
		}
		select {
		case <-changed:
		case <-t.C:
			return nil, rev, nil
		case <-ctx.Done():
			return nil, 0, errors.Wrap(kv.ErrUnknown, "watch canceled")
		}
	}
}

func (s *Store) since(prefix string, after kv.Revision) ([]kv.Event, kv.Revision, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	if s.down {
		return nil, 0, nil, errors.Wrap(kv.ErrRejected, "store is down")
	}
	if after < s.compacted {
		return nil, 0, nil, errors.Wrap(kv.ErrCompacted, prefix)
	}
	var events []kv.Event
	first := sort.Search(len(s.log), func(i int) bool { return s.log[i].Rev > after })
	for _, e := range s.log[first:] {
		if strings.HasPrefix(e.Key, prefix) {
			events = append(events, e)
		}
	}
	return events, s.rev, s.changed, nil
}

// Commit applies a transaction if its conditions hold.
func (s *Store) Commit(_ context.Context, t kv.Txn) (kv.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	if s.down {
		return 0, errors.Wrap(kv.ErrRejected, "store is down")
	}
	if n := len(t.Conds) + len(t.Writes) + len(t.Deletes); n > kv.MaxEntries {
		return 0, errors.Wrapf(kv.ErrRejected, "transaction of %d entries", n)
	}
	conflict := &kv.Conflict{}
	conflicting := false
	for _, c := range t.Conds {
		it := s.items[c.Key]
		conflicting = conflicting || it.Rev != c.Rev
		it.Key = c.Key
		conflict.Items = append(conflict.Items, it)
	}
	if conflicting {
		return 0, conflict
	}
	for _, w := range t.Writes {
		if _, ok := s.leases[w.Lease]; w.Lease != 0 && !ok {
			return 0, errors.Wrap(kv.ErrNotFound, "lease")
		}
	}
	s.apply(t)
	s.commits++
	if s.LoseEvery > 0 && s.commits%s.LoseEvery == 0 {
		return 0, errors.Wrap(kv.ErrUnknown, "response lost")
	}
	return s.rev, nil
}

// Expire ends the leases that were not renewed in time. Without calls of Expire,
// leases do not expire, as in a store that pauses them while it is down.
func (s *Store) Expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	for id, l := range s.leases {
		if now.After(l.until) {
			s.endLease(id)
		}
	}
}

// Grant returns a new lease, which Expire, Revoke or RevokeLeases ends.
func (s *Store) Grant(_ context.Context, ttl time.Duration) (kv.Lease, time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	if s.down {
		return 0, 0, errors.Wrap(kv.ErrRejected, "store is down")
	}
	s.rev++
	l := kv.Lease(s.rev)
	s.leases[l] = &lease{ttl: ttl, until: time.Now().Add(ttl)}
	return l, ttl, nil
}

// Renew extends a lease.
func (s *Store) Renew(_ context.Context, l kv.Lease) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	if s.down {
		return errors.Wrap(kv.ErrRejected, "store is down")
	}
	held, ok := s.leases[l]
	if !ok {
		return errors.Wrap(kv.ErrNotFound, "lease")
	}
	held.until = time.Now().Add(held.ttl)
	return nil
}

// Revoke ends a lease.
func (s *Store) Revoke(_ context.Context, l kv.Lease) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	if s.down {
		return errors.Wrap(kv.ErrRejected, "store is down")
	}
	s.endLease(l)
	return nil
}
