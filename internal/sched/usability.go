package sched

import (
	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/machine"
)

// usability is whether new runs may be started on a runner and, if not, why.
type usability int

const (
	isUsable         usability = iota
	hasEnded                   // its incarnation has ended
	isDeregistered             // its entry was removed from the store
	notReplied                 // it has not replied in this term
	isUnreachable              // it did not reply to the last poll
	isDraining                 // it leaves by itself
	isCordoned                 // it leaves for a wave or a move
	restartAnnounced           // its entry is that of a later incarnation, which has not replied
	resultWithheld             // it has a result that must not be acknowledged
	notInRoster                // the stored roster has no open entry for it
	startRejected              // it has just rejected a start
	entryContradicts           // its entry has another service or machine, and no list of machines shows that it is wrong
	usabilities                // number of usabilities
)

func (u usability) String() string {
	return [...]string{"usable", "ended", "deregistered", "not_replied", "unreachable", "draining", "cordoned", "announced", "withheld", "not_in_roster", "blocked", "contradicted"}[u]
}

// usability returns whether new runs may be started on a runner.
func (s *State) usability(rs *runnerState, now clock.BootTime) usability {
	switch {
	case rs.ended:
		return hasEnded
	case !rs.registered && now.Sub(rs.deregisteredAt) >= reregisterTimeout:
		return isDeregistered
	case !rs.replied:
		return notReplied
	case rs.unreachable:
		return isUnreachable
	case rs.Draining:
		return isDraining
	case rs.cordoned:
		return isCordoned
	case rs.announced != nil:
		return restartAnnounced
	case rs.withheld != 0 && !s.takesLongRunning(rs, now):
		return resultWithheld
	case !s.rostered[rs.ID]:
		return notInRoster
	case rs.blockedUntil.After(now):
		return startRejected
	case len(s.ignored) > 0 && s.isContradicted(rs):
		return entryContradicts
	}
	return isUsable
}

// takesLongRunning reports whether long-running tasks, whose results need no
// acknowledgment, are started on a runner with a withheld result: it is held, so that it
// is given no others, and cannot be powered off, which would end that.
func (s *State) takesLongRunning(rs *runnerState, now clock.BootTime) bool {
	return rs.heldUntil.After(now) && !s.canPowerOff(rs, now)
}

// canPowerOff reports whether the machine of a runner with a withheld result can be
// powered off once its present runs have ended.
func (s *State) canPowerOff(rs *runnerState, now clock.BootTime) bool {
	standby, ms := s.standbyPool(), s.machineStates[machine.ID(rs.Machine)]
	return standby != "" && ms != nil && rs.longRunning == 0 && s.machinesCurrent(now) && s.movable(ms, standby, now)
}

// holdWithheld holds the runners with a withheld result.
func (s *State) holdWithheld(now clock.BootTime) {
	for _, rs := range s.runners {
		if rs.withheld != 0 {
			rs.heldUntil = now.Add(holdTime)
		}
	}
}

// usable reports whether new runs may be started on a runner.
func (s *State) usable(rs *runnerState, now clock.BootTime) bool {
	return s.usability(rs, now) == isUsable
}
