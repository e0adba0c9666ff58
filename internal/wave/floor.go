package wave

// Reasons why a host must not be drained.
const (
	blockedByShare    = "the zone is at its share of the floor"
	blockedByFloor    = "the service is at its floor"
	blockedByZoneLoss = "the floor would break with the loss of a zone"
	blockedByRackLoss = "the floor would break with the loss of a rack"
	blockedByRelated  = "a related service is below its floor"
	blockedByBudget   = "the availability budget of today is used up"
)

// drainBlockedBy returns why a serving host must not be drained, or "". A host
// whose pool is not in the text may always be drained.
func (p *planner) drainBlockedBy(i int) string {
	h := &p.own.Hosts[i]
	q := p.pool(h.Pool)
	if q == nil {
		return ""
	}
	if p.budgetExhausted[h.Pool] {
		return blockedByBudget
	}
	if r := q.brokenFloor(p.racks[h.Rack], p.zone); r != "" {
		return r
	}
	if p.relatedBelowFloor()[p.index[h.Pool]] {
		return blockedByRelated
	}
	return ""
}

// brokenFloor returns which floor breaks if one more host on a rack leaves the
// pool, or "".
func (q *pool) brokenFloor(rack, zone int) string {
	remaining := q.serving - 1
	if remaining < q.share.Runners {
		return blockedByShare
	}
	if q.total-1 < q.Floor {
		return blockedByFloor
	}
	if q.share.SurvivesZoneLoss {
		for z, n := range q.zones {
			if z != zone && q.total-1-n < q.Floor {
				return blockedByZoneLoss
			}
		}
	}
	if !q.rackFeasible() {
		return ""
	}
	if q.total-1-q.maxOtherRack < q.Floor {
		return blockedByRackLoss
	}
	for r, n := range q.racks {
		if r == rack {
			n--
		}
		// The share is met if a rack has one runner. A replacement often shares
		// a rack; then the other zones' maps decide whether enough runners
		// remain.
		if remaining-n < q.share.AfterRackLoss && q.total-1-n < q.Floor {
			return blockedByRackLoss
		}
	}
	return ""
}

// rackFeasible reports whether the wanted runners, spread over the zone's
// racks, can keep the zone's share under the loss of one rack.
func (q *pool) rackFeasible() bool {
	racks := len(q.racks) - 1
	if racks < 1 {
		return false
	}
	return q.wanted-(q.wanted+racks-1)/racks >= q.share.AfterRackLoss
}

// relatedBelowFloor reports for each pool whether a service that it needs, or
// that needs it, is below its floor.
func (p *planner) relatedBelowFloor() []bool {
	if p.relatedLow != nil {
		return p.relatedLow
	}
	p.relatedLow = make([]bool, len(p.pools))
	for i := range p.pools {
		if q := &p.pools[i]; q.total < q.Floor {
			for _, j := range related(p.Text, i) {
				p.relatedLow[j] = true
			}
		}
	}
	return p.relatedLow
}
