package route

import (
	"slices"
	"time"
)

// Query holds the inputs of a choice besides the snapshot.
type Query struct {
	Pool string
	// Tried lists the hosts that this request was already sent to.
	Tried []string
	// AllowBusy is set if runners may be chosen that have no free slot according
	// to the reports of other daemons, since these reports are late. Runners that
	// have just rejected a request as busy remain excluded. The caller must limit
	// the rate of such attempts.
	AllowBusy bool
	Now       time.Time
}

// PickReason is the reason for a Decision.
type PickReason uint8

// Reasons for a Decision. With those named Picked, Member is set.
const (
	// PickedLeast means that the runner has the least load.
	PickedLeast PickReason = iota
	// PickedAvoided means that the runner is avoided but no other can be used.
	PickedAvoided
	// PickedProbe means that the request probes an ejected or avoided runner.
	PickedProbe
	// PickedSpill means that the runner is in another zone, which has reported
	// free slots.
	PickedSpill
	// NoPool means that the pool has no runner.
	NoPool
	// NoSlot means that no usable runner has a free slot.
	NoSlot
	// NoHealthy means that the remaining runners are ejected.
	NoHealthy
	// NoUntried means that the request was already sent to all remaining runners.
	NoUntried
	// AllLeaving means that all runners are leaving.
	AllLeaving
)

var pickReasonNames = [...]string{"least", "avoided", "probe", "spill", "no-pool", "no-slot", "no-healthy", "no-untried", "no-staying"}

// String returns the name that logs use.
func (r PickReason) String() string {
	if int(r) < len(pickReasonNames) {
		return pickReasonNames[r]
	}
	return "invalid"
}

// Decision is the choice for one attempt of a request.
type Decision struct {
	// Member is nil if no runner can be used.
	Member *Member
	Reason PickReason
	// Outstanding is the number of requests on the Member before this one: those
	// of this daemon and those in the last reports of other daemons.
	Outstanding int

	allowance *allowance
}

// snapshot is an immutable set of pools with their runners.
type snapshot struct {
	pools map[string]*pool
}

// pool holds the members of one pool: local those in the daemon's zone, remote
// those in each other zone.
type pool struct {
	local  group
	remote []group
}

// choose decides on one attempt. It does not modify the snapshot.
func choose(s *snapshot, q Query, random uint64) Decision {
	p := s.pools[q.Pool]
	if p == nil {
		return Decision{Reason: NoPool}
	}
	now := q.Now.UnixNano()
	d := chooseInGroup(&p.local, &q, now, random)
	if d.Member != nil && d.Reason != PickedAvoided {
		return d
	}
	remote := chooseRemote(p, &q, now, random)
	if remote.Member == nil || d.Member != nil && remote.Reason == PickedAvoided {
		return d
	}
	return remote
}

// chooseRemote chooses a runner in the other zone with the most free slots.
func chooseRemote(p *pool, q *Query, now int64, random uint64) Decision {
	var best Decision
	mostFree := int32(0)
	for i := range p.remote {
		g := &p.remote[i]
		free := g.allowance.free(now)
		if free <= mostFree {
			continue
		}
		if d := chooseInGroup(g, q, now, random); d.Member != nil {
			d.allowance = g.allowance
			if d.Reason == PickedLeast {
				d.Reason = PickedSpill
			}
			best, mostFree = d, free
		}
	}
	return best
}

// ownWeight is the weight of a request of this daemon relative to one reported by
// another daemon. With equal weights, all daemons would send to the runner that
// had the least load in the last reports; see docs/routing.md for measurements.
const ownWeight = 4

// avoidedPenalty is added to the load of avoided runners. It exceeds every load,
// so that they are chosen last.
const avoidedPenalty = 1 << 30

// chooseInGroup chooses the member with the lowest weighted number of outstanding
// requests. The random number breaks ties. On the first attempt of a request, an
// ejected or avoided member whose ejection time has passed takes precedence, so
// that one request probes it.
func chooseInGroup(g *group, q *Query, now int64, random uint64) Decision {
	var d Decision
	best := ^uint64(0)
	skipReason := NoPool
	for i := range g.members {
		m := &g.members[i]
		own, others := m.own.Load(), m.others.Load()
		n := own + others
		weighted := uint64(own*ownWeight + others)
		if weighted > best>>32 && m.probeAfter.Load() == 0 {
			continue // not better than the best one, and not a probe
		}
		reason, usable := usability(m, own, others, q, now)
		if !usable {
			skipReason = soonerReason(skipReason, reason)
			continue
		}
		if reason == PickedAvoided {
			weighted += avoidedPenalty
		}
		if reason == PickedProbe {
			return Decision{Member: m, Reason: PickedProbe, Outstanding: int(n)}
		}
		// The upper 32 bits are the load, the lower ones a random tie-break.
		if key := weighted<<32 | mix(random+uint64(i))>>32; key < best {
			best = key
			d = Decision{Member: m, Reason: reason, Outstanding: int(n)}
		}
	}
	if d.Member == nil {
		d.Reason = skipReason
	}
	return d
}

// usability reports whether a member can be chosen. The PickReason is that of
// the choice or that of the exclusion.
func usability(m *Member, own, others int32, q *Query, now int64) (PickReason, bool) {
	if m.isLeaving() {
		return AllLeaving, false
	}
	if len(q.Tried) > 0 && slices.Contains(q.Tried, m.Host) {
		return NoUntried, false
	}
	reason := PickedLeast
	if until := m.probeAfter.Load(); until != 0 {
		// A retry must not probe: the runner is likely to fail it again.
		if now >= until && len(q.Tried) == 0 && !m.probing.Load() {
			return PickedProbe, true
		}
		if !m.avoided.Load() {
			return NoHealthy, false
		}
		reason = PickedAvoided
	}
	if q.AllowBusy {
		others = 0
	}
	if int(own+others) >= m.Slots || now < m.fullUntil.Load() {
		return NoSlot, false
	}
	return reason, true
}

// soonerReason returns the reason to report if members were skipped for different
// reasons: the one that ends sooner without intervention.
func soonerReason(a, b PickReason) PickReason {
	if a == NoPool {
		return b
	}
	return min(a, b)
}

// mix is the finalizer of SplitMix64. It distributes a number over 64 bits.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
