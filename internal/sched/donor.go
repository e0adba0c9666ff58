package sched

import (
	"slices"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/machine"
)

// donor chooses a machine to move to a pool: an idle one of a pool that has
// more than it needs, or one that is off. For timely work it may also be one
// that runs only what will end soon, of a pool that needs it for late work.
func (s *State) donor(ds []*demand, to *demand, timely bool, now clock.BootTime) *host {
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
func (s *State) take(d *demand, ns *[]*node, to string, now clock.BootTime) *host {
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
func (s *State) off(to string, now clock.BootTime) *host {
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
func (s *State) movable(h *host, to string, now clock.BootTime) bool {
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
