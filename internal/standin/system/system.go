package system

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/standin/backend"
	standin "gypsumtrestle.example/gypsumtrestle/internal/standin/platform"
)

const (
	rackSize          = 4 // hosts
	tickInterval      = 100 * time.Millisecond
	readHeaderTimeout = 10 * time.Second
)

// Zone is an availability zone with its worker and entry hosts.
type Zone struct {
	Name string
	// Workers is the number of worker hosts.
	Workers int
	// Entries names the entry hosts.
	Entries []string
}

// System is a set of running stand-ins.
type System struct {
	Platform *standin.Server
	// URL is the platform's base URL.
	URL *url.URL
	// Hosts holds the worker hosts by name.
	Hosts map[string]*backend.Host

	http *http.Server
	done chan struct{}
}

// Start starts the stand-ins. The argument work is the run time of requests
// without the header Work.
func Start(ctx context.Context, zones []Zone, work time.Duration) (*System, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for platform stand-in")
	}
	r := make(runners)
	s := &System{
		Platform: &standin.Server{Runners: r},
		URL:      &url.URL{Scheme: "http", Host: l.Addr().String()},
		Hosts:    make(map[string]*backend.Host),
		done:     make(chan struct{}),
	}
	s.http = &http.Server{Handler: s.Platform.Handler(s.hostList(zones, r, work)), ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = s.http.Serve(l) }()
	go s.runTicks()
	return s, nil
}

// hostList returns the hosts of all zones and creates the agents of the workers.
func (s *System) hostList(zones []Zone, r runners, work time.Duration) []standin.Host {
	var hostList []standin.Host
	loopback := netip.MustParseAddr("127.0.0.1")
	for _, z := range zones {
		for i := range z.Workers {
			name := fmt.Sprintf("%s-w%02d", z.Name, i+1)
			h := &backend.Host{Name: name, Work: work}
			// The address only identifies the host; no call goes to it.
			control := netip.AddrPortFrom(loopback, uint16(len(r)+1))
			r[control], s.Hosts[name] = h, h
			hostList = append(hostList, standin.Host{Control: control, Host: etcd.Host{
				Name: name, Zone: z.Name, Rack: fmt.Sprintf("%s-r%d", z.Name, i/rackSize+1), Role: "worker",
				Addr: loopback, Cores: 16, Memory: 32,
			}})
		}
		for _, name := range z.Entries {
			hostList = append(hostList, standin.Host{Host: etcd.Host{
				Name: name, Zone: z.Name, Rack: z.Name + "-r0", Role: "entry", Addr: loopback, Cores: 2, Memory: 4,
			}})
		}
	}
	return hostList
}

// runTicks calls Tick of the platform stand-in periodically until Close, to end
// expired leases.
func (s *System) runTicks() {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			s.Platform.Tick()
		case <-s.done:
			return
		}
	}
}

// Close stops all stand-ins.
func (s *System) Close() {
	close(s.done)
	_ = s.http.Close()
	s.Platform.Close()
	for _, h := range s.Hosts {
		h.Close()
	}
}

// runners starts tasks on the agents of this process, by control address.
type runners map[netip.AddrPort]*backend.Host

// Start implements standin.Runners.
func (r runners) Start(_ context.Context, control netip.AddrPort, id, service string, slots int) (netip.AddrPort, error) {
	return r[control].Start(id, service, slots)
}

// Stop implements standin.Runners.
func (r runners) Stop(ctx context.Context, control netip.AddrPort, id string) error {
	return r[control].Stop(ctx, id)
}
