package sched

import (
	"cmp"
	"slices"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/machine"
)

// donor chooses a machine to move to a pool for some work: an idle one that its pool
// does not need, a powered-off one, or an idle one of a pool that has more than it keeps.
// Unless it is for late work, it may also be a busy one without long-running tasks.
func (s *State) donor(ds []*poolDemand, to *poolDemand, w work, now clock.BootTime) *machineState {
	if ms := s.takeIdle(ds, to, max(w, timelyWork), now); ms != nil {
		return ms
	}
	if ms := s.standbyMachine(to.pool, now); ms != nil || w == allWork {
		return ms
	}
	if w == longRunningWork {
		if ms := s.takeIdle(ds, to, w, now); ms != nil {
			return ms
		}
	}
	for i := len(ds) - 1; i >= 0; i-- {
		d := ds[i]
		if d == to || d.machines <= d.kept(w)+1 {
			continue
		}
		d.sortBusy(now)
		if ms := s.takeMovable(d, &d.busy, to.pool, now); ms != nil {
			return ms
		}
	}
	return nil
}

// takeIdle takes an idle machine of a pool that has more than it keeps.
func (s *State) takeIdle(ds []*poolDemand, to *poolDemand, w work, now clock.BootTime) *machineState {
	for i := len(ds) - 1; i >= 0; i-- {
		d := ds[i]
		if d == to || d.machines <= d.kept(w) {
			continue
		}
		if ms := s.takeMovable(d, &d.idle, to.pool, now); ms != nil {
			return ms
		}
	}
	return nil
}

// sortBusy orders the busy runners by when their runs are expected to have ended,
// because a machine moves only then.
func (d *poolDemand) sortBusy(now clock.BootTime) {
	if d.busySorted {
		return
	}
	d.busySorted = true
	left := make(map[*runnerState]time.Duration, len(d.busy))
	for _, rs := range d.busy {
		left[rs] = rs.busyFor(now)
	}
	slices.SortFunc(d.busy, func(a, b *runnerState) int {
		return cmp.Or(cmp.Compare(left[a], left[b]), cmp.Compare(a.ID, b.ID))
	})
}

// busyFor returns for how long the runs on a runner are expected to go on. One that
// takes longer than expected may take as much longer again.
func (rs *runnerState) busyFor(now clock.BootTime) time.Duration {
	var longest time.Duration
	for _, r := range rs.runs {
		longest = max(longest, r.scheduledAt.Add(r.task.step.expected).Sub(now).Abs())
	}
	return longest
}

// takeMovable removes a movable machine from a list of runners of a pool and
// returns it, or nil.
func (s *State) takeMovable(d *poolDemand, runners *[]*runnerState, to string, now clock.BootTime) *machineState {
	for k, rs := range *runners {
		ms := s.machineStates[machine.ID(rs.Machine)]
		if ms == nil || !s.movable(ms, to, now) || rs.cordoned || now.Sub(ms.since) < moveDelay {
			continue
		}
		*runners = slices.Delete(*runners, k, k+1)
		d.machines--
		return ms
	}
	return nil
}

// standbyMachine returns a powered-off machine that can join a pool, or nil.
func (s *State) standbyMachine(to string, now clock.BootTime) *machineState {
	for _, ms := range s.standby {
		if s.movable(ms, to, now) {
			return ms
		}
	}
	return nil
}

// indexStandby lists the machines of the standby pools, ordered by ID.
func (s *State) indexStandby() {
	s.standby = s.standby[:0]
	for _, ms := range s.machineStates {
		if s.isStandby(ms.Pool) && ms.movingTo == "" {
			s.standby = append(s.standby, ms)
		}
	}
	slices.SortFunc(s.standby, func(a, b *machineState) int { return cmp.Compare(a.ID, b.ID) })
}

// indexMaintenances lists the machines that a wave has taken and that have not
// returned. Two waves can have taken one only if a command of a previous term became
// known late: the wave that has got furthest with it has it.
func (s *State) indexMaintenances() {
	clear(s.maintained)
	for _, w := range s.waves {
		for _, m := range w.maintenances {
			if x := s.maintained[m.id]; m.isActive() && (x == nil || cmp.Or(cmp.Compare(m.phase, x.phase), cmp.Compare(x.wave.Number, w.Number)) > 0) {
				s.maintained[m.id] = m
			}
		}
	}
}

// movable reports whether a machine may be moved to a pool, by the index of
// indexMaintenances.
func (s *State) movable(ms *machineState, to string, now clock.BootTime) bool {
	if ms.movingTo != "" || ms.State != machine.Up || ms.unfit[to] || ms.notBefore.After(now) {
		return false
	}
	return s.maintained[ms.ID] == nil
}
