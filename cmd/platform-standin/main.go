// Command platform-standin serves the stand-in of the platform on loopback, for
// tests and measurements in separate processes.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	standin "gypsumtrestle.example/gypsumtrestle/internal/standin/platform"
)

type flags struct {
	Listen  string        `help:"Address to listen on." default:"127.0.0.1:0"`
	Hosts   string        `help:"JSON file with the hosts." type:"existingfile" required:""`
	TaskTTL time.Duration `help:"How long a task runs without a renewal." default:"10m"`
	Tick    time.Duration `help:"Pause between two checks for lapsed leases." default:"100ms"`
}

func main() {
	var f flags
	k := kong.Parse(&f, kong.Description("Serves the stand-in of the platform."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	k.FatalIfErrorf(f.serve(ctx))
}

func (f flags) serve(ctx context.Context) error {
	b, err := os.ReadFile(f.Hosts)
	if err != nil {
		return err
	}
	var hosts []standin.Host
	if err := json.Unmarshal(b, &hosts); err != nil {
		return errors.Wrapf(err, "read %s", f.Hosts)
	}
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", f.Listen)
	if err != nil {
		return err
	}
	s := &standin.Server{TaskTTL: f.TaskTTL}
	srv := &http.Server{Handler: s.Handler(hosts), ReadHeaderTimeout: 10 * time.Second}
	fmt.Println("listening on", l.Addr())
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(l) }()
	t := time.NewTicker(f.Tick)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			s.Tick()
		case err := <-failed:
			s.Close()
			return err
		case <-ctx.Done():
			s.Close()
			return srv.Close()
		}
	}
}
