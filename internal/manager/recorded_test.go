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

// wrote is a store that keeps the last transaction.
type wrote struct {
	etcd.Store
	etcd.Txn
}

func (s *wrote) Do(_ context.Context, t etcd.Txn) (etcd.TxnResult, error) {
	s.Txn = t
	return etcd.TxnResult{Applied: true, Revision: 9}, nil
}

// TestRecorded guards against a manager that does not find the operators' text
// or its zone's map in what the store holds. Of the text it reads two fields
// that have no names of their own in the record.
func TestRecorded(t *testing.T) {
	const src = "zones = [\"a\", \"b\"]\nweigh = \"rollout\"\n[[service]]\nname = \"s\"\nrunners = 3\nspare = true\n"
	k := new(state.Tracker)
	m := &Manager{Self: peer.Daemon{Zone: "a"}, State: k}
	if err := m.accept([]etcd.Pair{
		{Key: "/gt/text", Created: 1, Modified: 2, Value: []byte(`{"version":7,"text":"zones = [\"a\", \"b\"]\nweigh = \"rollout\"\n[[service]]\nname = \"s\"\nrunners = 3\nspare = true\n","author":"o"}`)},
		{Key: "/gt/map/a", Created: 3, Modified: 4, Value: []byte(`{"zone":"a","version":5,"writer":"w.1","hosts":[],"roster":[]}`)},
	}); err != nil {
		t.Fatal(err)
	}
	v := k.View()
	if v.Plan != 7 || string(v.Source) != src {
		t.Errorf("text %d: %q", v.Plan, v.Source)
	}
	s := new(wrote)
	m.Store, m.created = s, 1
	z := recorded.New[fleet.Map]()
	z.Zone = "a"
	if ok, err := m.write(t.Context(), &z); !ok || err != nil {
		t.Errorf("write: %t, %v", ok, err)
	}
	recorded.Open(t, "recorded.txt").Check("write", fmt.Appendf(nil, "%s\n%s\n%v %v\n", s.Puts[0].Key, s.Puts[0].Value, s.Conds, s.Else))
	if z := v.Maps["a"]; z == nil || z.Version != 5 || z.Writer != "w.1" {
		t.Errorf("map %+v", z)
	}
}
