package wave

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/fleet"
	"gypsumtrestle.example/gypsumtrestle/pkg/text"
)

// resume returns draining hosts to service in pools that have fallen below
// their floor since the drain started.
func (p *planner) resume() {
	for i := range p.own.Hosts {
		h := &p.own.Hosts[i]
		q := p.pool(h.Pool)
		if h.State != fleet.Draining || q == nil || h.Gone || !h.Addr.IsValid() || !p.listed(h, etcd.Live) ||
			q.serving >= q.share.Runners && q.total >= q.Floor {
			continue
		}
		next := p.pool(h.Next)
		if next != nil && next.serving < next.share.Runners {
			continue
		}
		if next != nil {
			next.inflow--
		} else {
			q.inMaintenance--
			p.inMaintenance--
		}
		q.serving++
		q.total++
		q.racks[p.racks[h.Rack]]++
		if p.zone >= 0 {
			q.zones[p.zone]++
		}
		p.state[i] = fleet.Serving
		p.addAction(Action{Kind: Resume, Host: h.Name, Reason: fmt.Sprintf("%s fell below its floor %d", q.Name, q.Floor)})
	}
}

// drainLeaving drains the hosts that the platform is about to stop, whatever
// the floors: without a drain the stop would break the host's requests as well.
// The exception is a host whose drain would put a service below its floor while
// a service that it needs, or that needs it, is also below its floor; if the
// ceiling allows a replacement, the host stays until the replacement serves.
func (p *planner) drainLeaving() {
	for i := range p.own.Hosts {
		h := &p.own.Hosts[i]
		if !p.listed(h, etcd.Leaving) {
			continue
		}
		switch p.state[i] {
		case fleet.Free:
			p.toMaintenance(i, "the platform stops the host")
		case fleet.Starting:
			p.drain(i, "", "the platform stops the host")
		case fleet.Serving:
			q := p.pool(h.Pool)
			if q != nil && q.total-1 < q.Floor && p.mayAddReplacement(q) && p.relatedBelowFloor()[p.index[h.Pool]] {
				q.replacements++
				continue
			}
			p.relatedLow = nil
			p.drain(i, "", "the platform stops the host")
		}
	}
}

// planReplacements decides how many replacement hosts pools get, so that hosts
// that are due can drain without breaking a floor. With weigh = buffer one
// pool at a time has a replacement, the pool with the fewest hosts left to
// maintain, unless a host is overdue. With weigh = rollout there may be as many
// replacements as hosts in maintenance at once.
func (p *planner) planReplacements() {
	counts, overdue := make([]int, len(p.pools)), false
	for i := range p.own.Hosts {
		h := &p.own.Hosts[i]
		if j, ok := p.index[h.Pool]; ok && p.state[i] == fleet.Serving && p.due(h) >= 0 {
			counts[j]++
			overdue = overdue || p.overdue(h)
		}
	}
	var order []int
	for j := range p.pools {
		q := &p.pools[j]
		// A pool keeps its replacement until the last host that it replaces has
		// returned. A pool whose hosts must not be drained needs no
		// replacement.
		if !q.Spare && !p.budgetExhausted[q.Name] && q.needsReplacement(p.zone) && counts[j]+q.inMaintenance > 0 {
			order = append(order, j)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(counts[a], counts[b]) })
	left := p.Text.Maintenance.Hold
	if p.Text.Weigh == text.Buffer && !overdue {
		left = min(left, 1)
	}
	for round := 1; left > 0; round++ {
		before := left
		for _, j := range order {
			if left > 0 && counts[j]+p.pools[j].inMaintenance >= round && p.mayAddReplacement(&p.pools[j]) {
				p.pools[j].replacements++
				left--
			}
		}
		if left == before {
			return
		}
	}
}

// mayAddReplacement reports whether the ceiling lets a pool have one more
// replacement. The difference between the ceiling and the wanted runners is
// divided between the zones, since each zone plans by itself.
func (p *planner) mayAddReplacement(q *pool) bool {
	if q.Ceiling == 0 {
		return true
	}
	above, zones := q.Ceiling-q.Total(), len(p.Text.Zones)
	n := above / zones
	if p.zone < above%zones {
		n++
	}
	return q.replacements < n
}

// needsReplacement reports whether a pool with all its wanted hosts serving has
// none that may be drained.
func (q *pool) needsReplacement(zone int) bool {
	if q.wanted-1 < q.share.Runners {
		return true
	}
	return q.brokenFloor(0, zone) != "" && q.serving >= q.wanted
}

// maintain sends hosts that are due to maintenance, the longest due first, as
// far as the limit on hosts in maintenance and the floors allow.
func (p *planner) maintain() {
	type candidate struct {
		i   int
		due time.Duration
	}
	var due []candidate
	for i := range p.own.Hosts {
		if d := p.due(&p.own.Hosts[i]); d >= 0 && (p.state[i] == fleet.Free || p.state[i] == fleet.Serving) {
			due = append(due, candidate{i, d})
		}
	}
	slices.SortStableFunc(due, func(a, b candidate) int { return cmp.Compare(b.due, a.due) })
	for _, c := range due {
		if !p.mayMaintain(c.i) {
			continue
		}
		h := &p.own.Hosts[c.i]
		reason := fmt.Sprintf("last maintained %s ago", p.Now.Sub(h.Maintained).Round(time.Minute))
		if p.state[c.i] == fleet.Free {
			p.toMaintenance(c.i, reason)
		} else if p.drainBlockedBy(c.i) == "" {
			p.drain(c.i, "", reason)
		}
	}
}

// returnSurplus drains hosts that a pool does not need towards the spare pool,
// starting with those that do not serve yet. Hosts that are due for maintenance
// have been considered before.
func (p *planner) returnSurplus() {
	if p.spare < 0 {
		return
	}
	for _, state := range []fleet.State{fleet.Starting, fleet.Serving} {
		for i := range p.own.Hosts {
			if p.state[i] != state {
				continue
			}
			h := &p.own.Hosts[i]
			q := p.pool(h.Pool)
			switch {
			case q == nil:
				p.drain(i, p.spareName(), h.Pool+" is not in the text")
			case q.serving+q.starting > q.target() && (state == fleet.Starting || p.drainBlockedBy(i) == ""):
				p.drain(i, p.spareName(), fmt.Sprintf("%s has %d, wants %d", q.Name, q.serving+q.starting, q.target()))
			}
		}
	}
}
