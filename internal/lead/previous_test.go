package lead_test

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/kv"
	"gypsumtrestle.example/gypsumtrestle/internal/lead"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
	"gypsumtrestle.example/gypsumtrestle/internal/standin/runners"
	"gypsumtrestle.example/gypsumtrestle/internal/standin/store"
)

// cutStore is a store that one daemon can be cut off from.
type cutStore struct {
	*store.Store
	mu  sync.Mutex
	cut bool
}

func (s *cutStore) check() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cut {
		return errors.Wrap(kv.ErrUnknown, "cut off")
	}
	return nil
}

func (s *cutStore) Get(ctx context.Context, key string) (kv.Item, error) {
	if err := s.check(); err != nil {
		return kv.Item{}, err
	}
	return s.Store.Get(ctx, key)
}

func (s *cutStore) List(ctx context.Context, prefix string) ([]kv.Item, kv.Revision, error) {
	if err := s.check(); err != nil {
		return nil, 0, err
	}
	return s.Store.List(ctx, prefix)
}

func (s *cutStore) Watch(ctx context.Context, prefix string, after kv.Revision, until time.Time) ([]kv.Event, kv.Revision, error) {
	events, rev, err := s.Store.Watch(ctx, prefix, after, until)
	if cerr := s.check(); cerr != nil {
		return nil, 0, cerr
	}
	return events, rev, err
}

func (s *cutStore) Commit(ctx context.Context, t kv.Txn) (kv.Revision, error) {
	if err := s.check(); err != nil {
		return 0, err
	}
	return s.Store.Commit(ctx, t)
}

func (s *cutStore) Renew(ctx context.Context, l kv.Lease) error {
	if err := s.check(); err != nil {
		return err
	}
	return s.Store.Renew(ctx, l)
}

// ownRunners are runners as one daemon reaches them: all but one.
type ownRunners struct {
	*runners.Runners
	unreached runner.ID

	mu   sync.Mutex
	last clock.BootTime // when it was last called
}

func (r *ownRunners) Poll(ctx context.Context, to runner.Target, t runner.Term, q runner.PollRequest) (*runner.Report, runner.Reply, error) {
	if to.ID == r.unreached {
		return nil, runner.Reply{}, errors.Wrap(runner.ErrNoResponse, "not reached")
	}
	r.mu.Lock()
	r.last = clock.Now()
	r.mu.Unlock()
	return r.Runners.Poll(ctx, to, t, q)
}

// peers let daemons ask each other.
type peers struct {
	mu     sync.Mutex
	byAddr map[netip.AddrPort]*lead.Leader
	paused bool           // they do not reply
	ended  clock.BootTime // when one replied first that a term has ended
}

func (p *peers) EndTerm(_ context.Context, at netip.AddrPort, id runner.Term) (lead.TermState, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paused {
		return lead.TermState{}, errors.New("paused")
	}
	s := p.byAddr[at].EndTerm(id)
	if s.Ended && p.ended == 0 {
		p.ended = clock.Now()
	}
	return s, nil
}

func (p *peers) endedAt() clock.BootTime {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// TestPreviousLeaderAsked guards against a wait for a previous leader that is cut off
// from the store and goes on, although the next leader reaches it, and against a
// previous leader that says so and goes on.
func TestPreviousLeaderAsked(t *testing.T) {
	s := newSystem(t, 0, 0, 0)
	first := &cutStore{Store: s.store}
	p := &peers{byAddr: make(map[netip.AddrPort]*lead.Leader), paused: true}
	var own [2]*ownRunners
	for i := range own {
		c := s.config(i)
		own[i] = &ownRunners{Runners: s.runners}
		c.Runners, c.Peers, c.Self.Addr = own[i], p, netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1+i))
		if i == 0 {
			c.Store = first
		} else {
			own[i].unreached = "r0"
		}
		l := lead.New(c)
		p.byAddr[c.Self.Addr] = l
		s.leaders = append(s.leaders, l)
	}
	await := func(what string, f func() bool) {
		t.Helper()
		for end := time.Now().Add(limit); !f(); s.pause() {
			if time.Now().After(end) {
				t.Fatal(what + ": not in time")
			}
		}
	}
	l1, l2 := s.leaders[0], s.leaders[1]
	s.run(l1.Run, l1.Done())
	await("first leader", func() bool { return l1.Leading() && l1.Stats().Reachable == 3 })
	s.wait(s.submitAll(1)) // the roster is stored
	first.mu.Lock()
	first.cut = true
	first.mu.Unlock()
	s.run(l2.Run, l2.Done())
	s.store.RevokeLeases()
	await("second leader", func() bool { return l2.Leading() && l2.Stats().Reachable == 2 })
	if !l1.Leading() {
		t.Error("the first leader has ended its term before it was asked")
	}
	p.mu.Lock()
	p.paused = false
	p.mu.Unlock()
	asked := clock.Now()
	await("reply", func() bool { return p.endedAt() != 0 })
	if waited := p.endedAt().Sub(asked); waited > lead.RenewDeadline/2 {
		t.Errorf("the first leader replied after %v", waited)
	}
	if l1.Leading() {
		t.Error("the first leader leads after it replied that its term has ended")
	}
	s.pause()
	own[0].mu.Lock()
	defer own[0].mu.Unlock()
	if own[0].last > p.endedAt() {
		t.Errorf("the first leader called a runner %v after it replied that its term has ended", own[0].last.Sub(p.endedAt()))
	}
}
