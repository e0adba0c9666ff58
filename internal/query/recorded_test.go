package query

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"gypsumtrestle.example/gypsumtrestle/internal/recorded"
)

// TestRecorded guards against daemons of two versions that misread each other's
// questions and answers.
func TestRecorded(t *testing.T) {
	f := recorded.Open(t, "recorded.hex")
	recorded.RoundTrip(f, "question", recorded.Encoder[question](cbor.Marshal), recorded.Decoder[question](cbor.Unmarshal))
	recorded.RoundTrip(f, "reply", recorded.Encoder[reply](cbor.Marshal), recorded.Decoder[reply](cbor.Unmarshal))
}
