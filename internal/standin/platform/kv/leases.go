package kv

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/standin/platform/rest"
)

// maxTTL is the limit of etcd; up to it, a lease fits into a time.Duration.
const maxTTL = 9_000_000_000 // seconds

type lease struct {
	id       int64
	ttl      time.Duration
	deadline time.Time
	keys     map[string]bool
}

// Grant implements etcd.Store.
func (s *Store) Grant(_ context.Context, ttl int64) (int64, error) {
	if ttl <= 0 || ttl > maxTTL {
		return 0, errors.Wrapf(rest.ErrInvalid, "grant lease: ttl %d s out of range", ttl)
	}
	defer s.lock()()
	s.lastLease++
	l := &lease{id: s.lastLease, ttl: time.Duration(ttl) * time.Second, keys: make(map[string]bool)}
	l.deadline = s.now().Add(l.ttl)
	s.leases[l.id] = l
	return l.id, nil
}

// KeepAlive implements etcd.Store.
func (s *Store) KeepAlive(_ context.Context, id int64) error {
	defer s.lock()()
	l := s.leases[id]
	if l == nil {
		return etcd.ErrNoLease
	}
	l.deadline = s.now().Add(l.ttl)
	return nil
}

// Revoke implements etcd.Store.
func (s *Store) Revoke(_ context.Context, id int64) error {
	defer s.lock()()
	l := s.leases[id]
	if l == nil {
		return etcd.ErrNoLease
	}
	s.endLease(l)
	return nil
}

// Expire removes expired leases and their keys. Every other call does so as
// well, but without such calls a watch receives the deletions only after Expire.
func (s *Store) Expire() { s.lock()() }

func (s *Store) expire() {
	now := s.now()
	var expired []*lease
	for _, l := range s.leases {
		if !now.Before(l.deadline) {
			expired = append(expired, l)
		}
	}
	slices.SortFunc(expired, func(a, b *lease) int { return cmp.Compare(a.id, b.id) })
	for _, l := range expired {
		s.endLease(l)
	}
}

// endLease removes a lease and its keys.
func (s *Store) endLease(l *lease) {
	var changes []change
	for _, key := range slices.Sorted(maps.Keys(l.keys)) {
		if c, ok := s.apply(etcd.Put{Key: key, Delete: true}); ok {
			changes = append(changes, c)
		}
	}
	delete(s.leases, l.id)
	s.commit(changes)
}

func (s *Store) ttl(id int64) int64 {
	defer s.lock()()
	if l := s.leases[id]; l != nil {
		return int64(l.ttl / time.Second)
	}
	return 0
}
