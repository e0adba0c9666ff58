package operator

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/peer"
)

// DaemonPrefix is the prefix of the daemons' registrations in the key-value
// store.
const DaemonPrefix = "/gt/daemon/"

const (
	// statusTimeout bounds one round of status queries.
	statusTimeout = 2 * time.Second
	pollInterval  = 250 * time.Millisecond
)

// daemonLister is the part of the key-value store that finding the daemons uses.
type daemonLister interface {
	List(ctx context.Context, prefix string) ([]etcd.Pair, int64, error)
}

// Survey holds the statuses that the daemons returned.
type Survey struct {
	// Statuses are sorted by zone and name.
	Statuses []*Status
	// Unreachable holds the known daemons that did not respond.
	Unreachable []peer.Daemon
}

// ActiveVersion returns the highest version that is active at a daemon.
func (s *Survey) ActiveVersion() uint64 {
	var v uint64
	for _, st := range s.Statuses {
		v = max(v, st.PlanVersion)
	}
	return v
}

// Outdated returns the names of the daemons that do not report the version, or a
// higher one, as active.
func (s *Survey) Outdated(version uint64) []string {
	var out []string
	for _, st := range s.Statuses {
		if st.PlanVersion < version {
			out = append(out, st.Daemon.Name)
		}
	}
	for _, d := range s.Unreachable {
		out = append(out, d.Name+" (silent)")
	}
	slices.Sort(out)
	return out
}

// StatusCollector queries the status of all daemons that it can find: in the
// registrations, in the settings, and among the peers that daemons report.
type StatusCollector struct {
	Store daemonLister
	// Daemons are addresses from the settings, for when the store is
	// unavailable.
	Daemons []netip.AddrPort
	HTTP    *http.Client
}

// Registered returns the registered daemons.
func Registered(ctx context.Context, s daemonLister) ([]peer.Daemon, error) {
	pairs, _, err := s.List(ctx, DaemonPrefix)
	if err != nil {
		return nil, errors.Wrap(err, "read registrations")
	}
	var out []peer.Daemon
	for _, p := range pairs {
		var d peer.Daemon
		if err := json.Unmarshal(p.Value, &d); err != nil {
			return nil, errors.Wrapf(err, "decode registration %s", p.Key)
		}
		out = append(out, d)
	}
	return out, nil
}

// Collect queries every known daemon once, and then those that the first
// statuses list as peers. If the registrations cannot be read, it queries only
// Daemons and their peers.
func (s *StatusCollector) Collect(ctx context.Context) *Survey {
	known := make(map[netip.AddrPort]peer.Daemon)
	for _, a := range s.Daemons {
		known[a] = peer.Daemon{Name: a.String(), CallerAddr: a}
	}
	if s.Store != nil {
		if ds, err := Registered(ctx, s.Store); err == nil {
			for _, d := range ds {
				known[d.CallerAddr] = d
			}
		}
	}
	statuses := make(map[netip.AddrPort]*Status)
	for range 2 {
		s.queryNew(ctx, known, statuses)
		for _, st := range statuses {
			if st == nil {
				continue
			}
			for i := range st.Peers {
				p := &st.Peers[i]
				if _, ok := known[p.CallerAddr]; !ok && p.CallerAddr.IsValid() {
					known[p.CallerAddr] = p.Daemon
				}
			}
		}
	}
	return survey(known, statuses)
}

// queryNew queries the daemons that have not been queried yet, concurrently.
func (s *StatusCollector) queryNew(ctx context.Context, known map[netip.AddrPort]peer.Daemon, statuses map[netip.AddrPort]*Status) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for a := range known {
		if _, ok := statuses[a]; ok {
			continue
		}
		wg.Go(func() {
			st, err := GetStatus(ctx, s.HTTP, a)
			if err != nil {
				st = nil
			}
			mu.Lock()
			defer mu.Unlock()
			statuses[a] = st
		})
	}
	wg.Wait()
}

func survey(known map[netip.AddrPort]peer.Daemon, statuses map[netip.AddrPort]*Status) *Survey {
	out := new(Survey)
	for a, d := range known {
		if st := statuses[a]; st != nil {
			out.Statuses = append(out.Statuses, st)
		} else {
			out.Unreachable = append(out.Unreachable, d)
		}
	}
	slices.SortFunc(out.Statuses, func(a, b *Status) int {
		return cmp.Or(cmp.Compare(a.Daemon.Zone, b.Daemon.Zone), cmp.Compare(a.Daemon.Name, b.Daemon.Name))
	})
	return out
}

// WaitFor polls until every known daemon reports the version, and calls progress
// whenever the set of outdated daemons changes. When ctx ends, it returns the
// names of the daemons that were outdated at the last complete poll.
func (s *StatusCollector) WaitFor(ctx context.Context, version uint64, progress func(outdated []string)) []string {
	var last []string
	for first := true; ; first = false {
		outdated := s.Collect(ctx).Outdated(version)
		if ctx.Err() != nil {
			return last
		}
		if first || !slices.Equal(outdated, last) {
			progress(outdated)
		}
		if last = outdated; len(outdated) == 0 {
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return last
		}
	}
}
