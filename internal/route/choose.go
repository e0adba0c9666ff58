package route

import (
	"slices"
	"time"
)

// Query is what a choice depends on besides the snapshot.
type Query struct {
	Pool string
	// Tried holds the hosts that this request was sent to before.
	Tried []string
	// AllowBusy also chooses runners that are at their slots by the reports of other
	// daemons, which are late, unless they refused a request just now. The
	// caller paces such attempts.
	AllowBusy bool
	Now       time.Time
}

// PickReason is why a Decision is as it is.
type PickReason uint8

// Reasons of a Decision. Those named Picked come with a Member.
const (
	// PickedLeast is the runner with the least load.
	PickedLeast PickReason = iota
	// PickedAvoided is a runner that fails, when no other can be used.
	PickedAvoided
	// PickedProbe is an ejected runner that gets one request as a probe.
	PickedProbe
	// PickedSpill is a runner of another zone within its reported room.
	PickedSpill
	// NoPool means that the pool has no runner.
	NoPool
	// NoSlot means that every runner that could be used is at its slots.
	NoSlot
	// NoHealthy means that the remaining runners are ejected.
	NoHealthy
	// NoUntried means that the remaining runners were tried before.
	NoUntried
	// NoStaying means that all runners are leaving.
	NoStaying
)

var pickNames = [...]string{"least", "avoided", "probe", "spill", "no-pool", "no-slot", "no-healthy", "no-untried", "no-staying"}

// String returns the reason as logs print it.
func (r PickReason) String() string {
	if int(r) < len(pickNames) {
		return pickNames[r]
	}
	return "invalid"
}

// Decision is the choice for one attempt of a request.
type Decision struct {
	// Member is nil when no runner can be used.
	Member *Member
	Reason PickReason
	// Outstanding is the known number of requests on the Member before: this
	// daemon's and those that the others last reported.
	Outstanding int

	room *room
}

// snapshot is the runners by pool, as one immutable value.
type snapshot struct {
	pools map[string]*pool
}

// pool is the members of one pool, those of the daemon's own zone apart.
type pool struct {
	local  group
	remote []group
}

// choose decides on one attempt. It changes nothing.
func choose(s *snapshot, q Query, random uint64) Decision {
	p := s.pools[q.Pool]
	if p == nil {
		return Decision{Reason: NoPool}
	}
	now := q.Now.UnixNano()
	d := chooseIn(&p.local, &q, now, random)
	if d.Member != nil && d.Reason != PickedAvoided {
		return d
	}
	far := chooseFar(p, &q, now, random)
	if far.Member == nil || d.Member != nil && far.Reason == PickedAvoided {
		return d
	}
	return far
}

// chooseFar chooses in the other zone with the most room.
func chooseFar(p *pool, q *Query, now int64, random uint64) Decision {
	var best Decision
	most := int32(0)
	for i := range p.remote {
		g := &p.remote[i]
		free := g.room.free(now)
		if free <= most {
			continue
		}
		if d := chooseIn(g, q, now, random); d.Member != nil {
			d.room = g.room
			if d.Reason == PickedLeast {
				d.Reason = PickedSpill
			}
			best, most = d, free
		}
	}
	return best
}

// ownWeight is how much more a request of this daemon counts than one that
// another daemon reported. With equal weights, all daemons send to the runner
// that the last reports called least loaded; docs/routing.md has the figures.
const ownWeight = 4

// avoidance exceeds every load, so that an avoided runner comes last.
const avoidance = 1 << 30

// chooseIn chooses the member with the least weighted outstanding requests.
// The random number breaks ties. An ejected member whose time is over comes first
// when the request was not tried before, so that one request probes it.
func chooseIn(g *group, q *Query, now int64, random uint64) Decision {
	var d Decision
	best := ^uint64(0)
	skipped := NoPool
	for i := range g.members {
		m := &g.members[i]
		own, others := m.own.Load(), m.others.Load()
		n := own + others
		weighted := uint64(own*ownWeight + others)
		if weighted > best>>32 && m.until.Load() == 0 {
			continue // a better one is known and this is no probe
		}
		why, usable := usability(m, own, others, q, now)
		if !usable {
			skipped = moreUrgent(skipped, why)
			continue
		}
		if why == PickedAvoided {
			weighted += avoidance
		}
		if why == PickedProbe {
			return Decision{Member: m, Reason: PickedProbe, Outstanding: int(n)}
		}
		// The load in the upper half, a random tie-break in the lower.
		if key := weighted<<32 | mix(random+uint64(i))>>32; key < best {
			best = key
			d = Decision{Member: m, Reason: why, Outstanding: int(n)}
		}
	}
	if d.Member == nil {
		d.Reason = skipped
	}
	return d
}

// usability tells whether a member can be chosen, and how or why not.
func usability(m *Member, own, others int32, q *Query, now int64) (PickReason, bool) {
	if m.gone() {
		return NoStaying, false
	}
	if len(q.Tried) > 0 && slices.Contains(q.Tried, m.Host) {
		return NoUntried, false
	}
	why := PickedLeast
	if until := m.until.Load(); until != 0 {
		// A retry does not probe: it is likely to fail again.
		if now >= until && len(q.Tried) == 0 && !m.probing.Load() {
			return PickedProbe, true
		}
		if !m.avoided.Load() {
			return NoHealthy, false
		}
		why = PickedAvoided
	}
	if q.AllowBusy {
		others = 0
	}
	if int(own+others) >= m.Slots || now < m.refused.Load() {
		return NoSlot, false
	}
	return why, true
}

// moreUrgent returns the reason to report when members were skipped for
// several: the one that ends soonest by itself.
func moreUrgent(a, b PickReason) PickReason {
	if a == NoPool {
		return b
	}
	return min(a, b)
}

// mix spreads a number over 64 bits (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
