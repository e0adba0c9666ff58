package lead

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/kv"
	"gypsumtrestle.example/gypsumtrestle/internal/machine"
	"gypsumtrestle.example/gypsumtrestle/internal/sched"
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

// TestStartDeadlineOfPreviousLeader guards against a list of machines that ends a runner
// while the previous leader may start tasks there, as one of an earlier version or one
// that followed another within a second.
func TestStartDeadlineOfPreviousLeader(t *testing.T) {
	for _, c := range []struct {
		name     string
		deadline time.Duration
		led      time.Duration // seen to lead
		want     time.Duration
	}{
		{"this version", StartDeadline, 10 * time.Second, StartDeadline},
		{"an earlier version", 0, 10 * time.Second, RenewDeadline},
		{"it had just begun", StartDeadline, 0, RenewDeadline},
	} {
		s := &lossyStore{Store: &store.Store{}}
		l := New(Config{Store: s, Logger: log.NewNopLogger(), CurrentConfig: func() *job.Config { return nil }})
		value, err := cbor.Marshal(Holder{Name: "d1", Incarnation: "1", StartDeadline: c.deadline})
		if err != nil {
			t.Fatal(err)
		}
		s.Put(job.TermKey, value)
		roster, err := cbor.Marshal([]sched.RosterEntry{{ID: "gone", Addr: netip.MustParseAddrPort("127.0.0.1:9"), Incarnation: 1, Machine: "m"}})
		if err != nil {
			t.Fatal(err)
		}
		s.Put(job.RosterKey, roster)
		last, err := s.Get(t.Context(), job.TermKey)
		if err != nil {
			t.Fatal(err)
		}
		tm := newTestTerm(t, s)
		now := clock.Now()
		tm.cfg, tm.previous, tm.vacancy = &l.cfg, l.decodePrevious(last), vacancy{since: now.Add(-c.led), at: now}
		tm.state = sched.New(tm.id, now, sched.Limits{MaxRunnerLease: 6 * time.Second, RunnerTakeover: RenewDeadline + commandTransit + 6300*time.Millisecond}, tm.logger)
		if _, err := tm.loadJobs(t.Context()); err != nil {
			t.Fatal(err)
		}
		tm.state.RunnersListed([]machine.Machine{{ID: "m", State: machine.Down}}, now, now)
		if at, ok := tm.state.NextList(); !ok || at.Sub(now) != c.want+commandTransit+1 {
			t.Errorf("%s: the list counts %v after the end of its term (%t), want %v", c.name, at.Sub(now), ok, c.want+commandTransit)
		}
	}
}
