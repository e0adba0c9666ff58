package fleet

import (
	"fmt"
	"maps"
	"strings"
)

// Confirmations records which daemons route by which version of one zone's map,
// and how many outstanding requests each has on the draining hosts. The zero
// value is ready to use. It is not safe for concurrent use.
type Confirmations struct {
	byIncarnation map[string]*confirmation
	newestByName  map[string]string // newest recorded incarnation by daemon name
}

type confirmation struct {
	version     uint64
	outstanding map[string]int
	shutDown    bool
}

// Wait is one daemon that a drain waits for, with the reason.
type Wait struct {
	Host, Daemon, Reason string
}

// Confirm records a daemon's confirmation. A message of an older version than a
// previous one is ignored. At equal versions the lower count of each host is
// kept: a daemon that routes by a confirmed version sends no new requests to a
// draining host, so that its counts only fall, and a higher count is from a
// message that arrived out of order.
func (c *Confirmations) Confirm(incarnation string, version uint64, outstanding map[string]int) {
	d := c.record(incarnation)
	if version < d.version {
		return
	}
	if version > d.version {
		d.version, d.outstanding = version, maps.Clone(outstanding)
		return
	}
	for h, n := range d.outstanding {
		d.outstanding[h] = min(n, outstanding[h])
	}
}

// RecordShutdown records a daemon's planned stop.
func (c *Confirmations) RecordShutdown(incarnation string) { c.record(incarnation).shutDown = true }

// RecordIncarnation records an incarnation of the named daemon.
func (c *Confirmations) RecordIncarnation(name, incarnation string) {
	if c.newestByName == nil {
		c.newestByName = make(map[string]string)
	}
	if old, ok := c.newestByName[name]; !ok || Newer(incarnation, old) {
		c.newestByName[name] = incarnation
	}
}

// Replaced reports whether a newer incarnation of a daemon is on record.
func (c *Confirmations) Replaced(name, incarnation string) bool {
	return Newer(c.newestByName[name], incarnation)
}

// Waits returns the daemons that the host's drain waits for. The drain is
// complete if there are none.
func (c *Confirmations) Waits(m *Map, h *Host) []Wait {
	var waits []Wait
	for i := range m.Roster {
		if r := c.waitReason(&m.Roster[i], h); r != "" {
			waits = append(waits, Wait{h.Name, m.Roster[i].Incarnation, r})
		}
	}
	return waits
}

// Leaves returns the members that are proved to send no more requests. The
// function gone reports whether the host list has a daemon's entry host as
// gone; the entry host has the daemon's name.
func (c *Confirmations) Leaves(m *Map, gone func(name string) bool) []Leave {
	var leaves []Leave
	for _, r := range m.Roster {
		switch newest := c.newestByName[r.Name]; {
		case Newer(newest, r.Incarnation):
			leaves = append(leaves, Leave{r.Incarnation, Replaced, newest})
		case gone(r.Name):
			leaves = append(leaves, Leave{r.Incarnation, EntryGone, ""})
		case c.hasLeft(r.Incarnation):
			leaves = append(leaves, Leave{r.Incarnation, ShutDown, ""})
		}
	}
	return leaves
}

// Joins returns those of the daemons that must be added to the roster. It
// leaves out a daemon that has sent a shutdown notice or was replaced, although
// it may still be registered, and a daemon whose entry host is reported as gone
// until the list has the new host.
func (c *Confirmations) Joins(m *Map, daemons []Join, gone func(name string) bool) []Join {
	var joins []Join
	for _, d := range daemons {
		rec := c.byIncarnation[d.Incarnation]
		if m.HasMember(d.Incarnation) || rec != nil && rec.shutDown || c.Replaced(d.Name, d.Incarnation) || gone(d.Name) {
			continue
		}
		joins = append(joins, d)
	}
	return joins
}

// Prune removes the records of replaced daemons that are not in the roster, so
// that the records do not grow with every restart.
func (c *Confirmations) Prune(m *Map) {
	maps.DeleteFunc(c.byIncarnation, func(incarnation string, _ *confirmation) bool {
		i := strings.LastIndexByte(incarnation, '.')
		return i >= 0 && !m.HasMember(incarnation) && c.Replaced(incarnation[:i], incarnation)
	})
}

func (c *Confirmations) waitReason(r *Member, h *Host) string {
	if r.Joined >= h.Changed {
		return "" // it never had a map in which the host accepted requests
	}
	d := c.byIncarnation[r.Incarnation]
	switch {
	case d == nil || d.version == 0:
		return "has confirmed no version"
	case d.version < h.Changed:
		return fmt.Sprintf("confirmed version %d, not %d", d.version, h.Changed)
	case d.outstanding[h.Name] > 0:
		return fmt.Sprintf("%d requests outstanding", d.outstanding[h.Name])
	}
	return ""
}

func (c *Confirmations) hasLeft(incarnation string) bool {
	d := c.byIncarnation[incarnation]
	if d == nil || !d.shutDown || d.version == 0 {
		return false // without a confirmation, the outstanding requests are unknown
	}
	for _, n := range d.outstanding {
		if n > 0 {
			return false
		}
	}
	return true
}

func (c *Confirmations) record(incarnation string) *confirmation {
	if c.byIncarnation == nil {
		c.byIncarnation = make(map[string]*confirmation)
	}
	d := c.byIncarnation[incarnation]
	if d == nil {
		d = &confirmation{}
		c.byIncarnation[incarnation] = d
	}
	return d
}
