package fleet

import (
	"fmt"
	"maps"
	"strings"
)

// Confirmations records which daemons route by which version of one zone's map, and
// how many requests each still has on the draining hosts. The zero value is
// ready. It is not safe for concurrent use.
type Confirmations struct {
	seen map[string]*confirmed // by incarnation
	last map[string]string     // newest known incarnation by daemon name
}

type confirmed struct {
	version     uint64
	outstanding map[string]int
	bye         bool
}

// Wait is one daemon that a drain waits for, with the reason.
type Wait struct {
	Host, Daemon, Reason string
}

// Confirm records a daemon's message. A message of an older version than a
// previous one is ignored. At equal versions the lower count of each host is
// kept: a confirmed version sends a draining host no new requests, so that
// counts only fall and a higher one is a message that arrived out of order.
func (c *Confirmations) Confirm(incarnation string, version uint64, outstanding map[string]int) {
	d := c.daemon(incarnation)
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
func (c *Confirmations) RecordShutdown(incarnation string) { c.daemon(incarnation).bye = true }

// RecordIncarnation records that an incarnation of the named daemon exists.
func (c *Confirmations) RecordIncarnation(name, incarnation string) {
	if c.last == nil {
		c.last = make(map[string]string)
	}
	if old, ok := c.last[name]; !ok || Newer(incarnation, old) {
		c.last[name] = incarnation
	}
}

// Replaced reports whether a newer incarnation of a daemon is known.
func (c *Confirmations) Replaced(name, incarnation string) bool {
	return Newer(c.last[name], incarnation)
}

// Waits returns the daemons that the host's drain waits for; none means that
// the drain is complete.
func (c *Confirmations) Waits(m *Map, h *Host) []Wait {
	var waits []Wait
	for i := range m.Roster {
		if r := c.reason(&m.Roster[i], h); r != "" {
			waits = append(waits, Wait{h.Name, m.Roster[i].Incarnation, r})
		}
	}
	return waits
}

// Leaves returns the members that are proved to send no more. The function gone
// reports whether the host list has a daemon's entry host as gone; the entry
// host has the daemon's name.
func (c *Confirmations) Leaves(m *Map, gone func(name string) bool) []Leave {
	var parts []Leave
	for _, r := range m.Roster {
		switch newest := c.last[r.Name]; {
		case Newer(newest, r.Incarnation):
			parts = append(parts, Leave{r.Incarnation, Replaced, newest})
		case gone(r.Name):
			parts = append(parts, Leave{r.Incarnation, EntryGone, ""})
		case c.left(r.Incarnation):
			parts = append(parts, Leave{r.Incarnation, ShutDown, ""})
		}
	}
	return parts
}

// Joins returns those of the daemons that are to be added to the roster. A
// daemon that said bye or was replaced stays out although its registration may
// still be there, and one whose entry host is listed as gone waits until the
// list has the new host.
func (c *Confirmations) Joins(m *Map, daemons []Join, gone func(name string) bool) []Join {
	var joins []Join
	for _, d := range daemons {
		said := c.seen[d.Incarnation]
		if m.HasMember(d.Incarnation) || said != nil && said.bye || c.Replaced(d.Name, d.Incarnation) || gone(d.Name) {
			continue
		}
		joins = append(joins, d)
	}
	return joins
}

// Prune drops the records of replaced daemons that are not in the roster, so
// that the records do not grow with every restart.
func (c *Confirmations) Prune(m *Map) {
	maps.DeleteFunc(c.seen, func(incarnation string, _ *confirmed) bool {
		i := strings.LastIndexByte(incarnation, '.')
		return i >= 0 && !m.HasMember(incarnation) && c.Replaced(incarnation[:i], incarnation)
	})
}

func (c *Confirmations) reason(r *Member, h *Host) string {
	if r.Joined >= h.Changed {
		return "" // never held a map in which the host took requests
	}
	d := c.seen[r.Incarnation]
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

func (c *Confirmations) left(incarnation string) bool {
	d := c.seen[incarnation]
	if d == nil || !d.bye || d.version == 0 {
		return false // without a confirmation, the outstanding requests are unknown
	}
	for _, n := range d.outstanding {
		if n > 0 {
			return false
		}
	}
	return true
}

func (c *Confirmations) daemon(incarnation string) *confirmed {
	if c.seen == nil {
		c.seen = make(map[string]*confirmed)
	}
	d := c.seen[incarnation]
	if d == nil {
		d = &confirmed{}
		c.seen[incarnation] = d
	}
	return d
}
