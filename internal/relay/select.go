package relay

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// selection is the relays in use. It is replaced, never changed in place.
type selection struct {
	relays  []*member // ordered by name
	runners int       // number of runners that it was made for
}

// choose selects the relays to use. The mutex must be held.
func (p *Pool) choose() {
	s := &selection{relays: slices.Clone(p.relays)}
	if p.Runners != nil {
		s.runners = p.Runners()
		s.relays = strongest(s.relays, s.runners)
	}
	p.used.Store(s)
}

// strongest returns, for each zone, the relays with the most capacity that serve
// its part of the runners. The argument and the result are ordered by name.
func strongest(rs []*member, runners int) []*member {
	capacity := make(map[string]float64) // of the selected relays by zone
	count := make(map[string]int)
	for _, m := range rs {
		capacity[m.Zone] = 0
	}
	need := float64(runners) / runnersPerRelay / float64(max(len(capacity), 1))
	byCapacity := slices.Clone(rs)
	slices.SortStableFunc(byCapacity, func(a, b *member) int { return cmp.Compare(b.RelativeCapacity, a.RelativeCapacity) })
	var selected []*member
	for _, m := range byCapacity {
		if count[m.Zone] >= minRelays && capacity[m.Zone] >= need {
			continue
		}
		selected = append(selected, m)
		count[m.Zone]++
		capacity[m.Zone] += m.RelativeCapacity
	}
	slices.SortFunc(selected, func(a, b *member) int { return cmp.Compare(a.Name, b.Name) })
	return selected
}

// selected returns the relays to use, chosen again if the number of runners has
// changed much.
func (p *Pool) selected() []*member {
	s := p.used.Load()
	if s == nil {
		return nil
	}
	if p.Runners != nil {
		if n, old := float64(p.Runners()), float64(s.runners); n > old*maxGrowth || n*maxGrowth < old {
			p.mu.Lock()
			p.choose()
			p.mu.Unlock()
			s = p.used.Load()
		}
	}
	return s.relays
}

// pick returns the relay for a runner, or nil if the leader calls the runner
// itself.
func (p *Pool) pick(to runner.Target) *member {
	if p.CallDirectly() {
		return nil
	}
	rs := p.selected()
	if m := best(rs, to, true); m != nil {
		return m
	}
	return best(rs, to, false)
}

// best selects a relay by a weighted hash of relay and runner. With sameZone
// set it considers only relays in the runner's zone.
func best(rs []*member, to runner.Target, sameZone bool) *member {
	var selected *member
	var maxScore float64
	for _, m := range rs {
		if sameZone && m.Zone != to.Zone {
			continue
		}
		h := xxhash.Sum64String(m.Name + " " + string(to.ID))
		// u is uniform in (0, 1). Its logarithm divided by the weight orders
		// relays as u raised to the inverse of the weight does.
		u := (float64(h>>11) + 0.5) / (1 << 53)
		if s := math.Log(u) / max(m.RelativeCapacity, minWeight); selected == nil || s > maxScore {
			selected, maxScore = m, s
		}
	}
	return selected
}

// minWeight keeps the weight above zero if a host reports no capacity.
const minWeight = 0.05
