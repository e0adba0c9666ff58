package platform

import (
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/standin/platform/rest"
)

// Host is a host of the seed file, with the address that starts its runners.
type Host struct {
	etcd.Host
	Control netip.AddrPort `json:"control"`
}

// Mark is the body of PUT /hosts/{name}.
type Mark struct {
	State etcd.HostState `json:"state"`
}

// hosts keeps the versions of the host list, so that it can be read late.
type hosts struct {
	mu       sync.Mutex
	rows     map[string]Host
	versions []version
	usage    []etcd.Usage
}

type version struct {
	at    time.Time
	hosts []etcd.Host
}

func (h *hosts) seed(now time.Time, seed []Host) {
	h.rows = make(map[string]Host)
	for _, row := range seed {
		if row.State == "" {
			row.State = etcd.Live
		}
		if row.Booted.IsZero() {
			row.Booted = now
		}
		h.rows[row.Name] = row
	}
	h.record(time.Time{})
}

// record adds a version of the list.
func (h *hosts) record(at time.Time) {
	v := version{at: at, hosts: []etcd.Host{}}
	for _, name := range slices.Sorted(maps.Keys(h.rows)) {
		v.hosts = append(v.hosts, h.rows[name].Host)
	}
	h.versions = append(h.versions, v)
}

// at returns the newest list that is not younger than an instant, and its
// number.
func (h *hosts) at(t time.Time) ([]etcd.Host, int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, v := range slices.Backward(h.versions) {
		if !v.at.After(t) {
			return v.hosts, i
		}
	}
	return h.versions[0].hosts, 0
}

func (h *hosts) get(name string) (Host, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	row, ok := h.rows[name]
	if !ok {
		return row, errors.Wrapf(rest.ErrAbsent, "host %s", name)
	}
	return row, nil
}

// change updates one host.
func (h *hosts) change(name string, now time.Time, f func(*Host)) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	row, ok := h.rows[name]
	if !ok {
		return errors.Wrapf(rest.ErrAbsent, "host %s", name)
	}
	f(&row)
	h.rows[name] = row
	h.record(now)
	return nil
}

// listHosts answers with the list and its entity tag, or 304 when the caller
// has that list.
func (s *Server) listHosts(w http.ResponseWriter, r *http.Request) error {
	list, n := s.hosts.at(s.now().Add(-s.Faults.Lag()))
	tag := strconv.Quote(strconv.Itoa(n))
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return nil
	}
	w.Header().Set("ETag", tag)
	return rest.Reply(w, list)
}

// markHost sets the state of a host. The tasks of a gone host have failed; a
// host that returns has booted anew.
func (s *Server) markHost(w http.ResponseWriter, r *http.Request) error {
	var m Mark
	if err := rest.Decode(r, &m); err != nil {
		return err
	}
	if !slices.Contains([]etcd.HostState{etcd.Live, etcd.Leaving, etcd.Gone}, m.State) {
		return errors.Wrapf(rest.ErrInvalid, "state %q", m.State)
	}
	now, name := s.now(), r.PathValue("name")
	if err := s.hosts.change(name, now, func(h *Host) {
		if h.State == etcd.Gone && m.State != etcd.Gone {
			h.Booted = now
		}
		h.State = m.State
	}); err != nil {
		return err
	}
	if m.State == etcd.Gone {
		s.tasks.failAll(name, now)
	}
	return rest.Reply(w, m)
}

// rebootHost sets the instant of the last start.
func (s *Server) rebootHost(w http.ResponseWriter, r *http.Request) error {
	now, name := s.now(), r.PathValue("name")
	if id := s.tasks.activeOn(name); id != "" {
		return errors.Wrapf(rest.ErrConflict, "host %s runs task %s", name, id)
	}
	if err := s.hosts.change(name, now, func(h *Host) { h.Booted = now }); err != nil {
		return err
	}
	return rest.Reply(w, struct{}{})
}

func (s *Server) setUsage(w http.ResponseWriter, r *http.Request) error {
	var rows []etcd.Usage
	if err := rest.Decode(r, &rows); err != nil {
		return err
	}
	s.hosts.mu.Lock()
	defer s.hosts.mu.Unlock()
	s.hosts.usage = rows
	return rest.Reply(w, rows)
}

// listUsage returns the usage set by the test; rows without an instant were
// measured one lag ago.
func (s *Server) listUsage(w http.ResponseWriter, r *http.Request) error {
	at := s.now().Add(-s.Faults.Lag())
	s.hosts.mu.Lock()
	defer s.hosts.mu.Unlock()
	rows := []etcd.Usage{}
	for _, u := range s.hosts.usage {
		if s.hosts.rows[u.Host].Zone != r.FormValue("zone") {
			continue
		}
		if u.At.IsZero() {
			u.At = at
		}
		rows = append(rows, u)
	}
	return rest.Reply(w, rows)
}
