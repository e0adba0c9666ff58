package main

import (
	"context"
	"io"
	"net/netip"
	"os"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/explain"
)

type explainCmd struct {
	Job       string         `arg:"" optional:"" default:"-" help:"File with a job as callers send it; - reads standard input."`
	Queue     string         `help:"Queue of the job." required:"" placeholder:"NAME"`
	Workspace string         `help:"Workspace of the job." placeholder:"NAME"`
	Daemon    netip.AddrPort `help:"Peer address of any entry daemon." required:"" placeholder:"IP:PORT"`
}

// Run prints where the job would go now, and why.
func (c *explainCmd) Run(ctx context.Context, w io.Writer) error {
	f := os.Stdin
	if c.Job != "-" {
		var err error
		if f, err = os.Open(c.Job); err != nil {
			return errors.Wrap(err, "read job")
		}
		defer f.Close() //nolint:errcheck // opened for reading only
	}
	body, err := io.ReadAll(io.LimitReader(f, explain.MaxBody+1)) // the daemon rejects a longer one
	if err != nil {
		return errors.Wrap(err, "read job")
	}
	e, err := explain.Ask(ctx, c.Daemon, c.Queue, c.Workspace, body)
	if err != nil {
		return err
	}
	return explain.Print(w, e)
}
