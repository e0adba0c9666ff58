package etcd_test

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/etcd/lease"
	"gypsumtrestle.example/gypsumtrestle/internal/standin/platform/faults"
)

// lossy loses the response to its first transaction. It applies the transaction
// if applies is set, and calls meanwhile before it returns the error.
type lossy struct {
	etcd.Store
	applies   bool
	meanwhile func()
	once      sync.Once
}

func (l *lossy) Do(ctx context.Context, t etcd.Txn) (res etcd.TxnResult, err error) {
	first := false
	l.once.Do(func() { first = true })
	if !first {
		return l.Store.Do(ctx, t)
	}
	if l.applies {
		if res, err = l.Store.Do(ctx, t); err != nil {
			return res, err
		}
	}
	if l.meanwhile != nil {
		l.meanwhile()
	}
	return etcd.TxnResult{}, &etcd.UnknownError{Op: "write", Key: "/k", Err: errors.New("lost")}
}

// Guards against a lost response that is treated as a failed write, and against
// the value of another writer that is treated as the own one.
func TestCASWriter(t *testing.T) {
	for _, create := range []bool{false, true} {
		for _, applies := range []bool{false, true} {
			for _, other := range []string{"", "overwrites", "takes the lock", "stale"} {
				t.Run(fmt.Sprintf("create %v, applies %v, other %q", create, applies, other), func(t *testing.T) {
					testCASWriter(t, create, applies, other)
				})
			}
		}
	}
}

func testCASWriter(t *testing.T, create, applies bool, other string) {
	s, _, c := serve(t)
	lock := must(t, c, etcd.Txn{Puts: []etcd.Put{put("/lock", "")}})
	rev := int64(0)
	if !create {
		rev = must(t, c, etcd.Txn{Puts: []etcd.Put{put("/k", "0")}})
	}
	l := &lossy{Store: c, applies: applies, meanwhile: func() {
		switch other {
		case "overwrites":
			must(t, c, etcd.Txn{Puts: []etcd.Put{put("/k", "theirs")}})
		case "takes the lock":
			must(t, c, etcd.Txn{Puts: []etcd.Put{put("/lock", "theirs")}})
		case "stale":
			s.Faults.Set(faults.Faults{Revision: lock})
		}
	}}
	writer := lease.CASWriter{Store: l, Pause: time.Microsecond}
	res, err := writer.Do(t.Context(), etcd.Txn{
		Conds: []etcd.Cond{{Key: "/k", Modified: rev}, {Key: "/lock", Modified: lock}},
		Puts:  []etcd.Put{put("/k", "w1/1"), put("/k2", "")},
	})
	if err != nil {
		t.Fatal(err)
	}
	if want := applies || other == "" || other == "stale"; res.Applied != want {
		t.Errorf("Applied = %v, want %v", res.Applied, want)
	}
	if other == "stale" {
		if p, err := c.Get(t.Context(), "/k"); err != nil || p.Key != "" {
			t.Errorf("Get = %+v, %v, want the state at revision %d", p, err, lock)
		}
		s.Faults.Set(faults.Faults{})
	}
	p, err := c.Get(t.Context(), "/k2")
	if err != nil || (p.Modified != 0) != res.Applied || res.Applied && p.Modified != res.Revision {
		t.Errorf("write found at revision %d (%v), result %+v", p.Modified, err, res)
	}
}

// Guards against a reported success or failure when the outcome is unknown.
func TestCASWriterUnknownOutcome(t *testing.T) {
	s, _, c := serve(t)
	s.Faults.Set(faults.Faults{LoseResponses: 1000})
	ctx, cancel := context.WithCancel(t.Context())
	l := &lossy{Store: c, applies: false, meanwhile: cancel}
	x := etcd.Txn{Conds: []etcd.Cond{{Key: "/k"}}, Puts: []etcd.Put{put("/k", "w1/1")}}
	if _, err := (lease.CASWriter{Store: l}).Do(ctx, x); !isUnknown(err) {
		t.Errorf("Do = %v", err)
	}
	x.Conds = nil
	if _, err := (lease.CASWriter{Store: c}).Do(t.Context(), x); err == nil || isUnknown(err) {
		t.Errorf("Do without a condition = %v", err)
	}
}

// Guards against lost or repeated updates when several writers race and many
// responses are lost.
func TestCompareAndSwapRace(t *testing.T) {
	const writers, writes = 4, 20
	s, _, c := serve(t)
	must(t, c, etcd.Txn{Puts: []etcd.Put{put("/n", "0 by nobody")}})
	s.Faults.Set(faults.Faults{LoseResponses: writers * writes / 2})
	var wg sync.WaitGroup
	for w := range writers {
		wg.Go(func() {
			for i := 0; i < writes; {
				p, err := c.Get(t.Context(), "/n")
				if err != nil {
					t.Error(err)
					return
				}
				n, err := strconv.Atoi(strings.Fields(string(p.Value))[0])
				if err != nil {
					t.Error(err)
					return
				}
				res, err := lease.CASWriter{Store: c, Pause: time.Microsecond}.Do(t.Context(), etcd.Txn{
					Conds: []etcd.Cond{{Key: "/n", Modified: p.Modified}},
					Puts:  []etcd.Put{put("/n", fmt.Sprintf("%d by %d/%d", n+1, w, i))},
				})
				if err != nil {
					t.Error(err)
					return
				}
				if res.Applied {
					i++
				}
			}
		})
	}
	wg.Wait()
	p, err := c.Get(t.Context(), "/n")
	if err != nil || !strings.HasPrefix(string(p.Value), strconv.Itoa(writers*writes)+" ") {
		t.Errorf("value %q, %v, want %d", p.Value, err, writers*writes)
	}
	if n := s.Faults.Status().Counts.Lost; n != writers*writes/2 {
		t.Errorf("%d responses lost, want half of the writes", n)
	}
}
