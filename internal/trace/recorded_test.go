package trace

import (
	"bytes"
	"strings"
	"testing"

	"gypsumtrestle.example/gypsumtrestle/internal/recorded"
)

// TestRecorded guards against a changed trace format, which other versions of the
// program could not replay.
func TestRecorded(t *testing.T) {
	f := recorded.Open(t, "recorded.txt")
	recorded.RoundTrip(f, "event", func(e Event) ([]byte, error) {
		var l lines
		err := l.add(e)
		return l.b.Bytes(), err
	}, func(b []byte) (Event, error) {
		es, err := Read(bytes.NewReader(b))
		if err != nil || len(es) != 1 {
			t.Fatalf("read %+v, %v", es, err)
		}
		return es[0], nil
	})
	var kinds []string
	for _, k := range []Kind{Arrive, Claim, Admit, Send, End, Leave, Serve} {
		kinds = append(kinds, string(k))
	}
	f.Check("kinds", []byte(strings.Join(kinds, " ")))
}
