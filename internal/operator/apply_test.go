package operator_test

import (
	"context"
	stderrors "errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/operator"
	"gypsumtrestle.example/gypsumtrestle/pkg/text"
)

const valid = "zones = [\"waco\"]\nweigh = \"buffer\"\n[[service]]\nname = \"desk\"\nspare = true\nrunners = 2\n"

// fakeStore holds the key of the configuration text. fault is called with the
// number of each write and returns its errors before and after it takes effect.
type fakeStore struct {
	pair  etcd.Pair
	n     int
	fault func(n int) (before, after error)
	// between runs after a write took effect and before its response.
	between func()
}

func (s *fakeStore) Get(context.Context, string) (etcd.Pair, error) { return s.pair, nil }

func (s *fakeStore) Do(_ context.Context, t etcd.Txn) (etcd.TxnResult, error) {
	s.n++
	var before, after error
	if s.fault != nil {
		before, after = s.fault(s.n)
	}
	if before != nil {
		return etcd.TxnResult{}, before
	}
	if t.Conds[0].Modified != s.pair.Modified {
		return etcd.TxnResult{Else: []etcd.Pair{s.pair}}, after
	}
	s.pair = etcd.Pair{Key: operator.TextKey, Value: t.Puts[0].Value, Modified: s.pair.Modified + 1}
	if f := s.between; f != nil {
		s.between = nil
		f()
	}
	return etcd.TxnResult{Applied: true}, after
}

func apply(s *fakeStore, author string, base uint64) (operator.Record, error) {
	return operator.Apply(context.Background(), s, time.Now(), operator.Edit{Text: []byte(valid), Author: author, Base: base})
}

var unknown = &etcd.UnknownError{Op: "txn", Err: errors.New("connection lost")}

// TestLostResponse guards against an edit that is reported as failed, or stored
// twice, when only the response to the write was lost.
func TestLostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{fault: func(n int) (error, error) {
			if n == 1 {
				return nil, unknown
			}
			return nil, nil
		}}
		r, err := apply(s, "ana", 0)
		if err != nil || r.Version != 1 || s.pair.Modified != 1 {
			t.Errorf("got version %d, %v and %d stored writes, want version 1 stored once", r.Version, err, s.pair.Modified)
		}
	})
}

// TestLostResponseThenReplaced guards against an edit that is reported as failed
// because another operator replaced it before its writer knew that it was stored.
func TestLostResponseThenReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{fault: func(n int) (error, error) {
			if n == 1 {
				return nil, unknown
			}
			return nil, nil
		}}
		s.between = func() {
			if r, err := apply(s, "bor", 1); err != nil || r.Version != 2 {
				t.Errorf("second operator: version %d, %v", r.Version, err)
			}
		}
		if r, err := apply(s, "ana", 0); err != nil || r.Version != 1 {
			t.Errorf("got version %d, %v, want version 1 accepted", r.Version, err)
		}
	})
}

// TestConflict guards against two edits of one version that are both accepted,
// and against an error that does not name the author of the current version.
func TestConflict(t *testing.T) {
	s := new(fakeStore)
	if _, err := apply(s, "ana", 0); err != nil {
		t.Fatal(err)
	}
	_, err := apply(s, "bor", 0)
	var conflict *operator.ConflictError
	if !stderrors.As(err, &conflict) || conflict.Current.Author != "ana" {
		t.Errorf("got %v, want a conflict with the version of ana", err)
	}
}

// TestRestoredPlatform guards against a version that daemons ignore because it is
// not higher than their active one, after the store was restored from an older
// state.
func TestRestoredPlatform(t *testing.T) {
	s := new(fakeStore)
	edit := operator.Edit{Text: []byte(valid), Author: "ana", Base: 41, ActiveVersion: 41}
	if r, err := operator.Apply(t.Context(), s, time.Now(), edit); err != nil || r.Version != 42 {
		t.Errorf("got version %d, %v, want 42", r.Version, err)
	}
}

// TestOutage guards against an edit that certainly was not stored, but is not
// reported as not applied.
func TestOutage(t *testing.T) {
	s := &fakeStore{fault: func(int) (error, error) { return errors.New("connection refused"), nil }}
	if _, err := apply(s, "ana", 0); err == nil || !strings.Contains(err.Error(), "not applied") {
		t.Errorf("Apply during an outage = %v, want \"not applied\"", err)
	}
}

func TestRejectedText(t *testing.T) {
	_, err := operator.Apply(t.Context(), new(fakeStore), time.Now(), operator.Edit{Text: []byte(valid), Hosts: map[string]int{"waco": 1}})
	var findings text.Findings
	if !stderrors.As(err, &findings) {
		t.Errorf("got %v, want findings: 2 runners on 1 host", err)
	}
}

func ExampleSplitVersion() {
	r := operator.Record{Version: 7, Author: "ana", Text: "zones = []\n"}
	v, src := operator.SplitVersion([]byte(r.Format()))
	fmt.Print(v, " ", string(src))
	// Output: 7 zones = []
}
