package lead

import (
	"bytes"
	"context"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/kv"
	"gypsumtrestle.example/gypsumtrestle/internal/sched"
	"gypsumtrestle.example/gypsumtrestle/internal/standin/store"
)

// TestStepDownBeforeLoading guards against a leader that is stopped before it has
// loaded the state and stores its empty roster over that of the previous terms:
// the next leader would start the tasks again that run on the runners in it.
func TestStepDownBeforeLoading(t *testing.T) {
	s := &lossyStore{Store: &store.Store{}}
	records := []string{job.RosterKey, job.MachinesKey}
	for _, key := range records {
		s.Put(key, []byte("of previous terms"))
	}
	tm := newTestTerm(t, s)
	tm.pollerCount = new(atomic.Int64)
	var err error
	if tm.lease, _, err = s.Grant(t.Context(), time.Minute); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	tm.stepDown(ctx)
	for _, key := range records {
		if it, err := s.Get(t.Context(), key); err != nil || !bytes.Equal(it.Value, []byte("of previous terms")) {
			t.Errorf("%s is %q (%v) after a leader that had not loaded it stepped down", key, it.Value, err)
		}
	}
	if _, err := s.Get(t.Context(), job.LeaderKey); !errors.Is(err, kv.ErrNotFound) {
		t.Errorf("leader key after the end of the term: %v, want none", err)
	}
}

// TestOtherDaemonEndsPreviousLeader guards against a wait for the runners of the
// previous term that is shortened by the reply of a process that says nothing about
// the previous leader, or by a roster of an earlier one.
func TestOtherDaemonEndsPreviousLeader(t *testing.T) {
	holder := Holder{Name: "d1", Incarnation: "1"}
	for _, c := range []struct {
		name, daemon, incarnation string
		after                     time.Duration // the reply, from the start of the term
		rosterBefore              bool          // the roster is older than the previous term
		ended                     bool
	}{
		{"the next process", "d1", "2", time.Second, false, true},
		{"another daemon", "d2", "2", time.Second, false, false},
		{"the leader itself", "d1", "1", time.Second, false, false},
		{"an earlier version", "d1", "", time.Second, false, false},
		{"a reply from before the term", "d1", "2", -time.Second, false, false},
		{"a roster of an earlier leader", "d1", "2", time.Second, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &lossyStore{Store: &store.Store{}}
			l := New(Config{Store: s, Logger: log.NewNopLogger(), CurrentConfig: func() *job.Config { return nil }})
			roster, err := cbor.Marshal([]sched.RosterEntry{{ID: "gone", Addr: netip.MustParseAddrPort("127.0.0.1:9"), Incarnation: 1}})
			if err != nil {
				t.Fatal(err)
			}
			value, err := cbor.Marshal(holder)
			if err != nil {
				t.Fatal(err)
			}
			records := []kv.Write{{Key: job.TermKey, Value: value}, {Key: job.RosterKey, Value: roster}}
			if c.rosterBefore {
				slices.Reverse(records)
			}
			for _, w := range records {
				s.Put(w.Key, w.Value)
			}
			last, err := s.Get(t.Context(), job.TermKey)
			if err != nil {
				t.Fatal(err)
			}
			tm := newTestTerm(t, s)
			tm.cfg = &l.cfg
			tm.vacancy.at, tm.previous = clock.Now(), l.decodePrevious(last)
			if _, err := tm.loadJobs(t.Context()); err != nil {
				t.Fatal(err)
			}
			l.current.Store(tm)
			known := tm.previous != nil
			l.DaemonReplied(c.daemon, c.incarnation, tm.vacancy.at.Add(c.after))
			if ended := known && tm.previous == nil; ended != c.ended {
				t.Errorf("previous leader counts as ended: %t, want %t", ended, c.ended)
			}
		})
	}
}

// TestPreviousTermRecorded guards against a leader that takes an earlier leader for
// the previous one: each term must replace the record.
func TestPreviousTermRecorded(t *testing.T) {
	s := &store.Store{}
	for _, name := range []string{"d1", "d2"} {
		l := New(Config{
			Self: Holder{Name: name, Incarnation: name}, Store: s, Logger: log.NewNopLogger(), CurrentConfig: func() *job.Config { return nil },
			Waves: Waves{Prefix: "waves/"}, Registry: Registry{Prefix: "runners/"},
		})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = l.Run(ctx) }() // the error is that of the context
		for !l.Leading() {
			if t.Context().Err() != nil {
				t.Fatal("not elected")
			}
			<-time.After(time.Millisecond)
		}
		it, err := s.Get(t.Context(), job.TermKey)
		if err != nil {
			t.Fatal(err)
		}
		if p := l.decodePrevious(it); p == nil || p.Name != name || p.id != l.current.Load().id {
			t.Errorf("record of the term %+v, want that of %s", p, name)
		}
		cancel()
		<-l.Done()
	}
}

// TestStepDownAfterLostRoster guards against a stopping leader that keeps its key and
// leaves the next leader an old roster, whose runners that one would have to wait for,
// because a write of the roster had no reply before the end of the term.
func TestStepDownAfterLostRoster(t *testing.T) {
	s := &lossyStore{Store: &store.Store{}}
	tm := newTestTerm(t, s)
	tm.pollerCount, tm.loaded = new(atomic.Int64), true
	var err error
	if tm.lease, _, err = s.Grant(t.Context(), time.Minute); err != nil {
		t.Fatal(err)
	}
	if err := tm.storeRoster(t.Context()); err != nil {
		t.Fatal(err)
	}
	tm.state.RosterUnknown()
	s.lose = true
	if err := tm.storeRoster(t.Context()); !errors.Is(err, kv.ErrUnknown) {
		t.Fatalf("roster write: %v, want no reply", err)
	}
	s.lose = false
	before, err := s.Get(t.Context(), job.RosterKey)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	tm.stepDown(ctx)
	if it, err := s.Get(t.Context(), job.RosterKey); err != nil || it.Rev <= before.Rev {
		t.Errorf("roster at revision %d (%v) after the end of the term, want one after %d", it.Rev, err, before.Rev)
	}
	if _, err := s.Get(t.Context(), job.LeaderKey); !errors.Is(err, kv.ErrNotFound) {
		t.Errorf("leader key after the end of the term: %v, want none", err)
	}
}
