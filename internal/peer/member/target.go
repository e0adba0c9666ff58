package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gypsumtrestle.example/gypsumtrestle/internal/peer/message"
)

// pair is one possible link between two zones.
type pair struct {
	a, b message.Daemon
	hash uint64
}

// LinkTargets returns the daemons to which self maintains links: all of its own
// zone, and one of each other zone. Links between two zones form a matching by
// rendezvous hashing of the names, so that both ends choose the same link. In
// zones of different size, daemons of the smaller one have more than one link.
// If the matched daemon cannot be reached, the next one by hash is added.
func LinkTargets(self message.Daemon, all []message.Daemon, failing func(message.Daemon) bool) []message.Daemon {
	zones := map[string][]message.Daemon{self.Zone: {self}}
	for _, d := range all {
		if d.Name != self.Name {
			zones[d.Zone] = append(zones[d.Zone], d)
		}
	}
	own := zones[self.Zone]
	targets := slices.Clone(own[1:])
	for zone, theirs := range zones {
		if zone == self.Zone {
			continue
		}
		ps := pairs(own, theirs)
		matched := match(ps, self.Name)
		targets = append(targets, matched...)
		if slices.ContainsFunc(matched, func(d message.Daemon) bool { return !failing(d) }) {
			continue
		}
		for _, p := range ps {
			if p.a.Name == self.Name && !failing(p.b) {
				targets = append(targets, p.b)
				break
			}
		}
	}
	return targets
}

func pairs(own, theirs []message.Daemon) []pair {
	ps := make([]pair, 0, len(own)*len(theirs))
	for _, a := range own {
		for _, b := range theirs {
			lo, hi := min(a.Name, b.Name), max(a.Name, b.Name)
			ps = append(ps, pair{a, b, xxhash.Sum64String(lo + "\x00" + hi)})
		}
	}
	slices.SortFunc(ps, func(x, y pair) int { return cmp.Compare(x.hash, y.hash) })
	return ps
}

// match selects pairs in hash order, using each daemon once. When all daemons
// of the smaller zone are used, it starts again until every daemon of the
// larger zone has a link.
func match(ps []pair, self string) []message.Daemon {
	var matched []message.Daemon
	linked := make(map[string]bool)
	for {
		used := make(map[string]bool)
		for _, p := range ps {
			if used[p.a.Name] || used[p.b.Name] || linked[p.a.Name] && linked[p.b.Name] {
				continue
			}
			used[p.a.Name], used[p.b.Name] = true, true
			if p.a.Name == self {
				matched = append(matched, p.b)
			}
		}
		if len(used) == 0 {
			return matched
		}
		for n := range used {
			linked[n] = true
		}
	}
}
