package entry_test

import (
	"context"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/entry"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/kv"
	"gypsumtrestle.example/gypsumtrestle/internal/standin/store"
)

// ageStore delays its responses, of which those of watches must not be late by more than
// 400 ms, or replies from an older copy.
type ageStore struct {
	*store.Store
	late  time.Duration
	older atomic.Pointer[store.Store] // nil: none
}

func (s *ageStore) List(ctx context.Context, prefix string) ([]kv.Item, kv.Revision, error) {
	from := s.Store
	if older := s.older.Load(); older != nil {
		from = older
	}
	items, rev, err := from.List(ctx, prefix)
	clock.Sleep(ctx, s.late)
	return items, rev, err
}

func (s *ageStore) Watch(ctx context.Context, prefix string, after kv.Revision, until time.Time) ([]kv.Event, kv.Revision, error) {
	if older := s.older.Load(); older != nil {
		return older.Watch(ctx, prefix, after, until)
	}
	events, rev, err := s.Store.Watch(ctx, prefix, after, until)
	clock.Sleep(ctx, min(s.late, 400*time.Millisecond))
	if s.late >= 400*time.Millisecond {
		return nil, 0, errors.Wrap(kv.ErrUnknown, "time-out")
	}
	return events, rev, err
}

// runAged runs a watcher in a synctest bubble.
func runAged(t *testing.T, s *ageStore) *entry.ConfigWatcher {
	w := &entry.ConfigWatcher{
		Store: s, Key: "config", Logger: log.NewNopLogger(),
		Now: func() clock.BootTime { return clock.BootTime(time.Now().UnixNano()) },
		Decode: func(b []byte) (*job.Config, error) {
			n, err := strconv.Atoi(string(b))
			return job.NewConfig(int64(n), nil, nil, job.Limits{}, &job.Workspace{Name: "a"}), err
		},
	}
	run(t, w.Run)
	return w
}

// TestAgeOfOlderCopy guards against a response of an older copy of the store that brings
// back a removed key, or that makes the configuration count as current.
func TestAgeOfOlderCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, older := &ageStore{Store: &store.Store{}}, &store.Store{}
		older.Put("config", []byte("1"))
		s.older.Store(older)
		w := runAged(t, s) // a restart that first reads the older copy
		synctest.Wait()
		s.Put("other", nil)
		s.Put("config", []byte("2"))
		s.Compact() // the next watch fails, so that the configuration is read
		s.older.Store(nil)
		time.Sleep(time.Second)
		if c, age := w.ConfigAge(); c.Version != 2 || age > time.Second {
			t.Fatalf("version %d, age %v, want version 2", c.Version, age)
		}
		s.older.Store(older)
		time.Sleep(5 * time.Second)
		if c, age := w.ConfigAge(); c.Version != 2 || age < 4*time.Second {
			t.Errorf("version %d, age %v, want version 2 as of when it was last read", c.Version, age)
		}
	})
}

// TestAgeAtSlowStore guards against an age that counts from a delayed response, and
// against daemons that reject all keys because watches fail at a slow store.
func TestAgeAtSlowStore(t *testing.T) {
	for late, limit := range map[time.Duration]time.Duration{350 * time.Millisecond: 1500 * time.Millisecond, time.Second: 2200 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			s := &ageStore{Store: &store.Store{}, late: late}
			s.Put("config", []byte("1"))
			w := runAged(t, s)
			time.Sleep(late + time.Millisecond)
			for range 1000 {
				if _, age := w.ConfigAge(); age < late || age > limit {
					t.Fatalf("responses after %v: age %v, want at most %v", late, age, limit)
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
}
