package main

import (
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/dispatch"
	"gypsumtrestle.example/gypsumtrestle/internal/trace"
)

type replayCmd struct {
	Files []string `arg:"" help:"Traces that serve --record wrote; those of several daemons are merged by instant."`
}

// Run prints the violations in the traces, and fails if there are any.
func (c *replayCmd) Run(w io.Writer) error {
	events, err := readTraces(c.Files)
	if err != nil {
		return err
	}
	vs := dispatch.Replay(events)
	for _, v := range vs {
		_, _ = fmt.Fprintln(w, v)
	}
	_, _ = fmt.Fprintf(w, "%d events, %d violations\n", len(events), len(vs))
	if len(vs) > 0 {
		return reported{errors.Errorf("%d violations", len(vs))}
	}
	return nil
}

func readTraces(files []string) ([]trace.Event, error) {
	var rs []io.Reader
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "read trace")
		}
		defer f.Close() //nolint:errcheck // opened for reading only
		rs = append(rs, f)
	}
	return trace.Read(rs...)
}
