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
	r := recorded.New[reply]()
	recorded.RoundTripOf(f, "reply-with-workspace", r, recorded.Encoder[reply](cbor.Marshal), recorded.Decoder[reply](cbor.Unmarshal))
	r.Workspace = "" // a job without a workspace, or a daemon of an earlier version
	recorded.RoundTripOf(f, "reply", r, recorded.Encoder[reply](cbor.Marshal), recorded.Decoder[reply](cbor.Unmarshal))
}
