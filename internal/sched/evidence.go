package sched

import (
	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// evidence is the observation that shows that an incarnation of a runner has
// ended, and with it all of its runs. Silence is none, nor is an entry in the
// store or a reply at an address where the incarnation never replied: either may
// concern another process.
type evidence int

const (
	restarted    evidence = iota // its next incarnation replied
	replaced                     // another runner replied where it had replied before
	inUpkeep                     // its machine accepted a maintenance command
	machineMoved                 // its machine accepted a move command
	unlisted                     // it is the present life of no machine
)

func (e evidence) String() string {
	return [...]string{"runner restarted", "runner is gone", "machine in maintenance", "its machine moves", "no machine lists it"}[e]
}

// isConfirmed reports whether the incarnation is known from a reply of its own.
func (rs *runnerState) isConfirmed() bool { return rs.confirmedAddr.IsValid() && rs.Incarnation != 0 }

// confirm records which incarnation of a runner replied, and where. The reply is
// the authority on the incarnation: what an entry says of it may be wrong.
func (s *State) confirm(rs *runnerState, from runner.Target, in runner.Incarnation, sent, now clock.BootTime) {
	if (!rs.replied || in != rs.Incarnation) && s.storedRoster[rs.ID].Incarnation != in {
		s.rostered[rs.ID] = false
	}
	switch {
	case in == rs.Incarnation:
		for _, r := range rs.abandoned {
			s.startResolved(r.task, r.attempt, rs) // it lapsed
		}
		rs.abandoned = nil
		if rs.announced != nil && sent.After(rs.announcedAt) {
			s.Logger.Log("msg", "runner entry ignored: an earlier incarnation replies", "runner", rs.ID, "addr", from.Addr,
				"incarnation", int64(in), "announced", int64(rs.announced.Incarnation))
			rs.announced = nil
		}
	case rs.replied || rs.ended:
		i, later := unknownKind(rs.Info), rs.entryAfter(in)
		if rs.announced != nil && rs.announced.Incarnation == in {
			i = *rs.announced
		}
		i.Incarnation, i.Addr = in, from.Addr
		if !rs.ended {
			s.chargeCrash(rs, restarted, now)
		}
		unsettled := s.takeUnsettled(rs, sent)
		if !rs.ended {
			s.endIncarnation(rs, restarted, now)
		}
		s.renew(rs, i)
		rs.announced, rs.announcedAt = later, now
		s.stopUnsettled(rs, unsettled, now)
	default:
		i, later := unknownKind(rs.Info), rs.entryAfter(in)
		if rs.announced != nil {
			i = *rs.announced
		}
		s.setInfo(rs, i)
		rs.Incarnation, rs.announced, rs.announcedAt = in, later, now
	}
	rs.confirmedAddr = from.Addr
}

// unknownKind returns what the entry of another incarnation says of a runner: a
// new one may be of another kind, which its own entry will tell.
func unknownKind(i runner.Info) runner.Info {
	i.Capacity, i.Labels = job.Resources{}, nil
	return i
}

// entryAfter returns the entry of an incarnation later than the given one, or nil.
// The store returns an entry again only when it has changed.
func (rs *runnerState) entryAfter(in runner.Incarnation) *runner.Info {
	i := rs.Info
	if rs.announced != nil {
		i = *rs.announced
	}
	if i.Incarnation <= in {
		return nil
	}
	return &i
}

// takeUnsettled removes and returns the runs on a restarted runner whose start the
// next incarnation may carry out, or has just carried out: it has the same ID,
// but neither the lease nor the attempts of the previous one. The poll that
// showed the restart was sent at the time sent.
func (s *State) takeUnsettled(rs *runnerState, sent clock.BootTime) []*run {
	var unsettled []*run
	for _, r := range runsOf(rs) {
		if r.startUnknown || r.confirmedAt == 0 || !sent.After(r.confirmedAt) {
			rs.remove(r)
			unsettled = append(unsettled, r)
		}
	}
	return unsettled
}

// stopUnsettled stops runs on the incarnation after the one that they were
// started on. It rejects their starts once it has confirmed the stops.
func (s *State) stopUnsettled(rs *runnerState, runs []*run, now clock.BootTime) {
	for _, old := range runs {
		r := &run{task: old.task, attempt: old.attempt, runner: rs, demand: old.demand, scheduledAt: now, throttle: 100, startUnknown: true, unsettled: true}
		rs.add(r)
		s.stop(r, restarted.String())
	}
}

// RunnerReplaced records that another runner replied to a command that was sent at
// the time sent. The runner that the command was meant for has ended if it replied
// at this address before; otherwise the address was wrong.
func (s *State) RunnerReplaced(at runner.Target, sent, now clock.BootTime) {
	rs := s.runners[at.ID]
	switch {
	case rs == nil || !sent.After(rs.lastReply):
		return // the runner may have started there since
	case rs.ended:
	case at.Addr == rs.confirmedAddr:
		s.Logger.Log("msg", "runner replaced by another at its address", "runner", rs.ID, "addr", at.Addr, "runs", len(rs.runs))
		s.chargeCrash(rs, replaced, now)
		s.endIncarnation(rs, replaced, now)
	case at.Addr == rs.target().Addr:
		if !rs.unreachable {
			s.Logger.Log("msg", "another runner replies at the address of the entry", "runner", rs.ID, "addr", at.Addr, "runs", len(rs.runs))
		}
		s.PollFailed(rs.ID, now)
	default:
		return // a reply from the address of an earlier incarnation
	}
	s.removeDeregistered(rs, now)
}

// endMachineCommand records that the machine of a runner accepted a command that
// ends all of its processes. It also accepts one that it has carried out before,
// so that a runner that has runs, or may have some of a previous term, may be a
// later incarnation.
func (s *State) endMachineCommand(rs *runnerState, why evidence, now clock.BootTime) {
	if len(rs.runs) > 0 || s.inherited[rs.ID] != nil {
		s.Logger.Log("msg", "runner may have started after the machine command", "runner", rs.ID, "why", why, "runs", len(rs.runs))
		return
	}
	s.endIncarnation(rs, why, now)
}

// endIncarnation records that all runs on a runner ended with its incarnation.
func (s *State) endIncarnation(rs *runnerState, why evidence, now clock.BootTime) {
	for _, r := range runsOf(rs) {
		s.endCounted(r)
		s.runLost(r, why.String(), now)
	}
	rs.unacked = nil
	rs.ended, rs.unreachable, rs.endedAt = true, true, now
	delete(s.inherited, rs.ID)
	if rs.announced != nil {
		s.renew(rs, *rs.announced)
	}
}
