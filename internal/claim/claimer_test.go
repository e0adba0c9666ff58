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

// store is a key-value service of which claims use two calls.
type store struct {
	etcd.Store
	mu    sync.Mutex
	pairs map[string]string
	times []time.Time // of transactions
	keys  int
	// fail is consulted before a transaction, lose after it.
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
				return r, errors.New("no lease")
			}
			s.pairs[p.Key] = string(p.Value)
		}
	}
	lost := s.lose
	s.lose = nil
	return r, lost
}

// mesh hands messages to the other claimers at once; drop loses them.
type mesh struct {
	self string
	all  map[string]*Claimer
	// lose is the number of messages that are lost next; they go to lost.
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

// claimers runs n claimers over one store, until the test ends.
func claimers(t *testing.T, n int) ([]*Claimer, *store) {
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

// TestOwnKey guards a caller's own key: the daemon that records it first
// decides, one attempt through either daemon is granted, and its response is
// replayed by both, during an outage of the platform too at the home.
func TestOwnKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cs, s := claimers(t, 2)
		key := Mint(time.Now(), "")
		var ds [2]Decision
		var wg sync.WaitGroup
		for i := range cs {
			wg.Go(func() { ds[i] = cs[i].Claim(t.Context(), key) })
		}
		wg.Wait()
		won := 0
		if ds[0].Verdict != Granted {
			won = 1
		}
		if ds[won].Verdict != Granted || ds[1-won].Verdict != Running {
			t.Fatalf("two attempts at once: %v, %v", ds[0].Verdict, ds[1].Verdict)
		}
		if err := cs[won].Report(t.Context(), ds[won].Grant, backend.Answered, []byte("r")); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		for _, c := range cs {
			if d := c.Claim(t.Context(), key); d.Verdict != Answered || string(d.Response) != "r" {
				t.Errorf("replay at %s: %+v", c.Self, d)
			}
		}
		s.fail = errors.New("down")
		home := ds[won].Grant.Key.Owner
		for _, c := range cs {
			want := Unknown
			if c.Self == home {
				want = Answered
			}
			if d := c.Claim(t.Context(), key); d.Verdict != want {
				t.Errorf("outage at %s: %v, want %v", c.Self, d.Verdict, want)
			}
		}
	})
}

// TestLostResponse guards against a key without a decision after a write that
// took effect while its response was lost, and against a grant after a write
// that cannot be confirmed.
func TestLostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cs, s := claimers(t, 1)
		s.lose = &etcd.UnknownError{Op: "txn", Err: errors.New("cut")}
		if d := cs[0].Claim(t.Context(), Mint(time.Now(), "")); d.Verdict != Granted {
			t.Errorf("after a lost response: %v", d.Verdict)
		}
		s.fail = &etcd.UnknownError{Op: "txn", Err: errors.New("cut")}
		if d := cs[0].Claim(t.Context(), Mint(time.Now(), "")); d.Verdict != Unknown {
			t.Errorf("never confirmed: %v", d.Verdict)
		}
	})
}

// TestBatches guards the write budget of the platform: an idle daemon commits
// at once, and a burst shares transactions, at most 10 a second of 64 keys. A
// key that another daemon has recorded does not hold up its batch.
func TestBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cs, s := claimers(t, 1)
		begun := time.Now()
		if d := cs[0].Claim(t.Context(), Mint(begun, "")); d.Verdict != Granted || !time.Now().Equal(begun) {
			t.Errorf("idle daemon: %v after %v", d.Verdict, time.Since(begun))
		}
		var wg sync.WaitGroup
		foreign := Mint(begun, "")
		s.pairs["/gtkey/"+foreign.ID.String()] = "gone.1"
		for range 200 {
			wg.Go(func() {
				if d := cs[0].Claim(t.Context(), Mint(begun, "")); d.Verdict != Granted {
					t.Errorf("burst: %v", d.Verdict)
				}
			})
		}
		wg.Go(func() {
			if d := cs[0].Claim(t.Context(), foreign); d.Verdict != Unknown {
				t.Errorf("key of a home that is gone: %v", d.Verdict)
			}
		})
		wg.Wait()
		if s.keys != 64 || len(s.times) > 7 {
			t.Errorf("%d transactions of up to %d keys", len(s.times), s.keys)
		}
		for i := 1; i < len(s.times); i++ {
			if d := s.times[i].Sub(s.times[i-1]); d < 99*time.Millisecond {
				t.Errorf("transaction %d came %v after the one before", i, d)
			}
		}
	})
}

// TestRemote guards the messages between holder and home: a lost grant is
// repeated, a grant that comes after its call was given up releases the key,
// and a home that does not answer is unknown.
func TestRemote(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cs, _ := claimers(t, 2)
		home, holder := cs[0], cs[1]
		n := home.Mesh.(*mesh)
		from := message.Daemon{Incarnation: home.Self}
		n.lose = 1
		key := Mint(time.Now(), home.Self)
		if d := holder.Claim(t.Context(), key); d.Verdict != Granted || len(n.lost) != 1 {
			t.Fatalf("after a lost grant: %v, %d lost", d.Verdict, len(n.lost))
		}
		holder.Receive(from, n.lost[0]) // the lost one arrives
		synctest.Wait()
		if d := home.Claim(t.Context(), key); d.Verdict != Running {
			t.Errorf("a late copy of a used grant released the key: %v", d.Verdict)
		}
		n.lose, n.lost = 100, nil
		key = Mint(time.Now(), home.Self)
		if d := holder.Claim(t.Context(), key); d.Verdict != Unknown {
			t.Errorf("home does not answer: %v", d.Verdict)
		}
		synctest.Wait()
		if d := home.Claim(t.Context(), key); d.Verdict != Running {
			t.Errorf("while the grant is out: %v", d.Verdict)
		}
		holder.Receive(from, n.lost[0])
		synctest.Wait()
		if d := home.Claim(t.Context(), key); d.Verdict != Granted {
			t.Errorf("after the unused grant came back: %v", d.Verdict)
		}
		if d := holder.Claim(t.Context(), Mint(time.Now(), "gone.1")); d.Verdict != Unknown {
			t.Errorf("home is a past incarnation: %v", d.Verdict)
		}
		if err := holder.Report(t.Context(), Grant{Key: Mint(time.Now(), "gone.1")}, backend.NotRun, nil); err == nil || !strings.Contains(err.Error(), "no such peer") {
			t.Errorf("undeliverable report: %v", err)
		}
	})
}
