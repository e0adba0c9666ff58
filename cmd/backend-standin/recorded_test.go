package main

import (
	"bytes"
	"testing"

	"github.com/alecthomas/kong"

	"gypsumtrestle.example/gypsumtrestle/internal/recorded"
)

// TestRecordedHelp guards against flags that change their name: they come from
// the names of fields.
func TestRecordedHelp(t *testing.T) {
	t.Setenv("COLUMNS", "200")
	var c cli
	var out bytes.Buffer
	p := kong.Must(&c, kong.Name("backend-standin"), kong.Writers(&out, &out), kong.Exit(func(int) {}))
	_, _ = p.Parse([]string{"--help"}) // without the exit, it goes on and misses flags
	recorded.Open(t, "help.txt").Check("backend-standin", out.Bytes())
}
