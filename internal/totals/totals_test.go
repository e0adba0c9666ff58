package totals_test

import (
	"context"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/totals"
	"gypsumtrestle.example/gypsumtrestle/pkg/text"
)

// fakeStore applies unconditional writes. If lose is set, a write takes effect
// and its response is lost.
type fakeStore struct {
	kv     map[string][]byte
	lose   bool
	writes int
}

func (s *fakeStore) Do(_ context.Context, t etcd.Txn) (etcd.TxnResult, error) {
	for _, p := range t.Puts {
		s.writes++
		s.kv[p.Key] = p.Value
	}
	if s.lose {
		return etcd.TxnResult{}, &etcd.UnknownError{Op: "txn", Err: errors.New("connection lost")}
	}
	return etcd.TxnResult{Applied: true}, nil
}

func (s *fakeStore) List(_ context.Context, prefix string) ([]etcd.Pair, int64, error) {
	var out []etcd.Pair
	for k, v := range s.kv {
		if strings.HasPrefix(k, prefix) {
			out = append(out, etcd.Pair{Key: k, Value: v})
		}
	}
	return out, 1, nil
}

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// TestLostResponseCountsOnce guards against counting twice when the response
// to a write is lost after the write took effect.
func TestLostResponseCountsOnce(t *testing.T) {
	s := &fakeStore{kv: map[string][]byte{}}
	c := new(totals.Counter)
	w := &totals.Writer{Counter: c, Store: s, Incarnation: "waco1.a"}
	n := c.Of("2026-12-04", "ascent")
	atomic.AddInt64(&n.Requests, 7)
	s.lose = true
	if err := w.Flush(t.Context(), noon); err == nil {
		t.Fatal("Flush returned no error for a lost response")
	}
	s.lose = false
	for range 2 {
		if err := w.Flush(t.Context(), noon); err != nil {
			t.Fatal(err)
		}
	}
	if s.writes != 2 {
		t.Errorf("%d writes, want 2: unchanged counts are not written again", s.writes)
	}
	rows, err := totals.Read(t.Context(), s, "", "")
	if err != nil || len(rows) != 1 || rows[0].Requests != 7 {
		t.Errorf("got %v, %v, want 7 requests", rows, err)
	}
}

// TestTotalsOfReplacedDaemon guards against counts of a previous incarnation that
// are lost or counted twice after the daemon was replaced.
func TestTotalsOfReplacedDaemon(t *testing.T) {
	s := &fakeStore{kv: map[string][]byte{}}
	for _, inc := range []string{"waco1.a", "waco1.b"} {
		c := new(totals.Counter)
		atomic.AddInt64(&c.Of("2026-12-04", "beta").Served, 5)
		if err := (&totals.Writer{Counter: c, Store: s, Incarnation: inc}).Flush(t.Context(), noon); err != nil {
			t.Fatal(err)
		}
	}
	rows, err := totals.Read(t.Context(), s, "2026-12-04", "2026-12-04")
	if err != nil || len(rows) != 1 || rows[0].Served != 10 {
		t.Errorf("got %v, %v, want 10 served", rows, err)
	}
}

// TestExhaustedBudgets guards against a budget that is not exhausted by the
// unserved requests of all daemons together, and against one that is exhausted by
// fewer requests than its share or the minimum.
func TestExhaustedBudgets(t *testing.T) {
	tx := &text.Text{Services: []text.Service{{Name: "beta", Budget: 0.99}}}
	for _, tc := range []struct {
		requests, refused, unknown int64
		want                       bool
	}{
		{5000, 30, 20, false}, // exactly 1%
		{5000, 30, 21, true},
		{20, 5, 4, false}, // below the minimum
		{20, 5, 5, true},
	} {
		rows := []totals.Row{
			{Service: "beta", Count: totals.Count{Requests: tc.requests - 1, Refused: tc.refused}},
			{Service: "beta", Count: totals.Count{Requests: 1, Unknown: tc.unknown}},
			{Service: "removed", Count: totals.Count{Requests: 100, Failed: 100}},
		}
		if got := totals.ExhaustedBudgets(tx, rows); got["beta"] != tc.want || got["removed"] {
			t.Errorf("%+v: got %v", tc, got)
		}
	}
}

func TestDayEndsAtOperatorsMidnight(t *testing.T) {
	chicago, err := time.LoadLocation("America/Chicago")
	if err != nil {
		t.Fatal(err)
	}
	// 03:00 UTC is still the previous evening in Texas.
	if got := totals.DayOf(noon.Add(15*time.Hour), chicago); got != "2026-12-04" {
		t.Errorf("got %s", got)
	}
}

func ExampleWrite() {
	_ = totals.Write(os.Stdout, []totals.Row{{Day: "2026-12-04", Service: "beta", Count: totals.Count{Requests: 2, Served: 2}}})
	// Output:
	// day	service	requests	served	refused	unknown	failed	late	cancelled	retried	spilled	moves	maintained	buffer
	// 2026-12-04	beta	2	2	0	0	0	0	0	0	0	0	0	0
}
