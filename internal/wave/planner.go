package wave

import (
	"slices"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/fleet"
	"gypsumtrestle.example/gypsumtrestle/pkg/text"
)

// Maintenance is due when 7/8 of the period has passed, so that a wave has time
// for drains that wait, and hosts are not maintained much too early.
const (
	dueNum = 7
	dueDen = 8
)

// pool holds the planner's counts for one service.
type pool struct {
	*text.Service
	share  Share
	wanted int // wanted runners in this zone
	// Hosts of this zone by state. inflow counts hosts that drain from other
	// pools to this one; inMaintenance includes hosts that drain towards
	// maintenance.
	serving, starting, inflow, inMaintenance int
	racks                                    []int // serving, by rack of this zone
	total                                    int   // serving, over all zones
	maxOtherRack                             int   // most serving on one rack of another zone
	zones                                    []int // serving, by zone
	replacements                             int   // replacement hosts that maintenance needs
	failing                                  int   // hosts on which the service failed, over all zones
	cores, memory                            float64
}

// planner holds counts that each added action brings up to date.
type planner struct {
	*Input
	own             *fleet.Map
	state           []fleet.State // of own.Hosts, as planned
	pools           []pool
	index           map[string]int // into pools
	spare           int            // index of the spare pool, or -1
	racks           map[string]int // index into pool.racks
	hosts           map[string]*etcd.Host
	zone            int             // index of Zone in Text.Zones, or -1
	inMaintenance   int             // hosts in maintenance or draining towards it
	budgetExhausted map[string]bool // services whose planned work must wait; see collectBudgets
	relatedLow      []bool          // cache of relatedBelowFloor; nil after a service may have fallen below its floor
	actions         []Action
}

func newPlanner(in *Input) *planner {
	p := &planner{Input: in, own: in.Maps[in.Zone], spare: -1, zone: slices.Index(in.Text.Zones, in.Zone)}
	p.hosts = make(map[string]*etcd.Host, len(p.own.Hosts))
	for i := range in.Hosts {
		if h := &in.Hosts[i]; h.Zone == in.Zone && h.Role == "worker" {
			p.hosts[h.Name] = h
		}
	}
	p.racks = make(map[string]int)
	for i := range p.own.Hosts {
		if r := p.own.Hosts[i].Rack; p.racks[r] == 0 {
			p.racks[r] = len(p.racks) + 1
		}
	}
	p.addPools()
	p.countOwn()
	for z, name := range in.Text.Zones {
		if m := in.Maps[name]; m != nil {
			p.countAll(z, m)
		}
	}
	p.estimateSizes()
	p.collectBudgets()
	return p
}

// collectBudgets collects the services for which planned work must wait: those
// that have used up their availability budget, and those that they need, since
// a disruption of these would affect them.
func (p *planner) collectBudgets() {
	p.budgetExhausted = make(map[string]bool)
	for name := range p.ExhaustedBudgets {
		p.budgetExhausted[name] = true
		for _, n := range p.Text.Requires(name) {
			p.budgetExhausted[n] = true
		}
	}
}

func (p *planner) addPools() {
	services := p.Text.Services
	p.pools, p.index = make([]pool, len(services)), make(map[string]int, len(services))
	counts := make([]int, len(services)*(len(p.racks)+1+len(p.Text.Zones)))
	for i := range services {
		s := &services[i]
		q := &p.pools[i]
		q.Service, q.wanted, q.share = s, s.Runners[p.Zone], FloorShare(p.Text, s, p.Zone)
		q.racks, counts = counts[:len(p.racks)+1], counts[len(p.racks)+1:]
		q.zones, counts = counts[:len(p.Text.Zones)], counts[len(p.Text.Zones):]
		q.cores, q.memory = float64(s.Cores), float64(s.Memory)
		p.index[s.Name] = i
		if s.Spare {
			p.spare = i
		}
	}
}

func (p *planner) countOwn() {
	p.state = make([]fleet.State, len(p.own.Hosts))
	for i := range p.own.Hosts {
		h := &p.own.Hosts[i]
		p.state[i] = h.State
		if h.Gone {
			continue
		}
		q := p.pool(h.Pool)
		maintain := h.State == fleet.Maintenance || h.Next == "" && (h.State == fleet.Draining || h.State == fleet.Stopping)
		if maintain {
			p.inMaintenance++
		}
		if next := p.pool(h.Next); next != nil {
			next.inflow++
		}
		switch {
		case q == nil:
		case maintain:
			q.inMaintenance++
		case h.State == fleet.Starting:
			q.starting++
		case h.State == fleet.Serving:
			q.serving++
			q.racks[p.racks[h.Rack]]++
		}
	}
}

func (p *planner) countAll(z int, m *fleet.Map) {
	type place struct{ pool, rack string }
	racks := make(map[place]int)
	for i := range m.Hosts {
		h := &m.Hosts[i]
		if q := p.pool(h.Pool); q != nil && h.State == fleet.Serving {
			q.total++
			q.zones[z]++
			if m != p.own && !q.share.SurvivesZoneLoss { // the reserve for a zone includes that for a rack
				racks[place{h.Pool, h.Rack}]++
				q.maxOtherRack = max(q.maxOtherRack, racks[place{h.Pool, h.Rack}])
			}
		}
		if h.State == fleet.Serving && p.Now.Sub(h.Since) >= fleet.FailureResetAfter {
			continue
		}
		for _, name := range h.FailedPools {
			if q := p.pool(name); q != nil {
				q.failing++
			}
		}
	}
}

func (p *planner) pool(name string) *pool {
	i, ok := p.index[name]
	if !ok {
		return nil
	}
	return &p.pools[i]
}

func (p *planner) addAction(a Action) { p.actions = append(p.actions, a) }

// drain plans the drain of a starting or serving host and updates the counts.
func (p *planner) drain(i int, next, reason string) {
	h := &p.own.Hosts[i]
	if q := p.pool(h.Pool); q != nil {
		if p.state[i] == fleet.Starting {
			q.starting--
		} else {
			q.serving--
			q.total--
			q.racks[p.racks[h.Rack]]--
			if p.zone >= 0 {
				q.zones[p.zone]--
			}
		}
		if next == "" {
			q.inMaintenance++
		}
	}
	if next == "" {
		p.inMaintenance++
	} else if n := p.pool(next); n != nil {
		n.inflow++
	}
	p.state[i] = fleet.Draining
	p.addAction(Action{Kind: Drain, Host: h.Name, Pool: next, Reason: reason})
}

// toMaintenance plans the maintenance of a host without a runner, which must be
// in the host list.
func (p *planner) toMaintenance(i int, reason string) {
	h := &p.own.Hosts[i]
	a := Action{Kind: Maintain, Host: h.Name, Booted: p.hosts[h.Name].Booted, Reason: reason}
	p.inMaintenance++
	p.state[i] = fleet.Maintenance
	p.addAction(a)
}

// due returns how long a host's maintenance has been due; a negative value
// means that it is not due.
func (p *planner) due(h *fleet.Host) time.Duration {
	if p.Text.Maintenance.Every <= 0 {
		return -1
	}
	return p.Now.Sub(h.Maintained) - p.Text.Maintenance.Every/dueDen*dueNum
}

func (p *planner) overdue(h *fleet.Host) bool {
	return p.Text.Maintenance.Every > 0 && p.Now.Sub(h.Maintained) >= p.Text.Maintenance.Every
}

// mayMaintain reports whether a host may go to maintenance. Its boot time must
// be available, so that its reboot can be detected in the host list.
func (p *planner) mayMaintain(i int) bool {
	return p.hosts[p.own.Hosts[i].Name] != nil && p.inMaintenance < p.Text.Maintenance.Hold
}

func (p *planner) listed(h *fleet.Host, s etcd.HostState) bool {
	l := p.hosts[h.Name]
	return l != nil && l.State == s
}
