package dispatch

import (
	"testing"

	"gypsumtrestle.example/gypsumtrestle/internal/backend"
	record "gypsumtrestle.example/gypsumtrestle/internal/recorded"
)

// TestRecorded guards against answers that the home of a key keeps and a daemon
// of another version misreads, or takes for those of another request. The
// fields of an answer are stored under their names.
func TestRecorded(t *testing.T) {
	j := &Job{Service: "s", Request: &backend.Request{Method: "POST", Target: "/t", Body: []byte("b")}}
	record.RoundTripOf(record.Open(t, "recorded.hex"), "stored", record.New[*backend.Response](), func(a *backend.Response) ([]byte, error) {
		return keep(j, &Result{Response: a}), nil
	}, func(b []byte) (*backend.Response, error) {
		s := kept(b)
		if s == nil || s.Print != fingerprint(j) {
			t.Fatalf("the stored answer is not that of the job: %+v", s)
		}
		return s.Answer, nil
	})
}
