package dispatch

import (
	"testing"

	"gypsumtrestle.example/gypsumtrestle/internal/backend"
	record "gypsumtrestle.example/gypsumtrestle/internal/recorded"
)

// TestRecorded guards against stored responses that a daemon of another version
// decodes wrongly or returns for a different request. The fields of a response
// are stored under their Go names.
func TestRecorded(t *testing.T) {
	j := &Job{Service: "s", Request: &backend.Request{Method: "POST", Target: "/t", Body: []byte("b")}}
	record.RoundTripOf(record.Open(t, "recorded.hex"), "stored", record.New[*backend.Response](), func(a *backend.Response) ([]byte, error) {
		return encodeStored(j, &Result{Response: a}), nil
	}, func(b []byte) (*backend.Response, error) {
		s := decodeStored(b)
		if s == nil || s.Print != fingerprint(j) {
			t.Fatalf("stored response does not match the job: %+v", s)
		}
		return s.Answer, nil
	})
}
