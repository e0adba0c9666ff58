package kv

import (
	"context"
	"maps"
	"slices"
	"sort"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
)

// change is an event with the pair that it replaced, for reads of earlier
// revisions.
type change struct {
	etcd.Event
	old etcd.Pair
}

// commit publishes changes as one new revision and compacts the history.
func (s *Store) commit(changes []change) {
	if len(changes) == 0 {
		return
	}
	s.revision++
	s.log = append(s.log, changes...)
	keep := s.History
	if keep == 0 {
		keep = 100_000
	}
	if drop := len(s.log) - keep; drop > 0 {
		s.compacted = s.log[drop-1].Modified
		s.log = slices.Delete(s.log, 0, s.indexAfter(s.compacted))
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// indexAfter returns the index in log of the first change after a revision.
func (s *Store) indexAfter(revision int64) int {
	return sort.Search(len(s.log), func(i int) bool { return s.log[i].Modified > revision })
}

// pairsAt returns the pairs as of a revision: a copy of the current ones on
// which the later changes are undone.
func (s *Store) pairsAt(revision int64) map[string]etcd.Pair {
	m := maps.Clone(s.pairs)
	for _, c := range slices.Backward(s.log[s.indexAfter(revision):]) {
		if c.old.Modified == 0 {
			delete(m, c.Key)
		} else {
			m[c.Key] = c.old
		}
	}
	return m
}

// Watch implements etcd.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after int64, f func(etcd.Event)) error {
	return s.watch(ctx, prefixSpan(prefix), after, func(_ int64, events []etcd.Event) error {
		for _, e := range events {
			f(e)
		}
		return nil
	})
}

// watch calls f with the changes after a revision, in batches of complete
// revisions, and with the last revision that each batch covers.
func (s *Store) watch(ctx context.Context, sp span, after int64, f func(int64, []etcd.Event) error) error {
	for {
		events, revision, changed, err := s.eventsAfter(sp, after)
		if err != nil {
			return err
		}
		if len(events) > 0 {
			if err := f(revision, events); err != nil {
				return err
			}
		}
		after = revision
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-changed:
		}
	}
}

func (s *Store) eventsAfter(sp span, after int64) (events []etcd.Event, revision int64, changed <-chan struct{}, err error) {
	defer s.lock()()
	if after < s.compacted {
		return nil, s.compacted, nil, etcd.ErrCompacted
	}
	for _, c := range s.log[s.indexAfter(after):] {
		if sp.has(c.Key) {
			events = append(events, c.Event)
		}
	}
	return events, max(after, s.revision), s.changed, nil
}

// oldestRevision returns the first revision from which a watch can start.
func (s *Store) oldestRevision() int64 {
	defer s.lock()()
	return s.compacted + 1
}
