package query

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"gypsumtrestle.example/gypsumtrestle/internal/recorded"
)

// TestRecorded guards against daemons of different versions that misread each
// other's queries and replies.
func TestRecorded(t *testing.T) {
	f := recorded.Open(t, "recorded.hex")
	recorded.RoundTrip(f, "question", recorded.Encoder[query](cbor.Marshal), recorded.Decoder[query](cbor.Unmarshal))
	recorded.RoundTrip(f, "reply", recorded.Encoder[reply](cbor.Marshal), recorded.Decoder[reply](cbor.Unmarshal))
}
