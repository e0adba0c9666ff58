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

// resume returns draining hosts to pools that fell below their floor since the
// drain began.
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
			q.out--
			p.out--
		}
		q.serving++
		q.total++
		q.racks[p.racks[h.Rack]]++
		if p.zone >= 0 {
			q.zones[p.zone]++
		}
		p.state[i] = fleet.Serving
		p.act(Action{Kind: Resume, Host: h.Name, Reason: fmt.Sprintf("%s fell below its floor %d", q.Name, q.Floor)})
	}
}

// leaving drains the hosts that the platform is about to stop, whatever the
// floors: an undrained host would break its requests as well. The exception is
// a host whose drain would put a service below its floor together with one it
// needs or that needs it; it stays until a cover serves.
func (p *planner) leaving() {
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
			if q != nil && q.total-1 < q.Floor && p.mayCover(q) && p.nearLow()[p.index[h.Pool]] {
				q.extra++
				continue
			}
			p.near = nil
			p.drain(i, "", "the platform stops the host")
		}
	}
}

// covers decides how many extra hosts pools get, so that hosts that are due can
// drain without breaking a floor. With weigh buffer one pool at a time has a
// cover, the one with the fewest hosts left to do, unless a host is overdue;
// with weigh rollout as many as may be out at once.
func (p *planner) covers() {
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
		// A pool keeps its cover until the last host that it covers is back.
		// One whose hosts stay has no use for one.
		if !q.Spare && !p.spent[q.Name] && q.needsCover(p.zone) && counts[j]+q.out > 0 {
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
			if left > 0 && counts[j]+p.pools[j].out >= round && p.mayCover(&p.pools[j]) {
				p.pools[j].extra++
				left--
			}
		}
		if left == before {
			return
		}
	}
}

// mayCover reports whether the ceiling lets a pool have one more cover. What the
// ceiling leaves above the wanted runners is divided between the zones, since
// each zone plans by itself.
func (p *planner) mayCover(q *pool) bool {
	if q.Ceiling == 0 {
		return true
	}
	above, zones := q.Ceiling-q.Total(), len(p.Text.Zones)
	n := above / zones
	if p.zone < above%zones {
		n++
	}
	return q.extra < n
}

// needsCover reports whether a pool with all its wanted hosts serving cannot
// spare one.
func (q *pool) needsCover(zone int) bool {
	if q.want-1 < q.share.Runners {
		return true
	}
	return q.floorWithout(0, zone) != "" && q.serving >= q.want
}

// maintain sends hosts that are due to maintenance, the longest due first, as
// far as the number of hosts out at once and the floors allow.
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
		if !p.ready(c.i) {
			continue
		}
		h := &p.own.Hosts[c.i]
		reason := fmt.Sprintf("last maintained %s ago", p.Now.Sub(h.Maintained).Round(time.Minute))
		if p.state[c.i] == fleet.Free {
			p.toMaintenance(c.i, reason)
		} else if p.mayDrain(c.i) == "" {
			p.drain(c.i, "", reason)
		}
	}
}

// surplus returns hosts that a pool does not need to the spare pool, those that
// do not serve yet first. Hosts that are due for maintenance were considered
// before.
func (p *planner) surplus() {
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
			case q.serving+q.starting > q.target() && (state == fleet.Starting || p.mayDrain(i) == ""):
				p.drain(i, p.spareName(), fmt.Sprintf("%s has %d, wants %d", q.Name, q.serving+q.starting, q.target()))
			}
		}
	}
}
