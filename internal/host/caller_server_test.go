package host

import (
	"testing"

	"gypsumtrestle.example/gypsumtrestle/platform"
)

// TestLongKeyReachesAPI guards against a header limit by which a key of 64 KB gets 431 in
// place of the 401 of the API.
func TestLongKeyReachesAPI(t *testing.T) {
	const header = 80 << 10 // 0 means the default of 1 MB
	if n := (&Daemon{callerAPI: &platform.CallerAPI{}}).callerServer().MaxHeaderBytes; n != 0 && n < header {
		t.Errorf("limit of %d bytes, want at least %d", n, header)
	}
}
