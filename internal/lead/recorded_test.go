package lead_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"gypsumtrestle.example/gypsumtrestle/internal/lead"
	"gypsumtrestle.example/gypsumtrestle/internal/machine"
	"gypsumtrestle.example/gypsumtrestle/internal/recorded"
	"gypsumtrestle.example/gypsumtrestle/internal/sched"
)

// TestRecorded guards against a leader that misreads the records that a leader
// of another version has stored: the leader key, the roster, and the machines
// that may have received commands.
func TestRecorded(t *testing.T) {
	f := recorded.Open(t, "recorded.hex")
	check[lead.Holder](f, "leader")
	// A daemon of an earlier version has no deadline for starts.
	h := recorded.New[lead.Holder]()
	h.StartDeadline = 0
	recorded.RoundTripOf(f, "leader-1", h, recorded.Encoder[lead.Holder](cbor.Marshal), recorded.Decoder[lead.Holder](cbor.Unmarshal))
	check[[]sched.RosterEntry](f, "roster")
	check[map[machine.ID]sched.Intent](f, "intents")
}

func check[T any](f *recorded.File, name string) {
	recorded.RoundTrip(f, name, recorded.Encoder[T](cbor.Marshal), recorded.Decoder[T](cbor.Unmarshal))
}
