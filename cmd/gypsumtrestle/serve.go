package main

import (
	"context"
	stderrors "errors"
	"io"
	"net/netip"
	"net/url"
	"os"
	"time"

	"github.com/go-kit/log"

	"gypsumtrestle.example/gypsumtrestle/internal/daemon"
)

type serveCmd struct {
	Name        string           `help:"Name of this entry host; one daemon uses it at a time." required:"" placeholder:"NAME"`
	Zone        string           `help:"Availability zone of this host." required:"" placeholder:"ZONE"`
	Caller      netip.AddrPort   `help:"Address for callers." required:"" placeholder:"IP:PORT"`
	Peer        netip.AddrPort   `help:"Address for the other daemons." required:"" placeholder:"IP:PORT"`
	Platform    *url.URL         `help:"Base URL of the platform." required:"" placeholder:"URL"`
	Seeds       []netip.AddrPort `help:"Peer addresses of other daemons, for a start while the platform is down." placeholder:"IP:PORT"`
	Secret      string           `help:"Secret shared by all daemons, 16 bytes or more. Needed unless peer is a loopback address. Prefer the environment variable." placeholder:"TEXT"`
	Writes      int              `help:"Most writes to the platform a second." default:"12"`
	Reads       int              `help:"Most reads from the platform a second." default:"60"`
	Maxbody     int64            `help:"Longest request body in bytes." default:"1048576"`
	Maxheader   int              `help:"Longest request header in bytes." default:"16384"`
	Memory      int              `help:"Memory of this host in MB; the limits on callers' connections and bodies follow from it." default:"1024"`
	Connections int              `help:"Most open connections of callers; 0: as memory and the limit on descriptors allow." default:"0"`
	Read        time.Duration    `help:"How long a caller may take to send a request." default:"10s"`
	Linger      time.Duration    `help:"How long the load balancer takes to notice that the daemon is not ready." default:"2s"`
	Stop        time.Duration    `help:"Longest planned stop." default:"30s"`
	Record      string           `help:"File to which a trace of the decisions is appended, for replay." type:"path" placeholder:"FILE"`
}

// Run runs a daemon until the process receives a stop signal.
func (c *serveCmd) Run(ctx context.Context) error {
	d, err := daemon.New(ctx, daemon.Config{
		Name: c.Name, Zone: c.Zone, Caller: c.Caller, Peer: c.Peer, Platform: c.Platform,
		Writes: c.Writes, Reads: c.Reads, Seeds: c.Seeds, Secret: []byte(c.Secret), MaxBody: c.Maxbody, MaxHeader: c.Maxheader,
		Memory: c.Memory, Connections: c.Connections,
		ReadTimeout: c.Read, Linger: c.Linger, StopTimeout: c.Stop, TraceFile: c.Record, Logger: logger(os.Stderr),
	})
	var setting *daemon.SettingError
	if stderrors.As(err, &setting) {
		return &usageError{"--" + setting.Name, setting.Value, setting.Allowed}
	}
	if err != nil {
		return err
	}
	return d.Run(ctx)
}

// logger returns a logger that writes logfmt lines with the time in UTC.
func logger(w io.Writer) log.Logger {
	return log.With(log.NewLogfmtLogger(log.NewSyncWriter(w)), "at", log.DefaultTimestampUTC)
}
