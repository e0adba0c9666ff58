package claim

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/backend"
	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/peer/message"
)

// store is an in-memory key-value store with the two calls that claims use.
type store struct {
	etcd.Store
	mu    sync.Mutex
	pairs map[string]string
	times []time.Time // of transactions
	keys  int
	// fail is returned instead of executing transactions; lose is returned once,
	// after a transaction was executed.
	fail, lose error
}

func (s *store) Grant(context.Context, int64) (int64, error) { return 7, nil }

func (s *store) Do(_ context.Context, t etcd.Txn) (etcd.TxnResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.times = append(s.times, time.Now())
	s.keys = max(s.keys, len(t.Puts))
	if s.fail != nil {
		return etcd.TxnResult{}, s.fail
	}
	var r etcd.TxnResult
	for _, key := range t.Else {
		if v, ok := s.pairs[key]; ok {
			r.Else = append(r.Else, etcd.Pair{Key: key, Value: []byte(v)})
		}
	}
	if r.Applied = len(r.Else) == 0; r.Applied {
		for _, p := range t.Puts {
			if p.Lease != 7 {
				return r, errors.New("put without the granted lease")
			}
			s.pairs[p.Key] = string(p.Value)
		}
	}
	lost := s.lose
	s.lose = nil
	return r, lost
}

// mesh delivers messages to the other claimers at once.
type mesh struct {
	self string
	all  map[string]*Claimer
	// lose is the number of next messages that are lost; lost collects them.
	mu   sync.Mutex
	lose int
	lost []message.Message
}

func (n *mesh) Send(to string, m message.Message) error {
	c := n.all[to]
	if c == nil {
		return errors.New("no such peer")
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lose > 0 {
		n.lose--
		n.lost = append(n.lost, m)
		return nil
	}
	go c.Receive(message.Daemon{Incarnation: n.self}, m)
	return nil
}

// newClaimers runs n claimers with a shared store until the test ends.
func newClaimers(t *testing.T, n int) ([]*Claimer, *store) {
	s, all := &store{pairs: make(map[string]string)}, make(map[string]*Claimer)
	var list []*Claimer
	for i := range n {
		inc := fmt.Sprintf("d%d.1", i)
		c := &Claimer{Self: inc, Store: s, Mesh: &mesh{self: inc, all: all}}
		all[inc], list = c, append(list, c)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = c.Run(ctx) }()
		t.Cleanup(func() { cancel(); <-c.Done() })
	}
	return list, s
}

// TestOwnKey guards against a caller's own key that is granted to two attempts
// through different daemons, against a stored response that one of the daemons does
// not replay, and against an owner that cannot replay it while the store is
// unavailable.
func TestOwnKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cs, s := newClaimers(t, 2)
		key := Mint(time.Now(), "")
		var ds [2]Decision
		var wg sync.WaitGroup
		for i := range cs {
			wg.Go(func() { ds[i] = cs[i].Claim(t.Context(), key) })
		}
		wg.Wait()
		winner := 0
		if ds[0].Verdict != Granted {
			winner = 1
		}
		if ds[winner].Verdict != Granted || ds[1-winner].Verdict != Running {
			t.Fatalf("verdicts of two concurrent attempts: %v, %v, want Granted for one and Running for the other", ds[0].Verdict, ds[1].Verdict)
		}
		if err := cs[winner].Report(t.Context(), ds[winner].Grant, backend.Answered, []byte("r")); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		for _, c := range cs {
			if d := c.Claim(t.Context(), key); d.Verdict != Answered || string(d.Response) != "r" {
				t.Errorf("replay at %s: got %+v, want the stored response", c.Self, d)
			}
		}
		s.fail = errors.New("store unavailable")
		owner := ds[winner].Grant.Key.Owner
		for _, c := range cs {
			want := Unknown
			if c.Self == owner {
				want = Answered
			}
			if d := c.Claim(t.Context(), key); d.Verdict != want {
				t.Errorf("claim at %s while the store is unavailable: verdict %v, want %v", c.Self, d.Verdict, want)
			}
		}
	})
}

// TestLostResponse guards against a key that is not granted after its record was
// written but the response was lost, and against a grant after a write whose
// outcome stays unknown.
func TestLostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cs, s := newClaimers(t, 1)
		s.lose = &etcd.UnknownError{Op: "txn", Err: errors.New("connection lost")}
		if d := cs[0].Claim(t.Context(), Mint(time.Now(), "")); d.Verdict != Granted {
			t.Errorf("verdict after a lost response: %v, want Granted", d.Verdict)
		}
		s.fail = &etcd.UnknownError{Op: "txn", Err: errors.New("connection lost")}
		if d := cs[0].Claim(t.Context(), Mint(time.Now(), "")); d.Verdict != Unknown {
			t.Errorf("verdict while all writes have an unknown outcome: %v, want Unknown", d.Verdict)
		}
	})
}

// TestBatches guards against exceeding the write budget of the store: a burst must
// share transactions, at most 10 per second with 64 keys each. It also guards
// against a delay of the first transaction of an idle daemon, and against a key
// recorded by another daemon that blocks its batch.
func TestBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cs, s := newClaimers(t, 1)
		start := time.Now()
		if d := cs[0].Claim(t.Context(), Mint(start, "")); d.Verdict != Granted || !time.Now().Equal(start) {
			t.Errorf("claim at an idle daemon: verdict %v after %v, want Granted at once", d.Verdict, time.Since(start))
		}
		var wg sync.WaitGroup
		otherKey := Mint(start, "")
		s.pairs["/gtkey/"+otherKey.ID.String()] = "gone.1"
		for range 200 {
			wg.Go(func() {
				if d := cs[0].Claim(t.Context(), Mint(start, "")); d.Verdict != Granted {
					t.Errorf("claim in a burst: verdict %v, want Granted", d.Verdict)
				}
			})
		}
		wg.Go(func() {
			if d := cs[0].Claim(t.Context(), otherKey); d.Verdict != Unknown {
				t.Errorf("key of an owner that no longer exists: verdict %v, want Unknown", d.Verdict)
			}
		})
		wg.Wait()
		if s.keys != 64 || len(s.times) > 7 {
			t.Errorf("%d transactions of up to %d keys, want at most 7 of 64", len(s.times), s.keys)
		}
		for i := 1; i < len(s.times); i++ {
			if d := s.times[i].Sub(s.times[i-1]); d < 99*time.Millisecond {
				t.Errorf("transaction %d started %v after the previous one, want at least 99 ms", i, d)
			}
		}
	})
}

// TestRemote guards against a lost grant that is not repeated, against a key that
// stays granted although its grant was received after the call was abandoned, and
// against a verdict other than Unknown if the owner does not reply.
func TestRemote(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cs, _ := newClaimers(t, 2)
		owner, holder := cs[0], cs[1]
		n := owner.Mesh.(*mesh)
		from := message.Daemon{Incarnation: owner.Self}
		n.lose = 1
		key := Mint(time.Now(), owner.Self)
		if d := holder.Claim(t.Context(), key); d.Verdict != Granted || len(n.lost) != 1 {
			t.Fatalf("after a lost grant: verdict %v, %d messages lost, want Granted and 1", d.Verdict, len(n.lost))
		}
		holder.Receive(from, n.lost[0]) // late copy of the grant
		synctest.Wait()
		if d := owner.Claim(t.Context(), key); d.Verdict != Running {
			t.Errorf("verdict after a late copy of a used grant: %v, want Running", d.Verdict)
		}
		n.lose, n.lost = 100, nil
		key = Mint(time.Now(), owner.Self)
		if d := holder.Claim(t.Context(), key); d.Verdict != Unknown {
			t.Errorf("verdict without a reply of the owner: %v, want Unknown", d.Verdict)
		}
		synctest.Wait()
		if d := owner.Claim(t.Context(), key); d.Verdict != Running {
			t.Errorf("verdict at the owner while the grant is in transit: %v, want Running", d.Verdict)
		}
		holder.Receive(from, n.lost[0])
		synctest.Wait()
		if d := owner.Claim(t.Context(), key); d.Verdict != Granted {
			t.Errorf("verdict after the unused grant was reported as not run: %v, want Granted", d.Verdict)
		}
		if d := holder.Claim(t.Context(), Mint(time.Now(), "gone.1")); d.Verdict != Unknown {
			t.Errorf("verdict if the owner is a past incarnation: %v, want Unknown", d.Verdict)
		}
		if err := holder.Report(t.Context(), Grant{Key: Mint(time.Now(), "gone.1")}, backend.NotRun, nil); err == nil || !strings.Contains(err.Error(), "no such peer") {
			t.Errorf("undeliverable report: error %v, want no such peer", err)
		}
	})
}
