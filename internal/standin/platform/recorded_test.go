package platform

import (
	"encoding/json"
	"testing"

	"gypsumtrestle.example/gypsumtrestle/internal/recorded"
)

// TestRecorded guards against changes of the encoding that scripts and other
// processes cannot decode.
func TestRecorded(t *testing.T) {
	f := recorded.Open(t, "recorded.txt")
	check[Host](f, "host")
	check[HostStateUpdate](f, "mark")
	check[Launch](f, "launch")
	check[Launched](f, "launched")
}

func check[T any](f *recorded.File, name string) {
	recorded.RoundTrip(f, name, recorded.Encoder[T](json.Marshal), recorded.Decoder[T](json.Unmarshal))
}
