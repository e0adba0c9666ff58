package sched

import (
	"slices"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/machine"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// PreviousLeaderEnded records that the previous leader sends no commands after a time.
// The runners that it had reached reject those of earlier leaders, which may last until
// the other time; a later incarnation does not.
func (s *State) PreviousLeaderEnded(at, earlier clock.BootTime) {
	s.PreviousStartsEnded(at, earlier)
	until := at.Add(s.leaseTime())
	n := 0
	for _, in := range s.inherited {
		if in.reached && in.until.After(until) {
			in.until = until
			n++
		}
	}
	s.Logger.Log("msg", "wait for runners of the previous term shortened", "runners", n, "left", until.Sub(at))
}

// PreviousStartsEnded records that the previous leader starts no tasks after a time, and
// those before it none after the other.
func (s *State) PreviousStartsEnded(at, earlier clock.BootTime) {
	for _, in := range s.inherited {
		if in.reached {
			in.lastStart = min(in.lastStart, max(at, earlier))
		}
	}
}

// EarlierLeadersEnded records that the leaders before the previous one, which had stored
// the roster, send no commands after a time.
func (s *State) EarlierLeadersEnded(at clock.BootTime) {
	for _, in := range s.inherited {
		if in.unreached {
			in.until, in.lastStart = min(in.until, at.Add(s.leaseTime())), min(in.lastStart, at)
		}
	}
}

// leaseTime returns the longest time for which a lease lasts that a command extends.
func (s *State) leaseTime() time.Duration {
	return s.Limits.MaxRunnerLease + s.Limits.MaxRunnerLease/20 // a runner's clock may be slow
}

// RunnersListed records the list of machines that this term requested at the time
// sent. It ends runners that do not reply: a runner is one life of a machine, which is
// over if no machine lists it. The pages of a list are not a snapshot, so that two lists
// must agree. Both must be requested once the entry of the runner is removed from the
// store and previous leaders start no tasks on it: an incarnation that starts after that,
// under the same ID, gets none, and one that started before is missed by one list at
// most.
func (s *State) RunnersListed(machines []machine.Machine, sent, now clock.BootTime) {
	if len(machines) == 0 {
		return
	}
	var silent []*runnerState
	for _, rs := range s.runners {
		if s.mayEndUnlisted(rs) {
			silent = append(silent, rs)
		} else {
			rs.unlisted, rs.unlistedLate, rs.machineReused = false, false, false
		}
	}
	if len(silent) == 0 {
		return
	}
	listed := make(map[runner.ID]bool, len(machines))
	named := make(map[machine.ID]bool)   // machines with a runner
	unnamed := make(map[machine.ID]bool) // machines that are up without a runner, and not powered off
	for i := range machines {
		listed[machines[i].Runner] = true
		named[machines[i].ID] = machines[i].Runner != ""
		if machines[i].State == machine.Up && machines[i].Runner == "" && !s.isStandby(machines[i].Pool) {
			unnamed[machines[i].ID] = true
		}
	}
	slices.SortFunc(silent, compareRunners)
	for _, rs := range silent {
		again := rs.unlistedLate
		// A machine has one runner at a time: one that had another since is not about to
		// name this one.
		rs.machineReused = !listed[rs.ID] && (rs.machineReused || named[machine.ID(rs.Machine)])
		rs.unlisted = !listed[rs.ID] && (rs.machineReused || !unnamed[machine.ID(rs.Machine)])
		rs.unlistedLate = rs.unlisted && !rs.registered && rs.announced == nil && sent.After(s.goneSince(rs))
		if !again || !rs.unlistedLate {
			continue
		}
		if in := s.inherited[rs.ID]; in != nil {
			s.Logger.Log("msg", "runner of previous term has ended", "runner", rs.ID, "why", unlisted, "machine", rs.Machine, "left", in.until.Sub(now))
		} else {
			s.Logger.Log("msg", "silent runner has ended", "runner", rs.ID, "why", unlisted, "machine", rs.Machine, "runs", len(rs.runs), "heard", now.Sub(rs.lastReply))
			s.chargeCrash(rs, unlisted, now)
		}
		s.endIncarnation(rs, unlisted, now)
		s.removeDeregistered(rs, now)
	}
}

// mayEndUnlisted reports whether lists of machines may show that a runner has ended: it
// is one of a previous term that has not replied, or one with runs that is silent. A
// start that it has not confirmed may still reach its next incarnation, so that its
// lease is waited for.
func (s *State) mayEndUnlisted(rs *runnerState) bool {
	if rs.ended || rs.Machine == "" || !rs.isConfirmed() {
		return false
	}
	if !rs.replied {
		return s.inherited[rs.ID] != nil
	}
	if !rs.unreachable || len(rs.runs) == 0 {
		return false
	}
	for _, r := range rs.runs {
		if r.confirmedAt == 0 || r.startUnknown || r.unsettled {
			return false
		}
	}
	return true
}

// goneSince returns the time after which lists of machines are evidence on a runner.
func (s *State) goneSince(rs *runnerState) clock.BootTime {
	if in := s.inherited[rs.ID]; in != nil {
		return max(rs.deregisteredAt, in.lastStart)
	}
	return rs.deregisteredAt
}

// NextList returns the earliest time at which a list of machines must be requested to
// show that a silent runner has ended, as the last list did; false: there is no such
// runner yet.
func (s *State) NextList() (at clock.BootTime, ok bool) {
	for _, rs := range s.runners {
		if !rs.unlisted || rs.registered || rs.announced != nil || !s.mayEndUnlisted(rs) {
			continue
		}
		if due := s.goneSince(rs) + 1; !ok || due < at {
			at, ok = due, true
		}
	}
	return at, ok
}

// WaitsForPrevious reports whether runners of previous terms may still have runs.
func (s *State) WaitsForPrevious() bool { return len(s.inherited) > 0 }
