package text_test

import (
	"fmt"
	"os"
	"testing"

	"gypsumtrestle.example/gypsumtrestle/internal/recorded"
	"gypsumtrestle.example/gypsumtrestle/pkg/text"
)

// TestRecorded guards against a setting of the configuration text that is
// rejected or read as another one. The recorded text has all settings.
func TestRecorded(t *testing.T) {
	src, err := os.ReadFile("testdata/all.toml")
	if err != nil {
		t.Fatal(err)
	}
	p, err := text.Parse(src)
	if err != nil {
		t.Fatal(err)
	}
	f := recorded.Open(t, "recorded.txt")
	f.Check("all", fmt.Appendln(nil, p.Zones, p.Weigh, p.Clock, p.Maintenance))
	for i, s := range p.Services {
		f.Check(fmt.Sprintf("service-%d", i), fmt.Appendln(nil, s))
	}
}
