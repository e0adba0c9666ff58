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

// DaemonPrefix is where the platform's service keeps the daemons'
// registrations.
const DaemonPrefix = "/gt/daemon/"

const (
	askTimeout = 2 * time.Second
	pollEvery  = 250 * time.Millisecond
)

// lister is what finding the daemons needs of the platform's service.
type lister interface {
	List(ctx context.Context, prefix string) ([]etcd.Pair, int64, error)
}

// Survey is what the daemons answered in one round.
type Survey struct {
	// Statuses are sorted by zone and name.
	Statuses []*Status
	// Unreachable holds the daemons that are known and did not answer.
	Unreachable []peer.Daemon
}

// ActiveVersion returns the highest version that a daemon has in force.
func (s *Survey) ActiveVersion() uint64 {
	var v uint64
	for _, st := range s.Statuses {
		v = max(v, st.Plan)
	}
	return v
}

// Outdated returns the names of the daemons that do not yet report the version.
func (s *Survey) Outdated(version uint64) []string {
	var out []string
	for _, st := range s.Statuses {
		if st.Plan < version {
			out = append(out, st.Daemon.Name)
		}
	}
	for _, d := range s.Unreachable {
		out = append(out, d.Name+" (silent)")
	}
	slices.Sort(out)
	return out
}

// StatusCollector asks all daemons that it can learn of: from the registrations, from
// the settings, and from what other daemons know.
type StatusCollector struct {
	Store lister
	// Daemons are addresses from the settings, for when the platform is down.
	Daemons []netip.AddrPort
	HTTP    *http.Client
}

// Registered reads the daemons' registrations.
func Registered(ctx context.Context, s lister) ([]peer.Daemon, error) {
	pairs, _, err := s.List(ctx, DaemonPrefix)
	if err != nil {
		return nil, errors.Wrap(err, "read registrations")
	}
	var out []peer.Daemon
	for _, p := range pairs {
		var d peer.Daemon
		if err := json.Unmarshal(p.Value, &d); err != nil {
			return nil, errors.Wrapf(err, "read registration %s", p.Key)
		}
		out = append(out, d)
	}
	return out, nil
}

// Collect asks every known daemon once. It asks again those that it learned of
// from the first answers.
func (s *StatusCollector) Collect(ctx context.Context) *Survey {
	known := make(map[netip.AddrPort]peer.Daemon)
	for _, a := range s.Daemons {
		known[a] = peer.Daemon{Name: a.String(), Caller: a}
	}
	if s.Store != nil {
		if ds, err := Registered(ctx, s.Store); err == nil {
			for _, d := range ds {
				known[d.Caller] = d
			}
		}
	}
	asked := make(map[netip.AddrPort]*Status)
	for range 2 {
		s.round(ctx, known, asked)
		for _, st := range asked {
			if st == nil {
				continue
			}
			for i := range st.Peers {
				p := &st.Peers[i]
				if _, ok := known[p.Caller]; !ok && p.Caller.IsValid() {
					known[p.Caller] = p.Daemon
				}
			}
		}
	}
	return survey(known, asked)
}

// round asks the daemons that have not been asked yet, all at once.
func (s *StatusCollector) round(ctx context.Context, known map[netip.AddrPort]peer.Daemon, asked map[netip.AddrPort]*Status) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for a := range known {
		if _, ok := asked[a]; ok {
			continue
		}
		wg.Go(func() {
			st, err := GetStatus(ctx, s.HTTP, a)
			if err != nil {
				st = nil
			}
			mu.Lock()
			defer mu.Unlock()
			asked[a] = st
		})
	}
	wg.Wait()
}

func survey(known map[netip.AddrPort]peer.Daemon, asked map[netip.AddrPort]*Status) *Survey {
	out := new(Survey)
	for a, d := range known {
		if st := asked[a]; st != nil {
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

// WaitFor asks until every known daemon reports the version, and calls progress
// whenever the set of those behind changes. At the end of ctx it returns the
// names of the daemons still behind.
func (s *StatusCollector) WaitFor(ctx context.Context, version uint64, progress func(behind []string)) []string {
	var last []string
	for first := true; ; first = false {
		behind := s.Collect(ctx).Outdated(version)
		if ctx.Err() != nil {
			return last
		}
		if first || !slices.Equal(behind, last) {
			progress(behind)
		}
		if last = behind; len(behind) == 0 {
			return nil
		}
		select {
		case <-time.After(pollEvery):
		case <-ctx.Done():
			return last
		}
	}
}
