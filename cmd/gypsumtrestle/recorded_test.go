package main

import (
	"bytes"
	"testing"

	"gypsumtrestle.example/gypsumtrestle/internal/recorded"
)

// TestRecordedHelp guards against renamed flags, commands and environment
// variables, whose names are derived from field names.
func TestRecordedHelp(t *testing.T) {
	t.Setenv("COLUMNS", "200")
	f := recorded.Open(t, "help.txt")
	for _, command := range []string{"", "serve", "entry", "check", "apply", "show", "status", "explain", "replay", "totals", "demo", "version"} {
		args := []string{command, "--help"}
		if command == "" {
			args = args[1:]
		}
		var out, errs bytes.Buffer
		if code := run(args, &out, &errs); code != exitOK || errs.Len() > 0 {
			t.Errorf("%v: exit code %d, %s", args, code, errs.String())
		}
		f.Check("gypsumtrestle-"+command, out.Bytes())
	}
}
