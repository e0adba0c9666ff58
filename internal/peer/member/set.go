package member

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/peer/message"
)

// expireAfter is how long a daemon is still dialed after its last mention. It
// is longer than partitions between regions, which last minutes.
const expireAfter = time.Hour

// Member is a daemon that this one has discovered.
type Member struct {
	message.Daemon
	// lastSeen is when a link, a peer or a registration last mentioned it.
	lastSeen time.Time
	// ShutDown is set when the daemon has sent Shutdown. Only a newer incarnation
	// clears it.
	ShutDown bool
}

// Set holds the newest known incarnation of each daemon, by name.
type Set map[string]*Member

// Observe records a mention of d. It reports whether d is a new daemon or a
// newer incarnation of a known one.
func (ms Set) Observe(d message.Daemon, now time.Time) bool {
	if d.Name == "" || !d.PeerAddr.IsValid() || NameOf(d.Incarnation) != d.Name {
		return false
	}
	old := ms[d.Name]
	switch {
	case old != nil && old.Incarnation == d.Incarnation:
		old.lastSeen = now
		return false
	case old != nil && !Newer(d.Incarnation, old.Incarnation):
		return false
	}
	ms[d.Name] = &Member{Daemon: d, lastSeen: now}
	return true
}

// Expire removes the daemons that were not mentioned for expireAfter.
func (ms Set) Expire(now time.Time) {
	for name, m := range ms {
		if now.Sub(m.lastSeen) > expireAfter {
			delete(ms, name)
		}
	}
}

// Present returns the daemons that have not announced a stop, ordered by name.
func (ms Set) Present() []message.Daemon {
	ds := make([]message.Daemon, 0, len(ms))
	for _, m := range ms {
		if !m.ShutDown {
			ds = append(ds, m.Daemon)
		}
	}
	slices.SortFunc(ds, func(a, b message.Daemon) int { return strings.Compare(a.Name, b.Name) })
	return ds
}

// Incarnation returns the known daemon with this incarnation, or nil.
func (ms Set) Incarnation(inc string) *Member {
	if m := ms[NameOf(inc)]; m != nil && m.Incarnation == inc {
		return m
	}
	return nil
}

// NameOf returns the daemon's name in an incarnation.
func NameOf(inc string) string { return inc[:max(strings.LastIndexByte(inc, '.'), 0)] }

// Newer reports whether incarnation a of a daemon started after b.
func Newer(a, b string) bool { return startTime(a) > startTime(b) }

func startTime(inc string) int64 {
	ms, err := strconv.ParseInt(inc[strings.LastIndexByte(inc, '.')+1:], 36, 64)
	if err != nil {
		return -1
	}
	return ms
}
