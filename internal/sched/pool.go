package sched

import (
	"slices"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/machine"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

const (
	// joinDelay is the time from the arrival of a machine in its pool to its
	// first run: its runner is registered, added to the roster and polled.
	joinDelay = 200 * time.Millisecond
	// fillShare is the share of a pool's CPU that its demand should use; tasks
	// of many sizes do not fill it completely.
	fillShare = 0.85
	// baseMachines are kept in each pool regardless of its demand, for the
	// first seconds of a surge and for the spread of long-running tasks.
	baseMachines = 5
	// reserveMachines are kept powered on beyond the needs of all pools.
	reserveMachines = 6
	// idleTimeout is how long a machine is idle before it is powered off.
	// Powering it off and on again costs as much as running it for some
	// seconds.
	idleTimeout = 2500 * time.Millisecond
	// maxInputAge is the age of the input from which no machine is powered off;
	// the watch of the input returns every second.
	maxInputAge = 1500 * time.Millisecond
	// maxListAge is the age of the machine list up to which moves are planned.
	maxListAge = 5 * time.Second
	// moveDelay is the minimum time between two moves of a machine.
	moveDelay = 2 * time.Second
	// rejectedMoveDelay is the delay after a rejected move.
	rejectedMoveDelay = time.Second
	// moveTimeout is how long a move may take before it is abandoned.
	moveTimeout = 6 * time.Second
)

// machineState is the leader's record of a machine.
type machineState struct {
	machine.Machine
	movingTo        string    // pool that it is moving to; empty: none
	fromRunner      runner.ID // runner that ran on it before the move
	fromIncarnation runner.Incarnation
	sent            bool            // a move command is in flight or was accepted
	since           clock.BootTime  // time of the command or of the arrival
	notBefore       clock.BootTime  // no command before this time
	unfit           map[string]bool // pools that it cannot join
}

// SetMachines replaces the list of machines.
func (s *State) SetMachines(machines []machine.Machine, now clock.BootTime) {
	listed := make(map[machine.ID]bool, len(machines))
	for _, m := range machines {
		listed[m.ID] = true
		ms := s.machineStates[m.ID]
		if ms == nil {
			ms = &machineState{unfit: make(map[string]bool)}
			if in, ok := s.intents[m.ID]; ok && in.Term != 0 && in.Term != s.Term {
				ms.notBefore = s.startedAt.Add(s.Limits.MachineTakeover)
			}
			s.machineStates[m.ID] = ms
		}
		ms.Machine = m
	}
	for id := range s.machineStates {
		if !listed[id] {
			delete(s.machineStates, id)
		}
	}
	s.listedAt = now
}

// machinesCurrent reports whether the machines were listed lately.
func (s *State) machinesCurrent(now clock.BootTime) bool {
	return s.listedAt != 0 && now.Sub(s.listedAt) <= maxListAge
}

// planPools moves machines from pools that have more than they need to those
// that have fewer.
func (s *State) planPools(now clock.BootTime) {
	if !s.machinesCurrent(now) {
		return
	}
	for _, ms := range s.machineStates {
		s.advanceMove(ms, now)
	}
	s.indexMaintenances()
	s.indexStandby()
	s.powerOffUnusable(now)
	ds := s.poolDemands(now)
	s.scaleToFleet(ds)
	for _, w := range []work{longRunningWork, timelyWork, allWork} {
		s.fill(ds, w, now)
	}
	s.shortage = slices.ContainsFunc(ds, func(d *poolDemand) bool { return d.machines < d.timely })
	s.powerOffSurplus(ds, now)
	s.logPools(ds, now)
}

// fill plans moves to the pools that have fewer machines than the work needs.
func (s *State) fill(ds []*poolDemand, w work, now clock.BootTime) {
	for _, d := range ds {
		need := d.kept(w)
		if w == longRunningWork {
			need = min(need, d.longRunning)
		}
		for d.machines < need {
			ms := s.donor(ds, d, w, now)
			if ms == nil {
				break
			}
			s.planMove(ms, d.pool, now)
			d.machines++
		}
	}
}

// poolLogInterval is the time between two log lines about a pool.
const poolLogInterval = time.Second

// logPools logs what the pools have and need.
func (s *State) logPools(ds []*poolDemand, now clock.BootTime) {
	if now.Sub(s.poolsLoggedAt) < poolLogInterval {
		return
	}
	s.poolsLoggedAt = now
	for _, d := range ds {
		s.Logger.Log("msg", "pool planned", "pool", d.pool, "machines", d.machines, "timely", d.timely, "needed", d.needed, "long_running", d.longRunning, "unplaced", d.unplaced, "target", d.target,
			"idle", len(d.idle), "jobs", len(s.open[d.pool]), "listed", now.Sub(s.listedAt))
	}
}

// powerOffUnusable powers off machines whose runner cannot be used in its
// current incarnation because a result is withheld.
func (s *State) powerOffUnusable(now clock.BootTime) {
	standby := s.standbyPool()
	if standby == "" {
		return
	}
	for _, rs := range s.runners {
		ms := s.machineStates[machine.ID(rs.Machine)]
		if rs.withheld != 0 && !rs.ended && len(rs.runs) == 0 && !rs.cordoned && ms != nil && s.movable(ms, standby, now) {
			s.planMove(ms, standby, now)
		}
	}
}

// scaleToFleet lowers the timely demand of the pools if there are not enough
// machines for all of them, in proportion to what each needs beyond its firm part.
// With fewer machines batch work is late, but a long-running task that needs one has
// no run at all. The firm parts are lowered only if the fleet lacks machines for them.
func (s *State) scaleToFleet(ds []*poolDemand) {
	total, base, firm, need := 0, baseMachines*len(ds), 0, 0
	for _, ms := range s.machineStates {
		if ms.State != machine.Down {
			total++
		}
	}
	for _, d := range ds {
		firm += d.firm()
		need += d.timely
	}
	if need <= total || total <= base {
		return
	}
	for _, d := range ds {
		if firm > total {
			d.timely = baseMachines + (d.firm()-baseMachines)*(total-base)/(firm-base)
			continue
		}
		d.timely = d.firm() + (d.timely-d.firm())*(total-firm)/(need-firm)
	}
}

// powerOffSurplus powers off machines that no pool has needed for a while,
// except for a reserve for the next surge.
func (s *State) powerOffSurplus(ds []*poolDemand, now clock.BootTime) {
	standby := s.standbyPool()
	if standby == "" || now.Sub(s.inputCurrentAt) > maxInputAge {
		return
	}
	surplus := 0
	for _, d := range ds {
		surplus += max(d.machines-d.target, 0)
	}
	for i := len(ds) - 1; i >= 0; i-- {
		d := ds[i]
		for _, rs := range d.idle {
			ms := s.machineStates[machine.ID(rs.Machine)]
			if surplus <= reserveMachines || d.machines <= d.target {
				break
			}
			if ms == nil || rs.cordoned || now.Sub(rs.idleSince) < idleTimeout || now.Sub(ms.since) < moveDelay || !s.movable(ms, standby, now) {
				continue
			}
			s.planMove(ms, standby, now)
			d.machines--
			surplus--
		}
	}
}

// isStandby reports whether the machines of a pool are powered off.
func (s *State) isStandby(pool string) bool {
	return s.cfg != nil && s.cfg.Services[pool] != nil && s.cfg.Services[pool].Standby
}

// standbyPool returns the pool of powered-off machines, or an empty name.
func (s *State) standbyPool() string {
	name := ""
	for _, svc := range s.cfg.Services {
		if svc.Standby && (name == "" || svc.Name < name) {
			name = svc.Name
		}
	}
	return name
}

// advanceMove sends the command of a planned move, and detects that the machine
// has arrived or that the move timed out.
func (s *State) advanceMove(ms *machineState, now clock.BootTime) {
	if ms.movingTo == "" {
		return
	}
	rs := s.runnerOf(ms.ID)
	from := s.movingRunner(ms)
	if from != nil && (len(from.runs) > 0 || from.hasUnacked()) || !ms.sent && from != nil && s.otherOccupant(ms.ID, from) != nil {
		return
	}
	switch {
	case ms.sent:
		// A powered-off machine has no runner that would show its arrival.
		if s.isStandby(ms.movingTo) && now.Sub(ms.since) > s.Limits.MoveTime+noRunnerTimeout {
			ms.movingTo, ms.sent, ms.since = "", false, now
		} else if rs != nil && rs.replied && rs.Service == ms.movingTo && rs.Incarnation > ms.fromIncarnation {
			s.Logger.Log("msg", "machine moved", "machine", ms.ID, "pool", ms.movingTo, "runner", rs.ID, "took", now.Sub(ms.since))
			ms.movingTo, ms.sent, ms.since = "", false, now
		} else if now.Sub(ms.since) > moveTimeout {
			s.Logger.Log("msg", "machine move timed out", "machine", ms.ID, "pool", ms.movingTo)
			ms.movingTo, ms.sent, ms.since = "", false, now
		}
	case ms.notBefore.After(now):
	case s.ensureIntent(ms.ID, 0, now):
		ms.sent, ms.since = true, now
		delete(s.lastCommandEnd, ms.ID) // the intent is needed until the command has ended
		s.commands = append(s.commands, Command{Kind: MoveMachine, Machine: ms.ID, Pool: ms.movingTo})
	}
}

// movingRunner returns the runner that leaves with the move of a machine, or nil.
func (s *State) movingRunner(ms *machineState) *runnerState {
	if rs := s.runnerOf(ms.ID); ms.movingTo != "" && rs != nil && ms.fromRunner == rs.ID && !rs.ended {
		return rs
	}
	return nil
}

// hasLeft reports whether a runner that has ended is no longer missed in its pool: its
// machine is in another one, or has another runner.
func (s *State) hasLeft(rs *runnerState) bool {
	id := machine.ID(rs.Machine)
	ms := s.machineStates[id]
	return rs.ended && (ms != nil && ms.Pool != rs.Service || s.runnerOf(id) != rs)
}

// planMove plans the move of a machine.
func (s *State) planMove(ms *machineState, to string, now clock.BootTime) {
	ms.movingTo, ms.sent, ms.fromRunner, ms.fromIncarnation = to, false, "", 0
	runs := 0
	if rs := s.runnerOf(ms.ID); rs != nil {
		ms.fromRunner, ms.fromIncarnation, runs = rs.ID, rs.Incarnation, len(rs.runs)
		rs.cordoned = true
	}
	s.Logger.Log("msg", "machine move planned", "machine", ms.ID, "from", ms.Pool, "to", to, "runner", ms.fromRunner, "runs", runs)
	s.advanceMove(ms, now)
}

// handleMoveReply handles the reply to a move command.
func (s *State) handleMoveReply(c *Command, v machine.Verdict, replied bool, now clock.BootTime) {
	ms := s.machineStates[c.Machine]
	if ms == nil || ms.movingTo != c.Pool {
		return
	}
	if !replied {
		ms.sent, ms.notBefore = false, now.Add(machineRetryDelay)
		return
	}
	switch v {
	case machine.Accepted:
		ms.Pool, ms.since = ms.movingTo, now
		if rs := s.runners[ms.fromRunner]; rs != nil && rs.Incarnation == ms.fromIncarnation {
			s.endMachineCommand(rs, machineMoved, now)
		}
		return
	case machine.Unknown, machine.WrongWave:
		ms.unfit[ms.movingTo] = true
	case machine.Busy, machine.Rejected, machine.Fenced:
	}
	ms.movingTo, ms.sent, ms.notBefore = "", false, now.Add(rejectedMoveDelay)
}
