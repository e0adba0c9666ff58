package wave

import (
	"cmp"
	"fmt"
	"slices"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/fleet"
	"gypsumtrestle.example/gypsumtrestle/pkg/text"
)

// target returns how many runners a pool should have now. Replacements whose
// host is in maintenance are in use and are not requested again.
func (q *pool) target() int { return q.wanted + max(0, q.replacements-q.inMaintenance) }

// shortage returns how many hosts a pool lacks to have n, counting those in
// transit to it.
func (q *pool) shortage(n int) int { return n - q.serving - q.starting - q.inflow }

// grant grants the free hosts to the pools that lack hosts. Hosts that other
// pools drain towards a pool become free before they are granted, so that
// inflow is not counted here.
func (p *planner) grant() {
	var free []int
	for i := range p.own.Hosts {
		if p.state[i] == fleet.Free && p.listed(&p.own.Hosts[i], etcd.Live) {
			free = append(free, i)
		}
	}
	if len(free) == 0 {
		return
	}
	for _, j := range p.byNeed() {
		q := &p.pools[j]
		if q.faulty() && !p.mayRetry(q) {
			continue
		}
		n := q.target() - q.serving - q.starting
		if q.faulty() {
			n = min(n, 1)
		}
		for range n {
			k := p.bestFreeHost(q, free)
			if k < 0 {
				break
			}
			p.grantHost(free[k], q)
			free = slices.Delete(free, k, k+1)
		}
	}
}

// byNeed returns the pools that lack hosts in the order of need: those below
// their share of the floor first, and the spare pool last. Among equals, the pool
// with the smallest part of its target comes first.
func (p *planner) byNeed() []int {
	var order []int
	for j := range p.pools {
		if q := &p.pools[j]; q.target() > q.serving+q.starting {
			order = append(order, j)
		}
	}
	rank := func(j int) int {
		q := &p.pools[j]
		switch {
		case q.serving+q.starting < q.share.Runners:
			return 0
		case !q.Spare:
			return 1
		default:
			return 2
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := &p.pools[a], &p.pools[b]
		return cmp.Or(cmp.Compare(rank(a), rank(b)),
			cmp.Compare((x.serving+x.starting)*y.target(), (y.serving+y.starting)*x.target()))
	})
	return order
}

// mayRetry reports whether a service that fails everywhere may be started
// again.
func (p *planner) mayRetry(q *pool) bool {
	for i := range p.own.Hosts {
		h := &p.own.Hosts[i]
		if h.State == fleet.Starting && h.Pool == q.Name {
			return false
		}
		if slices.Contains(h.FailedPools, q.Name) && p.Now.Sub(h.Since) < serviceRetryDelay {
			return false
		}
	}
	return true
}

// bestFreeHost returns the index in free of the host that suits a pool best, or
// -1 if none fits. It prefers hosts on which the pool has not failed, then few
// failures, then the rack with the fewest hosts of the pool, then the smallest
// host.
func (p *planner) bestFreeHost(q *pool, free []int) int {
	best, score := -1, [4]int{}
	for k, i := range free {
		h := &p.own.Hosts[i]
		l := p.hosts[h.Name]
		if !q.fits(l) || p.due(h) >= 0 && q.serving+q.starting >= q.share.Runners && p.inMaintenance < p.Text.Maintenance.Hold {
			continue // hosts that are due go to maintenance first unless the floor needs them
		}
		s := [4]int{0, h.Failures, q.racks[p.racks[h.Rack]], l.Cores + l.Memory}
		if slices.Contains(h.FailedPools, q.Name) {
			s[0] = 1
		}
		if best < 0 || slices.Compare(s[:], score[:]) < 0 {
			best, score = k, s
		}
	}
	return best
}

func (p *planner) grantHost(i int, q *pool) {
	reason := fmt.Sprintf("%s has %d of %d", q.Name, q.serving+q.starting, q.target())
	q.starting++
	p.state[i] = fleet.Starting
	p.addAction(Action{Kind: Grant, Host: p.own.Hosts[i].Name, Pool: q.Name, Slots: q.Slots, Reason: reason})
}

// move drains hosts of the spare pool towards pools that lack hosts. If the text
// has weigh = buffer, a pool is filled only up to its share of the floor and its
// replacements; its own hosts return from maintenance without a move.
func (p *planner) move() {
	if p.spare < 0 {
		return
	}
	for _, j := range p.byNeed() {
		q := &p.pools[j]
		if q.Spare || q.faulty() || q.serving == 0 && !p.fitsAny(q) {
			continue
		}
		n := q.target()
		if p.Text.Weigh == text.Buffer && q.replacements == 0 {
			n = min(n, q.share.Runners)
		}
		for range q.shortage(n) {
			i := p.bestSpareHost(q)
			if i < 0 {
				break
			}
			p.drain(i, q.Name, fmt.Sprintf("%s has %d of %d", q.Name, q.serving+q.starting, n))
		}
	}
}

// bestSpareHost returns the serving host of the spare pool that suits a pool
// best, or -1. Hosts that are due for maintenance are the last choice.
func (p *planner) bestSpareHost(q *pool) int {
	best, score := -1, [2]int{}
	for i := range p.own.Hosts {
		h := &p.own.Hosts[i]
		if p.state[i] != fleet.Serving || h.Pool != p.spareName() || !q.fits(p.hosts[h.Name]) ||
			p.pools[p.spare].brokenFloor(p.racks[h.Rack], p.zone) != "" {
			continue
		}
		s := [2]int{0, q.racks[p.racks[h.Rack]]}
		if p.due(h) >= 0 {
			s[0] = 1
		}
		if best < 0 || slices.Compare(s[:], score[:]) < 0 {
			best, score = i, s
		}
	}
	return best
}

func (p *planner) spareName() string {
	if p.spare < 0 {
		return ""
	}
	return p.pools[p.spare].Name
}
