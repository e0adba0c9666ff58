package main

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/host"
	"gypsumtrestle.example/gypsumtrestle/internal/oplog"
	"gypsumtrestle.example/gypsumtrestle/platform"
)

// memoryShare is the share of the host's memory that is set as the memory limit
// of the Go runtime, above which it collects garbage more often.
const memoryShare = 0.6

type entryCmd struct {
	Settings string         `help:"Settings file of the platform." env:"GYPSUMTRESTLE_NODE_FILE" required:"" type:"path" placeholder:"FILE"`
	Metrics  netip.AddrPort `help:"Address that serves metrics." default:"0.0.0.0:9464" placeholder:"IP:PORT"`
	// For 49 runners, the calls of the leader use a tenth of a processor.
	Relays    int    `help:"Number of runners above which the leader reaches them through the other daemons." default:"100" placeholder:"N"`
	Together  bool   `help:"Place tasks without regard to which images slow each other down."`
	Admission string `help:"Whether jobs that an overloaded pool cannot complete in time are rejected: on, off, or auto for on if the configuration has workspaces." enum:"auto,on,off" default:"auto" placeholder:"auto|on|off"`
	Check     bool   `help:"Check the settings and exit."`
}

// Run runs a daemon on the users' platform until the process receives a stop
// signal.
func (c *entryCmd) Run(ctx context.Context, stdout io.Writer) error {
	// An unhandled SIGHUP ends the process, so the handler is installed
	// before anything else.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	settings, err := platform.LoadSettings(c.Settings)
	if err != nil {
		return err
	}
	if c.Check {
		_, err := fmt.Fprintln(stdout, "settings are usable:", settings.Name)
		return errors.Wrap(err, "print")
	}
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryMB) * memoryShare * (1 << 20)))
	}
	w := oplog.NewWriter(os.Stdout)
	defer w.Close()
	logger := log.With(log.NewLogfmtLogger(w), "at", log.DefaultTimestampUTC, "host", settings.Name)
	o := host.Options{Metrics: c.Metrics, DirectLimit: c.Relays, Together: c.Together, Admission: host.Admission(c.Admission)}
	return host.New(settings, o, logger).Run(ctx, c.Settings, hangups)
}
