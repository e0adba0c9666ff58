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

// maintenancePhase is the progress of a machine in its wave.
type maintenancePhase int

const (
	waiting   maintenancePhase = iota
	draining                   // its runner is given no new runs
	requested                  // the command has been sent, or may have been
	down                       // the command was accepted
	returned                   // it is up again, or the wave continues without it
)

// maintenance is one machine of a wave.
type maintenance struct {
	id          machine.ID
	wave        *wave
	phase       maintenancePhase
	since       clock.BootTime
	runner      runner.ID // runner on the machine when the command was sent
	incarnation runner.Incarnation
	notBefore   clock.BootTime // no command before this time
	sent        bool           // a command is in flight
	unanswered  bool           // a command had no reply
	busyUntil   clock.BootTime // if it is still busy then, the wave may continue without it; zero: it is not busy
	// refusedUntil is until when it is not examined again, since its tasks cannot leave.
	refusedUntil clock.BootTime
	blockedAt    clock.BootTime // since when it drains and a task on it cannot leave; zero: all can
	givenBack    bool           // a drain was given up
}

// isActive reports whether a wave has taken the machine, which has not returned.
func (m *maintenance) isActive() bool { return m.phase != waiting && m.phase != returned }

// wave is a wave of the operators with its progress.
type wave struct {
	machine.Wave
	maintenances []*maintenance
	due          clock.BootTime
	dueWall      time.Time // the same time by the wall clock, for the next term
	completed    bool
	storedStatus string // status that the store holds
	// tasksLeft are the long-running tasks on machines that have yet to leave, in this
	// pass; nil: not counted yet.
	tasksLeft map[*step]int
	loggedAt  clock.BootTime // see logWave
}

const (
	// returnTimeout is how much longer than MaintenanceTime a machine may take
	// to return before the wave continues without it.
	returnTimeout = 5 * time.Second
	// noRunnerTimeout is the same for a machine whose return no runner shows: it
	// had none before its maintenance, or it moves to the standby pool.
	noRunnerTimeout = 500 * time.Millisecond
	// endDelay is how long after the reply to a maintenance command a runner that the
	// command has ended may still reply. One that replies later has started since, or
	// the command had been carried out before.
	endDelay = 500 * time.Millisecond
	// drainTimeout is how long a machine may wait for its runs to end before
	// they are stopped, if the wave is urgent.
	drainTimeout = 4 * time.Second
	// A wave that is not urgent takes no further machine of a service while at
	// least 1/serviceDivisor of its runners are cordoned or unreachable.
	serviceDivisor = 3
	// waveReserve is the part of a wave's time that is kept for machines that
	// take long to drain and for a change of leader.
	waveReserve = 8 * time.Second
	// machineRetryDelay is the delay after a rejected maintenance command and
	// after a move command without a reply.
	machineRetryDelay = 300 * time.Millisecond
	// downRetryDelay is the same after the reply that a machine is busy, if the list of
	// machines does not show it as up.
	downRetryDelay = time.Second
)

// InheritWave records when a wave of a previous term is due.
func (s *State) InheritWave(number int, due time.Time) { s.inheritedDues[number] = due }

// SetWave adds a wave that the operators requested. Its time counts from the
// first leader that has seen it; the clocks of the leaders may differ.
func (s *State) SetWave(w machine.Wave, completed bool, now clock.BootTime, wall time.Time) {
	if s.waves[w.Number] != nil {
		return
	}
	left := w.Within
	if due, ok := s.inheritedDues[w.Number]; ok {
		left = min(max(due.Sub(wall), 0), w.Within)
	}
	x := &wave{Wave: w, due: now.Add(left), dueWall: wall.Add(left), completed: completed}
	if completed {
		// Its machines are free for other work.
		x.storedStatus = statusCompleted
	} else {
		for _, id := range w.Machines {
			x.maintenances = append(x.maintenances, s.newMaintenance(x, id, now))
		}
	}
	s.waves[w.Number] = x
	s.Logger.Log("msg", "wave added", "wave", w.Number, "machines", len(w.Machines), "cap", w.MaxUnavailable, "within", w.Within, "left", left, "completed", completed)
}

// newMaintenance returns the record of a machine of a wave with the phase that
// previous terms have left: it may be down, or a command may be in flight.
func (s *State) newMaintenance(w *wave, id machine.ID, now clock.BootTime) *maintenance {
	m := &maintenance{id: id, wave: w}
	switch in, ok := s.intents[id]; {
	case ok && in.AcceptedWave == w.Number: // a later wave does not tell whether this one was accepted
		// The store may still have the entry of the runner that the maintenance
		// ended, so that only time or the list of machines shows the return of
		// the machine.
		m.phase, m.since, m.incarnation = down, now, math.MaxInt64
	case ok && in.Term != 0 && in.PendingWave == w.Number:
		m.phase, m.since = requested, now
		if rs := s.runnerOf(id); rs != nil {
			m.runner, m.incarnation = rs.ID, rs.Incarnation
		}
	}
	return m
}

const (
	statusRunning   = "running"
	statusCompleted = "completed"
)

// WaveStatus is the status of a wave to be stored.
type WaveStatus struct {
	Number    int
	Completed bool
	Due       time.Time
}

// WaveStatuses returns the statuses that are not stored yet.
func (s *State) WaveStatuses() []WaveStatus {
	var sts []WaveStatus
	for _, w := range s.waves {
		want := statusRunning
		if w.completed {
			want = statusCompleted
		}
		if w.storedStatus != want {
			sts = append(sts, WaveStatus{Number: w.Number, Completed: w.completed, Due: w.dueWall})
		}
	}
	return sts
}

// WaveStatusStored records that the store holds the status of a wave.
func (s *State) WaveStatusStored(st WaveStatus) {
	if w := s.waves[st.Number]; w != nil {
		w.storedStatus = statusRunning
		if st.Completed {
			w.storedStatus = statusCompleted
		}
	}
}

// planWaves drains the machines of the waves and sends their maintenance
// commands.
func (s *State) planWaves(now clock.BootTime) {
	clear(s.leaving)
	clear(s.takers)
	s.indexMaintenances()
	s.cordon(now)
	s.reviewKeptRoom(now)
	for _, rs := range s.runners {
		if rs.Draining && rs.replied && !rs.unreachable {
			s.evacuate(rs, now)
		}
	}
	for _, w := range s.openWaves() {
		s.planWave(w, now)
	}
	s.holdRunners(now)
	s.holdWithheld(now)
}

// openWaves returns the waves that are not completed, those that are due first come
// first.
func (s *State) openWaves() []*wave {
	var waves []*wave
	for _, w := range s.waves {
		if !w.completed {
			waves = append(waves, w)
		}
	}
	slices.SortFunc(waves, func(a, b *wave) int {
		return cmp.Or(cmp.Compare(a.due, b.due), cmp.Compare(a.Number, b.Number))
	})
	return waves
}

func (s *State) planWave(w *wave, now clock.BootTime) {
	left := 0
	w.tasksLeft = nil
	for _, m := range w.maintenances {
		switch x := s.maintained[m.id]; {
		case x == nil || x == m:
			s.advanceMaintenance(m, now)
		case m.phase == draining:
			m.phase = waiting
		}
		if m.phase != returned {
			left++
		}
	}
	if left == 0 {
		w.completed = true
		s.Logger.Log("msg", "wave completed", "wave", w.Number, "left", w.due.Sub(now))
		return
	}
	s.logWave(w, now)
	maxUnavailable := w.MaxUnavailable
	if s.shortage {
		maxUnavailable = s.neededAtOnce(w, now)
	}
	for active := s.active(w); active < maxUnavailable; active++ {
		m := s.nextMaintenance(w, now)
		if m == nil {
			s.wantRoom(w, now)
			return
		}
		m.phase, m.since = draining, now
		s.maintained[m.id] = m
		if rs := s.runnerOf(m.id); rs != nil {
			rs.cordoned = true
			s.Logger.Log("msg", "machine drain started", "machine", m.id, "wave", w.Number, "runner", rs.ID, "service", rs.Service,
				"runs", len(rs.runs), "active", active, "left", w.due.Sub(now))
		}
	}
}

// advanceMaintenance advances one machine to its next phase if it is due.
func (s *State) advanceMaintenance(m *maintenance, now clock.BootTime) {
	rs := s.runnerOf(m.id)
	switch m.phase {
	case waiting, returned:
	case draining:
		if other := s.otherOccupant(m.id, rs); other != nil {
			s.evacuate(other, now) // it is cordoned as well
			return
		}
		if rs != nil {
			s.evacuate(rs, now)
			if len(rs.runs) > 0 {
				if now.Sub(m.since) > drainTimeout && s.urgent(m.wave, now) {
					s.stopBatch(rs)
				}
				s.displace(m, rs, now)
				s.giveBack(m, rs, now)
				return
			}
			if rs.hasUnacked() {
				return // its results would be lost with the runner
			}
			m.runner, m.incarnation = rs.ID, rs.Incarnation
		}
		s.sendMaintain(m, now)
	case requested:
		if !m.sent && !m.notBefore.After(now) {
			s.sendMaintain(m, now)
		}
	case down:
		if m.incarnation == math.MaxInt64 && s.listedUp(m.id) {
			m.phase = returned
		} else if rs != nil && rs.replied && (rs.Incarnation > m.incarnation || rs.polledAt.After(m.since.Add(endDelay))) {
			m.phase = returned
			s.Logger.Log("msg", "machine returned from maintenance", "machine", m.id, "wave", m.wave.Number, "runner", rs.ID, "took", now.Sub(m.since))
		} else if m.runner == "" && now.Sub(m.since) > s.Limits.MaintenanceTime+noRunnerTimeout {
			m.phase = returned
		} else if now.Sub(m.since) > s.Limits.MaintenanceTime+returnTimeout {
			m.phase = returned
			s.Logger.Log("msg", "machine maintenance timed out", "machine", m.id, "wave", m.wave.Number)
		}
	}
}

// listedUp reports whether the machine API has listed a machine as up in this
// term, with the runner that is on record.
func (s *State) listedUp(id machine.ID) bool {
	ms, rs := s.machineStates[id], s.runnerOf(id)
	return ms != nil && ms.State == machine.Up && (rs == nil || rs.ID == ms.Runner)
}

// sendMaintain sends the maintenance command once the store holds the intent.
func (s *State) sendMaintain(m *maintenance, now clock.BootTime) {
	if !s.ensureIntent(m.id, m.wave.Number, now) {
		return
	}
	if m.sent {
		return
	}
	m.phase, m.sent = requested, true
	delete(s.lastCommandEnd, m.id) // the intent is needed until the command has ended
	s.commands = append(s.commands, Command{Kind: MaintainMachine, Machine: m.id, Wave: m.wave.Number})
}
