package daemon

import (
	"context"
	stderrors "errors"
	"os"
	"time"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/trace"
)

// openTrace opens the trace file, if one is configured. Events carry the
// incarnation, so that a restarted daemon can append to the same file.
func (d *Daemon) openTrace(incarnation string) error {
	if d.cfg.TraceFile == "" {
		return nil
	}
	f, err := os.OpenFile(d.cfg.TraceFile, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return errors.Wrap(err, "open trace file")
	}
	d.trace = &trace.Recorder{Daemon: incarnation, W: f, Logger: d.partLogger("trace")}
	d.closeTrace = f.Close
	return nil
}

// record writes the trace until ctx ends.
func (d *Daemon) record(ctx context.Context) error {
	if d.trace == nil {
		<-ctx.Done()
		return nil
	}
	leavingDone := make(chan struct{})
	go func() {
		defer close(leavingDone)
		d.recordLeaving(ctx)
	}()
	err := d.trace.Run(ctx)
	<-leavingDone
	return errors.Wrap(stderrors.Join(err, d.closeTrace()), "write trace")
}

// recordLeaving records the hosts that join or leave the set of leaving hosts.
func (d *Daemon) recordLeaving(ctx context.Context) {
	var last map[string]time.Time
	for {
		changed := d.tracker.Changed()
		now := d.tracker.View().Leaving
		for host, at := range now {
			if _, ok := last[host]; !ok {
				d.trace.Add(trace.Event{At: at, Kind: trace.Leave, Host: host})
			}
		}
		for host := range last {
			if _, ok := now[host]; !ok {
				d.trace.Add(trace.Event{Kind: trace.Serve, Host: host})
			}
		}
		last = now
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}
