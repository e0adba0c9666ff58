package wire

import (
	"testing"

	"gypsumtrestle.example/gypsumtrestle/internal/peer/message"
	"gypsumtrestle.example/gypsumtrestle/internal/recorded"
)

// TestRecorded guards against daemons of two versions that reject the proof of
// the shared secret of each other.
func TestRecorded(t *testing.T) {
	f := recorded.Open(t, "recorded.hex")
	mine, theirs := recorded.New[message.Hello](), message.Hello{Protocol: protocol}
	f.Check("proof-of-dialing-end", proof([]byte("secret"), dialing, mine, theirs))
	f.Check("proof-of-accepting-end", proof([]byte("secret"), accepting, mine, theirs))
}
