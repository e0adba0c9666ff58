package fleet_test

import (
	"encoding/json"
	"strings"
	"testing"

	"gypsumtrestle.example/gypsumtrestle/internal/fleet"
	"gypsumtrestle.example/gypsumtrestle/internal/recorded"
)

// TestRecorded guards against a map of a zone in the store that another version
// of the program misreads, and against states that change their number or name.
func TestRecorded(t *testing.T) {
	f := recorded.Open(t, "recorded.txt")
	recorded.RoundTrip(f, "map", recorded.Encoder[fleet.Map](json.Marshal), recorded.Decoder[fleet.Map](json.Unmarshal))
	var names []string
	for s := fleet.Free; s <= fleet.Failed; s++ {
		names = append(names, s.String())
	}
	f.Check("states", []byte(strings.Join(names, " ")))
}
