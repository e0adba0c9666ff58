package totals

import (
	"context"
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/recorded"
)

// singleKeyStore is a store with one key.
type singleKeyStore struct{ etcd.Put }

func (s *singleKeyStore) Do(_ context.Context, t etcd.Txn) (etcd.TxnResult, error) {
	s.Put = t.Puts[0]
	return etcd.TxnResult{Applied: true}, nil
}

func (s *singleKeyStore) List(context.Context, string) ([]etcd.Pair, int64, error) {
	return []etcd.Pair{{Key: s.Key, Value: s.Value}}, 1, nil
}

// TestRecorded guards against changes in the stored totals and the printed table,
// which other versions and operators' scripts read.
func TestRecorded(t *testing.T) {
	f := recorded.Open(t, "recorded.txt")
	recorded.RoundTrip(f, "counts", recorded.Encoder[map[string]Count](json.Marshal), recorded.Decoder[map[string]Count](json.Unmarshal))
	counts := recorded.New[map[string]Count]()
	s := new(singleKeyStore)
	if err := (&Writer{Store: s, Incarnation: "a.1"}).write(t.Context(), "2026-12-04", counts); err != nil {
		t.Fatal(err)
	}
	f.Check("key", []byte(s.Key))
	s.Value = f.Check("counts", s.Value)
	rows, err := Read(t.Context(), s, "", "")
	if err != nil || len(rows) != 1 || !reflect.DeepEqual(map[string]Count{rows[0].Service: rows[0].Count}, counts) {
		t.Errorf("read %+v, %v, want %+v", rows, err, counts)
	}
	var b strings.Builder
	if err := Write(&b, rows); err != nil {
		t.Fatal(err)
	}
	f.Check("table", []byte(b.String()))
}
