package sched

import (
	"maps"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// SetRunner adds or updates a runner from its entry in the store. Another writer
// may have made the entry, so it does not show that an incarnation which has
// replied has ended: the entry of a later one is kept until that one replies.
func (s *State) SetRunner(i runner.Info, now clock.BootTime) {
	rs := s.runners[i.ID]
	if s.ignoresEntry(rs, i) {
		return
	}
	switch {
	case rs == nil:
		rs = newRunnerState(i)
		rs.described = i.Incarnation
		s.runners[i.ID] = rs
		s.index(rs)
		s.Logger.Log("msg", "runner registered", "runner", i.ID, "service", i.Service, "machine", i.Machine, "draining", i.Draining)
	case rs.ended && i.Incarnation > rs.Incarnation:
		s.renew(rs, i)
	case rs.isConfirmed() && i.Incarnation > rs.Incarnation:
		if rs.announced == nil {
			s.Logger.Log("msg", "runner restart announced", "runner", i.ID, "incarnation", int64(i.Incarnation), "present", int64(rs.Incarnation), "addr", i.Addr)
		}
		if rs.announced == nil || rs.announced.Incarnation != i.Incarnation {
			rs.announcedAt = now // a reply after the first such entry shows that it is wrong
		}
		rs.announced = &i
	case rs.isConfirmed() && i.Incarnation < rs.Incarnation:
		return
	default:
		if rs.Draining != i.Draining {
			s.Logger.Log("msg", "runner draining changed", "runner", i.ID, "draining", i.Draining)
		}
		rs.announced = nil
		s.setInfo(rs, i)
	}
	rs.registered = true
}

// setInfo replaces what is known of a runner from its entry.
func (s *State) setInfo(rs *runnerState, i runner.Info) {
	rs.described = i.Incarnation
	if i.Service == rs.Service && i.Machine == rs.Machine {
		rs.Info = i
		return
	}
	s.unindex(rs)
	rs.Info = i
	s.index(rs)
}

// renew replaces the state of an ended incarnation by that of another one, which
// has not replied.
func (s *State) renew(rs *runnerState, i runner.Info) {
	s.unindex(rs)
	registered, at := rs.registered, rs.deregisteredAt
	*rs = *newRunnerState(i)
	rs.registered, rs.deregisteredAt, rs.followsAnother, rs.described = registered, at, true, i.Incarnation
	s.index(rs)
}

// DeregisterRunner records that the store no longer has an entry for a runner.
// The runner is given no new runs; its present runs continue while it is
// reachable.
func (s *State) DeregisterRunner(id runner.ID, now clock.BootTime) {
	delete(s.ignored, id)
	rs := s.runners[id]
	if rs == nil || !rs.registered {
		return
	}
	rs.registered, rs.deregisteredAt = false, now
	if s.inherited[id] != nil {
		rs.announced = nil // its incarnation has no entry either, and may have ended; see RunnersListed
	}
	s.Logger.Log("msg", "runner deregistered", "runner", id, "runs", len(rs.runs))
	s.removeDeregistered(rs, now)
}

// DeregisterRunners deregisters the runners for which gone returns true.
func (s *State) DeregisterRunners(gone func(runner.ID) bool, now clock.BootTime) {
	maps.DeleteFunc(s.ignored, func(id runner.ID, _ runner.Info) bool { return gone(id) })
	for id, rs := range s.runners {
		if rs.registered && gone(id) {
			s.DeregisterRunner(id, now)
		}
	}
}

// removeDeregistered removes a deregistered runner unless it may still have
// runs.
func (s *State) removeDeregistered(rs *runnerState, now clock.BootTime) {
	if rs.registered || len(rs.runs) > 0 || s.inherited[rs.ID] != nil {
		return
	}
	if rs.replied && !rs.unreachable && !rs.ended && !rs.leaseExpired(now) {
		return
	}
	s.suspectAbandoned(rs)
	delete(s.runners, rs.ID)
	s.unindex(rs)
}
