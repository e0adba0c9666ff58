package fleet_test

import (
	"encoding/json"
	"strings"
	"testing"

	"gypsumtrestle.example/gypsumtrestle/internal/fleet"
	"gypsumtrestle.example/gypsumtrestle/internal/recorded"
)

// TestRecorded guards against a version of the program that misreads a zone's
// map stored by another version, and against states whose number or name
// changes.
func TestRecorded(t *testing.T) {
	f := recorded.Open(t, "recorded.txt")
	recorded.RoundTrip(f, "map", recorded.Encoder[fleet.Map](json.Marshal), recorded.Decoder[fleet.Map](json.Unmarshal))
	var names []string
	for s := fleet.Free; s <= fleet.Failed; s++ {
		names = append(names, s.String())
	}
	f.Check("states", []byte(strings.Join(names, " ")))
}
