package main

import (
	"bytes"
	"testing"

	"github.com/alecthomas/kong"

	"gypsumtrestle.example/gypsumtrestle/internal/recorded"
)

// TestRecordedHelp guards against renamed flags, whose names are derived from
// field names.
func TestRecordedHelp(t *testing.T) {
	t.Setenv("COLUMNS", "200")
	var c flags
	var out bytes.Buffer
	p := kong.Must(&c, kong.Name("platform-standin"), kong.Writers(&out, &out), kong.Exit(func(int) {}))
	_, _ = p.Parse([]string{"--help"}) // Exit is a no-op, so parsing continues and fails for missing flags
	recorded.Open(t, "help.txt").Check("platform-standin", out.Bytes())
}
