package manager

import (
	"context"
	"fmt"
	"testing"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/fleet"
	"gypsumtrestle.example/gypsumtrestle/internal/peer"
	"gypsumtrestle.example/gypsumtrestle/internal/recorded"
	"gypsumtrestle.example/gypsumtrestle/internal/state"
)

// txnRecorder is a store that records the last transaction.
type txnRecorder struct {
	etcd.Store
	etcd.Txn
}

func (r *txnRecorder) Do(_ context.Context, t etcd.Txn) (etcd.TxnResult, error) {
	r.Txn = t
	return etcd.TxnResult{Applied: true, Revision: 9}, nil
}

// TestRecorded guards against a manager that cannot decode the stored
// configuration text or zone map. The manager decodes two fields of the text
// record, which have no tags of their own.
func TestRecorded(t *testing.T) {
	const src = "zones = [\"a\", \"b\"]\nweigh = \"rollout\"\n[[service]]\nname = \"s\"\nrunners = 3\nspare = true\n"
	tracker := new(state.Tracker)
	m := &Manager{Self: peer.Daemon{Zone: "a"}, State: tracker}
	if err := m.accept([]etcd.Pair{
		{Key: "/gt/text", Created: 1, Modified: 2, Value: []byte(`{"version":7,"text":"zones = [\"a\", \"b\"]\nweigh = \"rollout\"\n[[service]]\nname = \"s\"\nrunners = 3\nspare = true\n","author":"o"}`)},
		{Key: "/gt/map/a", Created: 3, Modified: 4, Value: []byte(`{"zone":"a","version":5,"writer":"w.1","hosts":[],"roster":[]}`)},
	}); err != nil {
		t.Fatal(err)
	}
	v := tracker.View()
	if v.PlanVersion != 7 || string(v.Source) != src {
		t.Errorf("got text version %d: %q", v.PlanVersion, v.Source)
	}
	recorder := new(txnRecorder)
	m.Store, m.created = recorder, 1
	z := recorded.New[fleet.Map]()
	z.Zone = "a"
	if ok, err := m.write(t.Context(), &z); !ok || err != nil {
		t.Errorf("write map: applied %t, error %v", ok, err)
	}
	recorded.Open(t, "recorded.txt").Check("write", fmt.Appendf(nil, "%s\n%s\n%v %v\n", recorder.Puts[0].Key, recorder.Puts[0].Value, recorder.Conds, recorder.Else))
	if z := v.Maps["a"]; z == nil || z.Version != 5 || z.Writer != "w.1" {
		t.Errorf("got map %+v, want version 5 of w.1", z)
	}
}
