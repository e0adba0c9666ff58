package fleet

import (
	"iter"
	"net/netip"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Host returns the host with the given name, or nil.
func (m *Map) Host(name string) *Host {
	i, ok := m.find(name)
	if !ok {
		return nil
	}
	return &m.Hosts[i]
}

// In returns the hosts of a pool that are in one of the given states, in the
// order of their names. Callers must not change them.
func (m *Map) In(pool string, states ...State) iter.Seq[*Host] {
	return func(yield func(*Host) bool) {
		for i := range m.Hosts {
			h := &m.Hosts[i]
			if h.Pool == pool && slices.Contains(states, h.State) && !yield(h) {
				return
			}
		}
	}
}

// Validate returns an error for the first violation of the map's invariants.
func (m *Map) Validate() error {
	addrs := make(map[netip.AddrPort]string, len(m.Hosts))
	for i := range m.Hosts {
		h := &m.Hosts[i]
		if i > 0 && m.Hosts[i-1].Name >= h.Name {
			return errors.Errorf("map %s: host %s is listed twice or out of order", m.Zone, h.Name)
		}
		if err := h.validate(); err != nil {
			return errors.Wrapf(err, "map %s: host %s", m.Zone, h.Name)
		}
		if other, ok := addrs[h.Addr]; ok {
			return errors.Errorf("map %s: hosts %s and %s have the address %s", m.Zone, other, h.Name, h.Addr)
		}
		if h.Addr.IsValid() {
			addrs[h.Addr] = h.Name
		}
	}
	for i := 1; i < len(m.Roster); i++ {
		if m.Roster[i-1].Incarnation >= m.Roster[i].Incarnation {
			return errors.Errorf("map %s: daemon %s is listed twice or out of order", m.Zone, m.Roster[i].Incarnation)
		}
	}
	return nil
}

func (h *Host) validate() error {
	running := h.State == Starting || h.State == Serving || h.State == Draining || h.State == Stopping
	switch {
	case h.Pool == "":
		return errors.New("no pool")
	case running != (h.Task != ""):
		return errors.Errorf("state %s with task %q", h.State, h.Task)
	case h.State == Serving && !h.Addr.IsValid():
		return errors.New("serving without an address")
	case h.Next != "" && h.State != Draining && h.State != Stopping:
		return errors.Errorf("state %s with next pool %s", h.State, h.Next)
	}
	return nil
}

func (m *Map) find(name string) (int, bool) {
	return slices.BinarySearchFunc(m.Hosts, name, func(h Host, n string) int { return strings.Compare(h.Name, n) })
}
