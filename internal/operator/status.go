package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/peer"
)

// maxStatus limits the size of a response in bytes. A /status response for 1,100
// hosts takes about 200 KB.
const maxStatus = 4 << 20

// Status is the response of a daemon at /status.
type Status struct {
	Daemon peer.Daemon `json:"daemon"`
	At     time.Time   `json:"at"`
	Ready  bool        `json:"ready"`
	// PlanVersion is the active version of the configuration text.
	PlanVersion uint64 `json:"plan"`
	// MapVersions holds the active version of each zone's map, by zone.
	MapVersions map[string]uint64 `json:"maps"`
	// Manager is the incarnation that manages the daemon's zone, according to
	// the active map.
	Manager string  `json:"manager"`
	Peers   []Peer  `json:"peers"`
	Pools   []Pool  `json:"pools"`
	Drains  []Drain `json:"drains"`
}

// Peer is the state of another daemon, as seen by the reporting one.
type Peer struct {
	peer.Daemon
	Linked        bool      `json:"linked"`
	LastHeartbeat time.Time `json:"beat"`
	PlanVersion   uint64    `json:"plan"`
}

// Pool is the state of a service's pool in the daemon's zone. Wanted is the
// desired number of runners, and Serving and Other are the numbers of hosts that
// serve and do not serve. Slots is the number of slots of the serving hosts.
// Running and Queued count the requests of the reporting daemon.
type Pool struct {
	Service string `json:"service"`
	Wanted  int    `json:"wanted"`
	Serving int    `json:"serving"`
	Other   int    `json:"other"`
	Slots   int    `json:"slots"`
	Running int    `json:"running"`
	Queued  int    `json:"queued"`
}

// Drain is a host that is leaving its pool, with the reason why it still waits.
type Drain struct {
	Host   string    `json:"host"`
	Zone   string    `json:"zone"`
	Pool   string    `json:"pool"`
	Next   string    `json:"next"` // pool to which the host moves, or "maintenance"
	Since  time.Time `json:"since"`
	Reason string    `json:"reason"`
}

// GetStatus returns the status of the daemon that serves callers at addr.
func GetStatus(ctx context.Context, c *http.Client, addr netip.AddrPort) (*Status, error) {
	s := new(Status)
	if err := get(ctx, c, addr, "/status", s); err != nil {
		return nil, err
	}
	return s, nil
}

// GetText returns the active configuration text of the daemon that serves
// callers at addr.
func GetText(ctx context.Context, c *http.Client, addr netip.AddrPort) (Record, error) {
	var r Record
	err := get(ctx, c, addr, "/text", &r)
	return r, err
}

func get(ctx context.Context, c *http.Client, addr netip.AddrPort, path string, v any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+path, nil)
	if err != nil {
		return errors.Wrapf(err, "get %s%s", addr, path)
	}
	res, err := c.Do(r)
	if err != nil {
		return errors.Wrapf(err, "get %s%s", addr, path)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("get %s%s: status %d", addr, path, res.StatusCode)
	}
	return errors.Wrapf(json.NewDecoder(io.LimitReader(res.Body, maxStatus)).Decode(v), "get %s%s", addr, path)
}

// WriteStatus prints the statuses of several daemons as tables.
func WriteStatus(w io.Writer, all []*Status) error {
	tw := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	row := func(format string, args ...any) { _, _ = fmt.Fprintf(tw, format+"\n", args...) }
	row("DAEMON\tZONE\tREADY\tTEXT\tMAP\tPEERS\tCALLERS")
	for _, s := range all {
		linked := 0
		for i := range s.Peers {
			if s.Peers[i].Linked {
				linked++
			}
		}
		row("%s\t%s\t%t\t%d\t%d\t%d/%d\t%s", s.Daemon.Name, s.Daemon.Zone, s.Ready, s.PlanVersion, s.MapVersions[s.Daemon.Zone], linked, len(s.Peers), s.Daemon.CallerAddr)
	}
	row("")
	row("ZONE\tSERVICE\tWANTED\tSERVING\tOTHER\tSLOTS\tRUNNING\tQUEUED")
	for _, p := range zonePools(all) {
		row("%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d", p.zone, p.Service, p.Wanted, p.Serving, p.Other, p.Slots, p.Running, p.Queued)
	}
	row("")
	row("DRAIN\tZONE\tPOOL\tNEXT\tSINCE\tWAITS")
	for _, d := range drains(all) {
		row("%s\t%s\t%s\t%s\t%s\t%s", d.Host, d.Zone, d.Pool, d.Next, d.Since.UTC().Format(time.RFC3339), d.Reason)
	}
	return errors.Wrap(tw.Flush(), "write status")
}

type zonePool struct {
	zone string
	Pool
}

// zonePools adds up the running and queued requests of a zone's daemons. The
// numbers of hosts are those of the daemon with the newest map of the zone.
func zonePools(all []*Status) []zonePool {
	var out []zonePool
	index := make(map[[2]string]int)
	newest := make(map[string]uint64)
	for _, s := range all {
		zone := s.Daemon.Zone
		newer := s.MapVersions[zone] > newest[zone]
		newest[zone] = max(newest[zone], s.MapVersions[zone])
		for _, p := range s.Pools {
			k := [2]string{zone, p.Service}
			i, ok := index[k]
			if !ok {
				index[k] = len(out)
				out = append(out, zonePool{zone, p})
				continue
			}
			running, queued := out[i].Running+p.Running, out[i].Queued+p.Queued
			if newer {
				out[i].Pool = p
			}
			out[i].Running, out[i].Queued = running, queued
		}
	}
	return out
}

// drains returns each drain once, preferably as reported by the zone's manager,
// which has the reason for the wait.
func drains(all []*Status) []Drain {
	var out []Drain
	index := make(map[string]int)
	for _, s := range all {
		for _, d := range s.Drains {
			i, ok := index[d.Host]
			if !ok {
				index[d.Host] = len(out)
				out = append(out, d)
			} else if s.Manager == s.Daemon.Incarnation {
				out[i] = d
			}
		}
	}
	return out
}
