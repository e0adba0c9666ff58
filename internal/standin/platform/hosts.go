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

// Host is a host of the seed file, with the control address that starts and
// stops its runners.
type Host struct {
	etcd.Host
	Control netip.AddrPort `json:"control"`
}

// HostStateUpdate is the body of PUT /hosts/{name}.
type HostStateUpdate struct {
	State etcd.HostState `json:"state"`
}

// hosts keeps all versions of the host list, so that reads can return an
// outdated one.
type hosts struct {
	mu       sync.Mutex
	byName   map[string]Host
	versions []version
	usage    []etcd.Usage
}

type version struct {
	at    time.Time
	hosts []etcd.Host
}

func (h *hosts) seed(now time.Time, seed []Host) {
	h.byName = make(map[string]Host)
	for _, row := range seed {
		if row.State == "" {
			row.State = etcd.Live
		}
		if row.Booted.IsZero() {
			row.Booted = now
		}
		h.byName[row.Name] = row
	}
	h.record(time.Time{})
}

// record adds a version of the list, valid from the given time.
func (h *hosts) record(at time.Time) {
	v := version{at: at, hosts: []etcd.Host{}}
	for _, name := range slices.Sorted(maps.Keys(h.byName)) {
		v.hosts = append(v.hosts, h.byName[name].Host)
	}
	h.versions = append(h.versions, v)
}

// asOf returns the list as it was at time t, and the number of its version.
func (h *hosts) asOf(t time.Time) ([]etcd.Host, int) {
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
	row, ok := h.byName[name]
	if !ok {
		return row, errors.Wrapf(rest.ErrNotFound, "host %s", name)
	}
	return row, nil
}

// change updates one host and records a new version of the list.
func (h *hosts) change(name string, now time.Time, f func(*Host)) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	row, ok := h.byName[name]
	if !ok {
		return errors.Wrapf(rest.ErrNotFound, "host %s", name)
	}
	f(&row)
	h.byName[name] = row
	h.record(now)
	return nil
}

// listHosts returns the list with its entity tag, or status 304 if the caller
// already has that version.
func (s *Server) listHosts(w http.ResponseWriter, r *http.Request) error {
	list, n := s.hosts.asOf(s.now().Add(-s.Faults.Lag()))
	tag := strconv.Quote(strconv.Itoa(n))
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return nil
	}
	w.Header().Set("ETag", tag)
	return rest.Reply(w, list)
}

// setHostState sets the state of a host. If the host is gone, its tasks fail; a
// host that returns has a new boot time.
func (s *Server) setHostState(w http.ResponseWriter, r *http.Request) error {
	var update HostStateUpdate
	if err := rest.Decode(r, &update); err != nil {
		return err
	}
	if !slices.Contains([]etcd.HostState{etcd.Live, etcd.Leaving, etcd.Gone}, update.State) {
		return errors.Wrapf(rest.ErrInvalid, "state %q", update.State)
	}
	now, name := s.now(), r.PathValue("name")
	if err := s.hosts.change(name, now, func(h *Host) {
		if h.State == etcd.Gone && update.State != etcd.Gone {
			h.Booted = now
		}
		h.State = update.State
	}); err != nil {
		return err
	}
	if update.State == etcd.Gone {
		s.tasks.failAll(name, now)
	}
	return rest.Reply(w, update)
}

// rebootHost sets the boot time of a host. It fails if a task is active there.
func (s *Server) rebootHost(w http.ResponseWriter, r *http.Request) error {
	now, name := s.now(), r.PathValue("name")
	if id := s.tasks.activeOn(name); id != "" {
		return errors.Wrapf(rest.ErrConflict, "reboot host %s: task %s is active", name, id)
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

// listUsage returns the usage of a zone's hosts as set by the test. Rows
// without a time get the current time minus the lag.
func (s *Server) listUsage(w http.ResponseWriter, r *http.Request) error {
	at := s.now().Add(-s.Faults.Lag())
	s.hosts.mu.Lock()
	defer s.hosts.mu.Unlock()
	rows := []etcd.Usage{}
	for _, u := range s.hosts.usage {
		if s.hosts.byName[u.Host].Zone != r.FormValue("zone") {
			continue
		}
		if u.At.IsZero() {
			u.At = at
		}
		rows = append(rows, u)
	}
	return rest.Reply(w, rows)
}
