package sched

import (
	"cmp"
	"slices"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/machine"
)

// A long-running task must leave a machine that is due for maintenance. It moves to
// another runner that has room, or will have once batch tasks have ended there. If
// there is none, it is displaced: it is stopped, within the MaxUnavailable of its step,
// and has no run until its machine has returned. A machine is taken only if the tasks on
// it can leave in one of these ways, and is given back if it turns out that they cannot,
// so that no pool is cordoned for tasks that stay.

const (
	// refusalTime is how long a machine that cannot be taken for a wave is not
	// examined again.
	refusalTime = 200 * time.Millisecond
	// maxRefusals bounds the machines that are examined for a wave in one pass.
	maxRefusals = 8
	// takersKept is enough to tell whether any runner but a given one has room.
	takersKept = 2
	// waveLogInterval is the time between two reports on a wave that takes long.
	waveLogInterval = 2 * time.Second
)

// allowedUnavailable returns how many tasks of a step may be unavailable at once for
// planned work.
func (s *step) allowedUnavailable() int { return max(s.spec.MaxUnavailable, 1) }

// hasRoomElsewhere reports whether a runner other than rs has room for one more task of
// a step, or has it once its batch tasks have ended.
func (s *State) hasRoomElsewhere(rs *runnerState, st *step, now clock.BootTime) bool {
	takers, ok := s.takers[st]
	if !ok || slices.ContainsFunc(takers, func(x *runnerState) bool { return x.cordoned }) {
		takers = nil
		for _, x := range s.byPool[s.service(st.occ.job)] {
			if len(takers) < takersKept && s.couldTake(x, st, now) && st.spec.Demand().Fits(x.freeOfBatch()) {
				takers = append(takers, x)
			}
		}
		s.takers[st] = takers
	}
	return slices.ContainsFunc(takers, func(x *runnerState) bool { return x != rs })
}

// roomReturns reports whether a runner other than rs that leaves or is down for
// maintenance will have room for one more task of a step.
func (s *State) roomReturns(rs *runnerState, st *step, now clock.BootTime) bool {
	return slices.ContainsFunc(s.byPool[s.service(st.occ.job)], func(x *runnerState) bool {
		return x != rs && (x.cordoned || x.ended && s.maintained[machine.ID(x.Machine)] != nil) && s.suits(x, st, now) && st.spec.Demand().Fits(x.freeOfBatch())
	})
}

// timePerMachine is how long a machine is expected to be away for maintenance.
func (s *State) timePerMachine() time.Duration { return s.Limits.MaintenanceTime + drainTimeout/2 }

// mustDisplace reports whether a wave cannot wait any longer for room for the tasks of a
// step on a runner, which have none now: its machines must leave one after the other, as
// far as the step allows. Room that returns is waited for as long as there is time.
func (s *State) mustDisplace(w *wave, rs *runnerState, st *step, now clock.BootTime) bool {
	if w.tasksLeft == nil {
		w.tasksLeft = s.countTasksLeft(w)
	}
	allowed := st.allowedUnavailable()
	rounds := (w.tasksLeft[st] + allowed - 1) / allowed
	spare := w.due.Sub(now) - time.Duration(rounds)*s.timePerMachine()
	return spare <= 0 || spare <= waveReserve && !s.hasRoomElsewhere(rs, st, now) && !s.roomReturns(rs, st, now)
}

// countTasksLeft counts the long-running tasks on the machines of a wave that have yet
// to leave.
func (s *State) countTasksLeft(w *wave) map[*step]int {
	left := make(map[*step]int)
	for _, m := range w.maintenances {
		rs := s.runnerOf(m.id)
		if rs == nil || m.phase != waiting && m.phase != draining {
			continue
		}
		for _, r := range rs.runs {
			if r.task.step.spec.LongRunning {
				left[r.task.step]++
			}
		}
	}
	return left
}

// canBeAway reports whether all tasks of a step on a runner, and those on other runners
// that leave if these are counted, may be unavailable at once.
func (s *State) canBeAway(rs *runnerState, st *step, countLeaving bool) bool {
	away := 0
	for _, t := range st.tasks {
		switch {
		case !t.available():
			away++
		case slices.ContainsFunc(t.runs, func(r *run) bool { return r.runner == rs || countLeaving && r.runner.cordoned }):
			away++
		}
	}
	return away <= st.allowedUnavailable()
}

// longRunningSteps returns the steps of the long-running tasks on a runner that are not
// being stopped.
func (rs *runnerState) longRunningSteps() []*step {
	var steps []*step
	for _, r := range runsOf(rs) {
		if st := r.task.step; st.spec.LongRunning && r.phase != stopping && !slices.Contains(steps, st) {
			steps = append(steps, st)
		}
	}
	return steps
}

// canTake reports whether the long-running tasks on the runner of a machine, or nil, can
// leave, as far as can be told before batch tasks have ended.
func (s *State) canTake(m *maintenance, rs *runnerState, now clock.BootTime) bool {
	if s.otherOccupant(m.id, rs) != nil || rs != nil && s.isInherited(rs) {
		return false // a runner of the machine is silent, so that it cannot be drained
	}
	if rs == nil || rs.longRunning == 0 {
		return true
	}
	for _, st := range rs.longRunningSteps() {
		if s.hasRoomElsewhere(rs, st, now) {
			continue
		}
		if !s.mustDisplace(m.wave, rs, st, now) || !s.canBeAway(rs, st, true) {
			return false
		}
	}
	return !m.givenBack || !s.isBlocked(m.wave, rs, now) && s.canAllLeave(m, rs, now)
}

// canAllLeave reports whether there is room for all long-running tasks on a runner together,
// beside those that have no run, but for those that can be displaced. A machine that was
// given back would otherwise be taken again and again for the tasks that fit one by one,
// and move some of them each time.
func (s *State) canAllLeave(m *maintenance, rs *runnerState, now clock.BootTime) bool {
	rooms := s.roomsBeside(rs, now)
	for _, js := range s.open[rs.Service] {
		for _, o := range js.occs {
			for _, st := range o.steps {
				for i := 0; st.spec.LongRunning && i < st.idle && s.placeIn(rooms, st, now); i++ {
				}
			}
		}
	}
	runs := runsOf(rs)
	slices.SortStableFunc(runs, func(a, b *run) int { return cmp.Compare(b.demand.CPU, a.demand.CPU) })
	for _, r := range runs {
		st := r.task.step
		if st.spec.LongRunning && !s.placeIn(rooms, st, now) && (!s.mustDisplace(m.wave, rs, st, now) || !s.canBeAway(rs, st, true)) {
			return false
		}
	}
	return true
}

// room is what long-running tasks may use of a runner.
type room struct {
	*runnerState
	left   job.Resources
	placed map[*step]int
}

// roomsBeside returns the room on the usable runners of a pool apart from one, once their
// batch tasks have ended.
func (s *State) roomsBeside(rs *runnerState, now clock.BootTime) []*room {
	var rooms []*room
	for _, x := range s.byPool[rs.Service] {
		if x != rs && s.usable(x, now) {
			rooms = append(rooms, &room{runnerState: x, left: x.freeOfBatch(), placed: make(map[*step]int)})
		}
	}
	return rooms
}

// placeIn uses room for a task of a step, and reports whether there is any.
func (s *State) placeIn(rooms []*room, st *step, now clock.BootTime) bool {
	i := slices.IndexFunc(rooms, func(r *room) bool {
		return st.spec.Demand().Fits(r.left) && s.suits(r.runnerState, st, now) &&
			(st.spec.PerRunner == 0 || runsOfStep(r.runnerState, st.tasks[0])+r.placed[st] < st.spec.PerRunner)
	})
	if i < 0 {
		return false
	}
	rooms[i].left = rooms[i].left.Sub(st.spec.Demand())
	rooms[i].placed[st]++
	return true
}

// displace stops the long-running tasks on a runner, which is otherwise empty, if its
// wave cannot wait for room and all of them may be unavailable at once. The store and
// the list of machines must be reachable, so that the maintenance follows at once.
func (s *State) displace(m *maintenance, rs *runnerState, now clock.BootTime) {
	if now.Sub(s.startedAt) < s.Limits.Settle || now.Sub(s.inputCurrentAt) > maxInputAge || s.machineStates[m.id] != nil && !s.machinesCurrent(now) {
		return
	}
	if rs.unreachable || rs.hasUnacked() || len(rs.runs) > rs.longRunning {
		return
	}
	for _, r := range rs.runs {
		if st := r.task.step; r.phase == stopping || !s.mustDisplace(m.wave, rs, st, now) || !s.canBeAway(rs, st, false) {
			return
		}
	}
	for _, r := range runsOf(rs) {
		s.stop(r, "machine due for maintenance, no other runner has room")
	}
}

// isBlocked reports whether a long-running task on a runner cannot leave at present, so
// that the runner does not become empty, and none is about to end.
func (s *State) isBlocked(w *wave, rs *runnerState, now clock.BootTime) bool {
	blocked := false
	for _, r := range rs.runs {
		st := r.task.step
		if !st.spec.LongRunning {
			continue
		}
		if r.phase == stopping {
			return false
		}
		displaced := s.mustDisplace(w, rs, st, now) && s.canBeAway(rs, st, false)
		blocked = blocked || !s.mayInterrupt(r.task) || !s.hasRoomElsewhere(rs, st, now) && !displaced
	}
	return blocked
}

// giveBack ends the drain of a machine that has been blocked for drainTimeout: its
// runner is used again until all of its tasks can leave.
func (s *State) giveBack(m *maintenance, rs *runnerState, now clock.BootTime) {
	if !s.isBlocked(m.wave, rs, now) {
		m.blockedAt = 0
		return
	}
	if m.blockedAt == 0 {
		m.blockedAt = now
	}
	if now.Sub(m.blockedAt) <= drainTimeout {
		return
	}
	s.Logger.Log("msg", "machine drain given up", "machine", m.id, "wave", m.wave.Number, "runner", rs.ID, "runs", len(rs.runs), "long_running", rs.longRunning,
		"drained", now.Sub(m.since), "left", m.wave.due.Sub(now))
	m.phase, m.since, m.blockedAt, m.givenBack = waiting, now, 0, true
	m.refusedUntil = now.Add(refusalTime)
	rs.cordoned = false
}

// wantRoom counts the tasks that keep a machine of a wave from being taken as tasks that
// must leave and fit nowhere, so that their pool is given a machine if there is one.
func (s *State) wantRoom(w *wave, now clock.BootTime) {
	for _, m := range w.maintenances {
		if rs := s.runnerOf(m.id); rs != nil && m.phase == waiting && m.refusedUntil.After(now) {
			for _, r := range runsOf(rs) {
				if st := r.task.step; st.spec.LongRunning && r.phase != stopping && !s.hasRoomElsewhere(rs, st, now) {
					s.leaving[st]++
				}
			}
			return
		}
	}
}

// logWave reports on a wave of which a machine drains for longer than planned, or that
// is late, and what it waits for.
func (s *State) logWave(w *wave, now clock.BootTime) {
	if now.Sub(w.loggedAt) < waveLogInterval {
		return
	}
	var phases [returned + 1]int
	var first *maintenance
	for _, m := range w.maintenances {
		phases[m.phase]++
		waits := m.phase == draining && now.Sub(m.since) > drainTimeout || m.phase != returned && now.After(w.due)
		if waits && (first == nil || first.phase != draining && m.phase == draining) {
			first = m
		}
	}
	if first == nil {
		return
	}
	w.loggedAt = now
	kv := []any{"msg", "wave waits", "wave", w.Number, "left", w.due.Sub(now), "waiting", phases[waiting], "draining", phases[draining], "requested", phases[requested], "down", phases[down], "machine", first.id, "since", now.Sub(first.since)}
	if rs := s.runnerOf(first.id); rs != nil {
		kv = append(kv, "runner", rs.ID, "runs", len(rs.runs), "long_running", rs.longRunning, "unacked", rs.hasUnacked(), "blocked", s.isBlocked(w, rs, now))
	}
	s.Logger.Log(kv...)
}
