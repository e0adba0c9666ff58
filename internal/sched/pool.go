package sched

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/machine"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

const (
	// arrivalTime is over how long arriving work is averaged.
	arrivalTime = time.Second
	// fillShare is the part of a pool's processors that its demand should use;
	// tasks of many sizes do not fill them wholly.
	fillShare = 0.85
	// baseMachines stay in each pool whatever its demand, for the first seconds
	// of a surge and for the spread of lasting tasks.
	baseMachines = 5
	// reserveMachines stay on beyond what all pools need.
	reserveMachines = 6
	// idleTime is how long a machine is idle before it is turned off. Turning
	// it off and on again costs as much as some seconds of it.
	idleTime = 2500 * time.Millisecond
	// listAge is how old the list of machines may be for a move.
	listAge = 5 * time.Second
	// movePause keeps a machine from being moved again at once.
	movePause = 2 * time.Second
	// refusedMove keeps a machine from being ordered again after a refusal.
	refusedMove = time.Second
	// moveTime is how long a move may take before the machine is taken as lost.
	moveTime = 6 * time.Second
)

// host is a machine as the leader knows it.
type host struct {
	machine.Machine
	to    string    // pool that it is moving to; empty: none
	from  runner.ID // runner that it leaves
	life  runner.Life
	sent  bool            // an order is on its way, or may be
	since clock.Boot      // of the order, or of the arrival
	after clock.Boot      // not ordered before this
	unfit map[string]bool // pools that it cannot join
}

// SetMachines takes the list of machines.
func (s *State) SetMachines(ms []machine.Machine, now clock.Boot) {
	listed := make(map[machine.ID]bool, len(ms))
	for _, m := range ms {
		listed[m.ID] = true
		h := s.hosts[m.ID]
		if h == nil {
			h = &host{unfit: make(map[string]bool)}
			if in, ok := s.intents[m.ID]; ok && in.Term != 0 && in.Term != s.Term {
				h.after = s.began.Add(s.Limits.Turn)
			}
			s.hosts[m.ID] = h
		}
		h.Machine = m
	}
	for id := range s.hosts {
		if !listed[id] {
			delete(s.hosts, id)
		}
	}
	s.listedAt = now
}

// demand is what a pool has and needs, in thousandths of a core.
type demand struct {
	pool     string
	machines int // usable or on their way here
	size     int // processor of the largest machine
	// timely is how many machines the pool should have for the work that can
	// still meet its objective, target with the late work.
	timely, target int
	idle           []*node
	busy           []*node // without lasting tasks
}

// arrived adds the work of a new job to its pool's arrivals.
func (s *State) arrived(w *work, now clock.Boot) {
	if w.job.Lasting() {
		return
	}
	svc := s.service(w)
	a := s.arrivals[svc]
	a.add(w.total, now)
	s.arrivals[svc] = a
}

// arrival averages the work that arrives at a pool, in core-seconds a second.
type arrival struct {
	rate float64
	at   clock.Boot
}

func (a *arrival) add(cores float64, now clock.Boot) {
	a.rate = a.value(now) + cores/arrivalTime.Seconds()
	a.at = now
}

func (a *arrival) value(now clock.Boot) float64 {
	return a.rate * math.Exp(-float64(now.Sub(a.at))/float64(arrivalTime))
}

// planPools moves machines from pools that have more than they need to those
// that have less.
func (s *State) planPools(now clock.Boot) {
	if now.Sub(s.listedAt) > listAge || s.listedAt == 0 {
		return
	}
	for _, h := range s.hosts {
		s.followMove(h, now)
	}
	s.renew(now)
	ds := s.demands(now)
	s.share(ds)
	for _, d := range ds {
		for d.machines < d.timely {
			h := s.donor(ds, d, true, now)
			if h == nil {
				break
			}
			s.move(h, d.pool, now)
			d.machines++
		}
	}
	for _, d := range ds {
		for d.machines < d.target {
			h := s.donor(ds, d, false, now)
			if h == nil {
				break
			}
			s.move(h, d.pool, now)
			d.machines++
		}
	}
	s.shrink(ds, now)
}

// renew turns machines off whose runner cannot be used in its present life.
func (s *State) renew(now clock.Boot) {
	off := s.standby()
	if off == "" {
		return
	}
	for _, n := range s.nodes {
		h := s.hosts[machine.ID(n.Machine)]
		if n.withheld != 0 && !n.over && len(n.runs) == 0 && !n.cordoned && h != nil && s.movable(h, off, now) {
			s.move(h, off, now)
		}
	}
}

// share lowers what pools should have in time if there are not machines enough
// for all, each in proportion to what it needs beyond the base.
func (s *State) share(ds []*demand) {
	total, need := 0, 0
	for _, h := range s.hosts {
		if h.State != machine.Down {
			total++
		}
	}
	for _, d := range ds {
		total -= baseMachines
		need += max(d.timely-baseMachines, 0)
	}
	if need <= total || total <= 0 {
		return
	}
	for _, d := range ds {
		d.timely = min(d.timely, baseMachines) + max(d.timely-baseMachines, 0)*total/need
	}
}

// shrink turns machines off that no pool has needed for a while, but for a
// reserve that can follow the next surge.
func (s *State) shrink(ds []*demand, now clock.Boot) {
	off := s.standby()
	if off == "" {
		return
	}
	surplus := 0
	for _, d := range ds {
		surplus += max(d.machines-d.target, 0)
	}
	for i := len(ds) - 1; i >= 0; i-- {
		d := ds[i]
		for _, n := range d.idle {
			h := s.hosts[machine.ID(n.Machine)]
			if surplus <= reserveMachines || d.machines <= d.target {
				break
			}
			if h == nil || n.cordoned || now.Sub(n.idle) < idleTime || now.Sub(h.since) < movePause || !s.movable(h, off, now) {
				continue
			}
			s.move(h, off, now)
			d.machines--
			surplus--
		}
	}
}

// standby returns the pool whose machines are off, or an empty name.
func (s *State) standby() string {
	name := ""
	for _, svc := range s.cfg.Services {
		if svc.Standby && (name == "" || svc.Name < name) {
			name = svc.Name
		}
	}
	return name
}

// followMove orders a planned move, and takes note of its end.
func (s *State) followMove(h *host, now clock.Boot) {
	if h.to == "" {
		return
	}
	n := s.onMachine(h.ID)
	if n != nil && h.from == n.ID && !n.over {
		n.cordoned = true
		if len(n.runs) > 0 {
			return
		}
	}
	switch {
	case h.sent:
		if svc := s.cfg.Services[h.to]; svc != nil && svc.Standby && now.Sub(h.since) > s.Limits.Move+offTime {
			h.to, h.sent, h.since = "", false, now
		} else if n != nil && n.Service == h.to && n.Life > h.life {
			s.Logger.Log("msg", "machine has moved", "machine", h.ID, "pool", h.to, "runner", n.ID, "took", now.Sub(h.since))
			h.to, h.sent, h.since = "", false, now
		} else if now.Sub(h.since) > moveTime {
			s.Logger.Log("msg", "machine has not arrived", "machine", h.ID, "pool", h.to)
			h.to, h.sent, h.since = "", false, now
		}
	case h.after.After(now):
	case s.intend(h.ID, 0, now):
		h.sent, h.since = true, now
		s.orders = append(s.orders, Order{Kind: MoveMachine, Machine: h.ID, Pool: h.to})
	}
}

// move plans the move of a machine.
func (s *State) move(h *host, to string, now clock.Boot) {
	h.to, h.sent, h.from, h.life = to, false, "", 0
	runs := 0
	if n := s.onMachine(h.ID); n != nil {
		h.from, h.life, runs = n.ID, n.Life, len(n.runs)
		n.cordoned = true
	}
	s.Logger.Log("msg", "machine is to move", "machine", h.ID, "from", h.Pool, "to", to, "runner", h.from, "runs", runs)
	s.followMove(h, now)
}

// moveAnswered takes the answer to the order to move a machine.
func (s *State) moveAnswered(o *Order, v machine.Verdict, answered bool, now clock.Boot) {
	h := s.hosts[o.Machine]
	if h == nil || h.to != o.Pool {
		return
	}
	if !answered {
		h.sent, h.after = false, now.Add(machineRetry)
		return
	}
	switch v {
	case machine.Accepted:
		h.Pool, h.since = h.to, now
		if n := s.nodes[h.from]; n != nil && n.Life == h.life {
			s.endLife(n, "its machine moves", now)
		}
		return
	case machine.Unknown, machine.OtherWave:
		h.unfit[h.to] = true
	case machine.Busy, machine.Refused, machine.Fenced:
	}
	h.to, h.sent, h.after = "", false, now.Add(refusedMove)
}

// demands returns the pools, those that lack most first.
func (s *State) demands(now clock.Boot) []*demand {
	byPool := make(map[string]*demand)
	for name, svc := range s.cfg.Services {
		if !svc.Standby {
			byPool[name] = &demand{pool: name}
		}
	}
	for _, n := range s.nodes {
		d := byPool[n.Service]
		if d == nil || n.over || n.cordoned || n.withheld != 0 || !n.contacted || n.silent || n.Draining || !n.listed {
			continue
		}
		d.machines++
		d.size = max(d.size, n.Room.CPU)
		switch {
		case len(n.runs) == 0:
			d.idle = append(d.idle, n)
		case n.lasting == 0:
			d.busy = append(d.busy, n)
		}
	}
	for _, h := range s.hosts {
		if d := byPool[h.to]; d != nil {
			d.machines++
			d.size = max(d.size, h.Room.CPU)
		}
	}
	ds := make([]*demand, 0, len(byPool))
	for name, d := range byPool {
		d.timely, d.target = baseMachines, baseMachines
		if d.size > 0 {
			timely, all := s.wanted(name, now)
			d.timely = max(d.timely, d.count(timely))
			d.target = max(d.timely, d.count(all))
		}
		slices.SortFunc(d.busy, func(a, b *node) int {
			return cmp.Or(cmp.Compare(a.used.CPU, b.used.CPU), cmp.Compare(a.ID, b.ID))
		})
		ds = append(ds, d)
	}
	slices.SortFunc(ds, func(a, b *demand) int {
		return cmp.Or(cmp.Compare(a.machines-a.timely, b.machines-b.timely), cmp.Compare(a.pool, b.pool))
	})
	return ds
}

// count is how many machines give some processor.
func (d *demand) count(cpu int) int {
	return int(math.Ceil(float64(cpu) / fillShare / float64(d.size)))
}

// wanted is the processor that a pool could use now: for the work that can still
// meet its objective, and with the late work.
func (s *State) wanted(pool string, now clock.Boot) (timely, all int) {
	lasting := 0
	var width, work [2]float64 // in time, late
	for _, w := range s.open[pool] {
		for _, o := range w.occs {
			chain, cores := o.remaining()
			k := 0
			if s.late(w, chain, now) {
				k = 1
			}
			if !w.job.Lasting() {
				work[k] += cores
			}
			for _, st := range o.steps {
				cpu := st.spec.Demand().CPU
				switch {
				case st.complete() || !o.ready(st):
				case st.spec.Lasting:
					lasting += cpu * len(st.tasks)
				default:
					width[k] += float64(cpu*(len(st.tasks)-st.done)) / 1000
				}
			}
		}
	}
	a := s.arrivals[pool]
	soon := max(min(width[0], work[0]/drainSeconds), a.value(now))
	late := min(width[1], work[1]/drainSeconds)
	return lasting + int(soon*1000), lasting + int((soon+late)*1000)
}

// drainSeconds is in how many seconds the waiting work of a pool should be
// done; the objectives of short jobs are about two seconds.
const drainSeconds = 1.0

// donor chooses a machine to move to a pool: an idle one of a pool that has
// more than it needs, or one that is off. For timely work it may also be one
// that runs only what will end soon, of a pool that needs it for late work.
func (s *State) donor(ds []*demand, to *demand, timely bool, now clock.Boot) *host {
	for i := len(ds) - 1; i >= 0; i-- {
		d := ds[i]
		if d == to || d.machines <= d.target && (!timely || d.machines <= d.timely) {
			continue
		}
		if h := s.take(d, &d.idle, to.pool, now); h != nil {
			return h
		}
	}
	if h := s.off(to.pool, now); h != nil || !timely {
		return h
	}
	for i := len(ds) - 1; i >= 0; i-- {
		d := ds[i]
		if d == to || d.machines <= d.timely+1 {
			continue
		}
		if h := s.take(d, &d.busy, to.pool, now); h != nil {
			return h
		}
	}
	return nil
}

// take takes a movable machine out of a list of runners of a pool.
func (s *State) take(d *demand, ns *[]*node, to string, now clock.Boot) *host {
	for k, n := range *ns {
		h := s.hosts[machine.ID(n.Machine)]
		if h == nil || !s.movable(h, to, now) || n.cordoned || now.Sub(h.since) < movePause {
			continue
		}
		*ns = slices.Delete(*ns, k, k+1)
		d.machines--
		return h
	}
	return nil
}

// off returns a machine that is off and can join a pool, or nil.
func (s *State) off(to string, now clock.Boot) *host {
	var best *host
	for _, h := range s.hosts {
		svc := s.cfg.Services[h.Pool]
		if svc == nil || !svc.Standby || !s.movable(h, to, now) {
			continue
		}
		if best == nil || h.ID < best.ID {
			best = h
		}
	}
	return best
}

// movable tells whether a machine may be ordered into a pool.
func (s *State) movable(h *host, to string, now clock.Boot) bool {
	if h.to != "" || h.State != machine.Up || h.unfit[to] || h.after.After(now) {
		return false
	}
	for _, w := range s.waves {
		for _, u := range w.upkeeps {
			if u.id == h.ID && u.phase != waiting && u.phase != back {
				return false
			}
		}
	}
	return true
}
