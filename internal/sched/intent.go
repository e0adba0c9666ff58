package sched

import (
	"maps"
	"slices"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/machine"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// Intent records that a term may send commands to a machine. It is stored
// before the command, so that a later term knows which machines it must wait
// for.
type Intent struct {
	Term         runner.Term `cbor:"1,keyasint"`
	AcceptedWave int         `cbor:"2,keyasint,omitempty"` // last wave whose command was accepted
	PendingWave  int         `cbor:"3,keyasint,omitempty"` // wave of a maintenance command; zero for a move
}

// Intents returns a copy of all intents, and whether they differ from the
// stored ones. Machines that have not been sent a command for a while are
// released, so that a later term need not wait for them, unless a previous term may
// have begun a maintenance that this one has yet to repeat.
func (s *State) Intents(now clock.BootTime) (map[machine.ID]Intent, bool) {
	for id, in := range s.intents {
		if in.Term == s.Term && s.lastCommandEnd[id] != 0 && now.Sub(s.lastCommandEnd[id]) > s.Limits.MachineTakeover {
			s.intents[id] = Intent{AcceptedWave: in.AcceptedWave}
			delete(s.lastCommandEnd, id)
		}
		if in.Term != 0 && in.Term != s.Term && (in.PendingWave == 0 || in.PendingWave == in.AcceptedWave) && now.Sub(s.startedAt) > s.Limits.MachineTakeover {
			s.intents[id] = Intent{AcceptedWave: in.AcceptedWave}
		}
	}
	return maps.Clone(s.intents), !maps.Equal(s.intents, s.storedIntents)
}

// IntentsStored records the intents that the store holds, and adopts those of
// previous terms.
func (s *State) IntentsStored(m map[machine.ID]Intent) {
	s.storedIntents = m
	for id, in := range m {
		if _, ok := s.intents[id]; !ok {
			s.intents[id] = in
		}
	}
}

// IntentsUnknown records that a write of the intents may have taken effect, so
// that the store may hold other intents than the last ones that were certainly
// stored. No command is sent to a machine until they are stored again.
func (s *State) IntentsUnknown() { s.storedIntents = nil }

// ensureIntent reports whether a command may be sent to a machine now: the
// store holds the intent of this term, and the takeover delay after a previous
// term has passed. It adds the intent if it is missing.
func (s *State) ensureIntent(id machine.ID, wave int, now clock.BootTime) bool {
	in, ok := s.intents[id]
	if ok && in.Term == s.Term && in.PendingWave == wave {
		return s.storedIntents[id] == in
	}
	if ok && in.Term != 0 && in.Term != s.Term && now.Sub(s.startedAt) < s.Limits.MachineTakeover {
		return false
	}
	s.intents[id] = Intent{Term: s.Term, AcceptedWave: in.AcceptedWave, PendingWave: wave}
	return false
}

// HandleMachineReply handles the reply to a command to a machine, or its absence
// if replied is false.
func (s *State) HandleMachineReply(c *Command, v machine.Verdict, replied bool, now clock.BootTime) {
	s.lastCommandEnd[c.Machine] = now
	s.Logger.Log("msg", "machine command finished", "kind", c.Kind, "machine", c.Machine, "wave", c.Wave, "pool", c.Pool, "answered", replied, "verdict", v)
	if c.Kind == MoveMachine {
		s.handleMoveReply(c, v, replied, now)
		return
	}
	w := s.waves[c.Wave]
	if w == nil {
		return
	}
	i := slices.IndexFunc(w.maintenances, func(m *maintenance) bool { return m.id == c.Machine })
	if i < 0 || w.maintenances[i].phase != requested {
		return
	}
	m := w.maintenances[i]
	m.sent, m.unanswered = false, m.unanswered || !replied
	if !replied {
		return
	}
	switch v {
	case machine.Accepted:
		m.phase, m.since = down, now
		s.intents[m.id] = Intent{Term: s.Term, AcceptedWave: c.Wave, PendingWave: c.Wave}
		if rs := s.runnerOf(m.id); rs != nil && rs.ID == m.runner && rs.Incarnation == m.incarnation {
			s.endMachineCommand(rs, inUpkeep, now)
		} else if rs != nil {
			// It has started since the command was sent first, before the maintenance
			// or after it; see advanceMaintenance.
			m.runner, m.incarnation = rs.ID, rs.Incarnation
		}
	case machine.Unknown, machine.WrongWave:
		m.phase = returned
	case machine.Busy:
		s.handleBusy(m, now)
	case machine.Rejected, machine.Fenced:
		m.notBefore, m.busyUntil = now.Add(machineRetryDelay), 0
		m.release(now)
	}
}

// handleBusy handles the reply that a machine is not up, or about to leave. Unless a
// command without a reply may have been carried out, its wave goes on with other machines
// meanwhile. The wave is completed without it only if no list of machines names it: one
// that is down may come back.
func (s *State) handleBusy(m *maintenance, now clock.BootTime) {
	ms := s.machineStates[m.id]
	m.notBefore = now.Add(machineRetryDelay)
	if ms != nil && ms.State != machine.Up {
		m.notBefore = now.Add(downRetryDelay)
	}
	if m.busyUntil == 0 {
		m.busyUntil = now.Add(s.Limits.MaintenanceTime + returnTimeout)
	}
	switch {
	case ms == nil && now.After(max(m.busyUntil, m.wave.due.Add(returnTimeout))):
		m.phase = returned
		s.Logger.Log("msg", "machine without maintenance: it stays busy", "machine", m.id, "wave", m.wave.Number)
	default:
		m.release(now)
	}
}

// release gives a machine back whose command was not carried out, unless an earlier one
// without a reply may have been.
func (m *maintenance) release(now clock.BootTime) {
	if !m.unanswered {
		m.phase, m.since = waiting, now
	}
}
