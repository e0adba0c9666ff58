package lead

import (
	"context"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/kv"
	"gypsumtrestle.example/gypsumtrestle/internal/standin/store"
)

// runLeader runs a leader of a store until the end of the test or until stop is called.
func runLeader(t *testing.T, name string, s kv.Store, capacity float64) (l *Leader, stop func()) {
	t.Helper()
	l = New(Config{
		Self: Holder{Name: name, Incarnation: name}, Store: s, Logger: log.NewNopLogger(), CurrentConfig: func() *job.Config { return nil },
		Waves: Waves{Prefix: "waves/"}, Registry: Registry{Prefix: "runners/"}, RelativeCapacity: capacity,
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = l.Run(ctx) }() // the error is that of the context
	stop = func() { cancel(); <-l.Done() }
	t.Cleanup(stop)
	return l, stop
}

func await(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); !f(); <-time.After(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what + ": not in time")
		}
	}
}

// TestWaitFromEndOfPreviousTerm guards against a wait for the previous leader that
// counts from the start of the next term, which may be much later than the end of the
// one before.
func TestWaitFromEndOfPreviousTerm(t *testing.T) {
	s := &store.Store{}
	first, stop := runLeader(t, "d1", s, 0)
	await(t, "first leader", first.Leading)
	next, _ := runLeader(t, "d2", s, 1e-3)
	await(t, "second daemon", func() bool { return next.Holder() != nil })
	stop()
	await(t, "second leader", next.Leading)
	limits := next.current.Load().state.Limits
	longest := RenewDeadline + commandTransit + limits.MaxRunnerLease + limits.MaxRunnerLease/20
	if limits.RunnerTakeover > longest-maxCampaignDelay || limits.RunnerTakeover < longest-30*time.Second {
		t.Errorf("previous leaders are waited for for %v from the start of the term, want %v less the %v of the campaign", limits.RunnerTakeover, longest, maxCampaignDelay)
	}
}

// interruptedStore lets another term begin and end during the first campaign.
type interruptedStore struct {
	*store.Store
	t     *testing.T
	ended clock.BootTime // the other term
}

func (s *interruptedStore) Grant(ctx context.Context, ttl time.Duration) (kv.Lease, time.Duration, error) {
	if s.ended == 0 {
		value, err := cbor.Marshal(Holder{Name: "other", Incarnation: "1"})
		if err != nil {
			s.t.Error(err)
		}
		<-time.After(time.Millisecond)
		s.Put(job.LeaderKey, value)
		s.Put(job.TermKey, value)
		if _, err := s.Commit(ctx, kv.Txn{Deletes: []string{job.LeaderKey}}); err != nil {
			s.t.Error(err)
		}
		s.ended = clock.Now()
	}
	return s.Store.Grant(ctx, ttl)
}

// TestTermDuringCampaign guards against a previous leader that counts as having ended
// before its term began: a reply from before its term would show that its process has
// ended.
func TestTermDuringCampaign(t *testing.T) {
	s := &interruptedStore{Store: &store.Store{}, t: t}
	l, _ := runLeader(t, "d1", s, 0)
	await(t, "leader", l.Leading)
	tm := l.current.Load()
	tm.mu.Lock()
	defer tm.mu.Unlock()
	if tm.previous == nil || tm.previous.Name != "other" {
		t.Fatalf("previous term %+v, want that of the other daemon", tm.previous)
	}
	if s.ended > tm.vacancy.at {
		t.Errorf("the previous term counts as ended %v before its end", s.ended.Sub(tm.vacancy.at))
	}
}
