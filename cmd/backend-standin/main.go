// Command backend-standin serves host agents and their runners on loopback,
// for tests and measurements in separate processes.
package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/standin/backend"
)

const readHeaderTimeout = 10 * time.Second

type cli struct {
	Listen netip.AddrPort `default:"127.0.0.1:0" help:"Control address of the first host; a fixed port is counted up for the others."`
	Hosts  int            `default:"1" help:"Number of hosts."`
	Prefix string         `default:"host-" help:"Start of the hosts' names; the number from 1 follows."`
	Work   time.Duration  `default:"5ms" help:"Run time of a request without the header Work."`
}

func main() {
	var c cli
	kctx := kong.Parse(&c, kong.Description("A stand-in for host agents and their backend servers."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	kctx.FatalIfErrorf(c.serve(ctx, os.Stdout))
}

// serve runs all hosts until ctx ends, and prints their control addresses.
func (c *cli) serve(ctx context.Context, out io.Writer) error {
	failed := make(chan error, c.Hosts)
	for i := range c.Hosts {
		port := c.Listen.Port()
		if port != 0 {
			port += uint16(i)
		}
		h := &backend.Host{Name: fmt.Sprintf("%s%d", c.Prefix, i+1), Work: c.Work}
		defer h.Close()
		s := &http.Server{Handler: h.Handler(), ReadHeaderTimeout: readHeaderTimeout}
		defer s.Close() //nolint:errcheck // the process ends
		var lc net.ListenConfig
		l, err := lc.Listen(ctx, "tcp", netip.AddrPortFrom(c.Listen.Addr(), port).String())
		if err != nil {
			return errors.Wrapf(err, "listen for control requests of host %s", h.Name)
		}
		if _, err := fmt.Fprintf(out, "listening on %v\n", l.Addr()); err != nil {
			return errors.Wrap(err, "print address")
		}
		go func() { failed <- s.Serve(l) }()
	}
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return errors.Wrap(err, "serve control requests")
	}
}
