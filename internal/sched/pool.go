package sched

import (
	"slices"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/machine"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

const (
	// joinTime is from the arrival of a machine in its pool to its first run: it
	// is listed, put into the roster and looked at.
	joinTime = 200 * time.Millisecond
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
	// inputAge is how old what is known of new jobs may be before no machine is
	// turned off; the watch of the input is answered every second.
	inputAge = 1500 * time.Millisecond
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
	life  runner.Incarnation
	sent  bool            // an order is on its way, or may be
	since clock.BootTime  // of the order, or of the arrival
	after clock.BootTime  // not ordered before this
	unfit map[string]bool // pools that it cannot join
}

// SetMachines takes the list of machines.
func (s *State) SetMachines(ms []machine.Machine, now clock.BootTime) {
	listed := make(map[machine.ID]bool, len(ms))
	for _, m := range ms {
		listed[m.ID] = true
		h := s.hosts[m.ID]
		if h == nil {
			h = &host{unfit: make(map[string]bool)}
			if in, ok := s.intents[m.ID]; ok && in.Term != 0 && in.Term != s.Term {
				h.after = s.began.Add(s.Limits.MachineTakeover)
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

// planPools moves machines from pools that have more than they need to those
// that have less.
func (s *State) planPools(now clock.BootTime) {
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
	s.short = slices.ContainsFunc(ds, func(d *demand) bool { return d.machines < d.timely })
	s.shrink(ds, now)
	s.logPools(ds, now)
}

// poolsPeriod is between two log lines on a pool.
const poolsPeriod = time.Second

// logPools tells what the pools have and need.
func (s *State) logPools(ds []*demand, now clock.BootTime) {
	if now.Sub(s.logged) < poolsPeriod {
		return
	}
	s.logged = now
	for _, d := range ds {
		s.Logger.Log("msg", "pool is planned", "pool", d.pool, "machines", d.machines, "timely", d.timely, "target", d.target,
			"idle", len(d.idle), "jobs", len(s.open[d.pool]), "listed", now.Sub(s.listedAt))
	}
}

// renew turns machines off whose runner cannot be used in its present life.
func (s *State) renew(now clock.BootTime) {
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
func (s *State) shrink(ds []*demand, now clock.BootTime) {
	off := s.standby()
	if off == "" || now.Sub(s.heard) > inputAge {
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
func (s *State) followMove(h *host, now clock.BootTime) {
	if h.to == "" {
		return
	}
	n := s.onMachine(h.ID)
	if n != nil && h.from == n.ID && !n.over {
		n.cordoned = true
		if len(n.runs) > 0 || n.unsettled() {
			return
		}
	}
	switch {
	case h.sent:
		if svc := s.cfg.Services[h.to]; svc != nil && svc.Standby && now.Sub(h.since) > s.Limits.MoveTime+offTime {
			h.to, h.sent, h.since = "", false, now
		} else if n != nil && n.Service == h.to && n.Incarnation > h.life {
			s.Logger.Log("msg", "machine has moved", "machine", h.ID, "pool", h.to, "runner", n.ID, "took", now.Sub(h.since))
			h.to, h.sent, h.since = "", false, now
		} else if now.Sub(h.since) > moveTime {
			s.Logger.Log("msg", "machine has not arrived", "machine", h.ID, "pool", h.to)
			h.to, h.sent, h.since = "", false, now
		}
	case h.after.After(now):
	case s.intend(h.ID, 0, now):
		h.sent, h.since = true, now
		s.orders = append(s.orders, Command{Kind: MoveMachine, Machine: h.ID, Pool: h.to})
	}
}

// move plans the move of a machine.
func (s *State) move(h *host, to string, now clock.BootTime) {
	h.to, h.sent, h.from, h.life = to, false, "", 0
	runs := 0
	if n := s.onMachine(h.ID); n != nil {
		h.from, h.life, runs = n.ID, n.Incarnation, len(n.runs)
		n.cordoned = true
	}
	s.Logger.Log("msg", "machine is to move", "machine", h.ID, "from", h.Pool, "to", to, "runner", h.from, "runs", runs)
	s.followMove(h, now)
}

// moveAnswered takes the answer to the order to move a machine.
func (s *State) moveAnswered(o *Command, v machine.Verdict, answered bool, now clock.BootTime) {
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
		if n := s.nodes[h.from]; n != nil && n.Incarnation == h.life {
			s.endLife(n, "its machine moves", now)
		}
		return
	case machine.Unknown, machine.WrongWave:
		h.unfit[h.to] = true
	case machine.Busy, machine.Refused, machine.Fenced:
	}
	h.to, h.sent, h.after = "", false, now.Add(refusedMove)
}
