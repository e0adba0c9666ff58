package message

import (
	"encoding/json"
	"testing"

	"gypsumtrestle.example/gypsumtrestle/internal/recorded"
)

// TestRecorded guards against daemons of two versions that misread each other:
// after a changed tag or key, or a renamed field without one, the encoding
// differs from the bytes that earlier versions send.
func TestRecorded(t *testing.T) {
	f := recorded.Open(t, "recorded.hex")
	check[Hello](f, "1-hello")
	check[Proof](f, "2-proof")
	check[Heartbeat](f, "3-beat")
	check[Plan](f, "4-plan")
	check[Map](f, "5-map")
	check[Leaving](f, "6-leaving")
	check[Load](f, "7-load")
	check[FreeSlots](f, "8-room")
	check[Claim](f, "9-claim")
	check[Grant](f, "10-grant")
	check[Report](f, "11-report")
	check[Confirm](f, "12-confirm")
	check[Shutdown](f, "13-bye")
	// The registration of a daemon in the key-value store is JSON.
	recorded.RoundTrip(recorded.Open(t, "recorded.txt"), "registration", recorded.Encoder[Daemon](json.Marshal), recorded.Decoder[Daemon](json.Unmarshal))
}

func check[M Message](f *recorded.File, name string) {
	recorded.RoundTripOf(f, name, Message(recorded.New[M]()), Encode, Decode)
}
