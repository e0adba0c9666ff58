package sched

import (
	"cmp"
	"maps"
	"slices"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/machine"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// Intent is that a term may order a machine. It is stored before the order, so
// that a later term knows for which machines it must wait.
type Intent struct {
	Term         runner.Term `cbor:"1,keyasint"`
	AcceptedWave int         `cbor:"2,keyasint,omitempty"` // last wave whose order was accepted
	PendingWave  int         `cbor:"3,keyasint,omitempty"` // wave of the order, if it is one for upkeep
}

// Intents returns a copy of all intents, and whether the store lacks any.
// Machines that were not ordered for a while are released, so that a later term
// need not wait for them.
func (s *State) Intents(now clock.BootTime) (map[machine.ID]Intent, bool) {
	for id, in := range s.intents {
		if in.Term == s.Term && s.ordered[id] != 0 && now.Sub(s.ordered[id]) > s.Limits.MachineTakeover {
			s.intents[id] = Intent{AcceptedWave: in.AcceptedWave}
			delete(s.ordered, id)
		}
	}
	return maps.Clone(s.intents), !maps.Equal(s.intents, s.intended)
}

// IntentsStored takes that the store holds intents.
func (s *State) IntentsStored(m map[machine.ID]Intent) {
	s.intended = m
	for id, in := range m {
		if _, ok := s.intents[id]; !ok {
			s.intents[id] = in
		}
	}
}

// intend tells whether a machine may be ordered now: the store holds the intent
// of this term, and a holder before has surely stopped.
func (s *State) intend(id machine.ID, wave int, now clock.BootTime) bool {
	in, ok := s.intents[id]
	if ok && in.Term == s.Term && in.PendingWave == wave {
		return s.intended[id] == in
	}
	if ok && in.Term != 0 && in.Term != s.Term && now.Sub(s.began) < s.Limits.MachineTakeover {
		return false
	}
	s.intents[id] = Intent{Term: s.Term, AcceptedWave: in.AcceptedWave, PendingWave: wave}
	s.changed = true
	return false
}

// HandleMachineReply takes the answer to an order to a machine.
func (s *State) HandleMachineReply(o *Command, v machine.Verdict, answered bool, now clock.BootTime) {
	s.ordered[o.Machine] = now
	s.Logger.Log("msg", "machine is ordered", "kind", o.Kind, "machine", o.Machine, "wave", o.Wave, "pool", o.Pool, "answered", answered, "verdict", v)
	if o.Kind == MoveMachine {
		s.moveAnswered(o, v, answered, now)
		return
	}
	w := s.waves[o.Wave]
	if w == nil {
		return
	}
	i := slices.IndexFunc(w.upkeeps, func(u *upkeep) bool { return u.id == o.Machine })
	if i < 0 || w.upkeeps[i].phase != ordered {
		return
	}
	u := w.upkeeps[i]
	u.sent = false
	if !answered {
		return
	}
	switch v {
	case machine.Accepted:
		u.phase, u.since = down, now
		s.intents[u.id] = Intent{Term: s.Term, AcceptedWave: o.Wave, PendingWave: o.Wave}
		s.changed = true
		if n := s.onMachine(u.id); n != nil && n.ID == u.runner {
			s.endLife(n, "its machine is in upkeep", now)
		}
	case machine.Unknown, machine.WrongWave:
		u.phase = back
	case machine.Busy, machine.Refused, machine.Fenced:
		u.after = now.Add(machineRetry)
		if v == machine.Busy && cmp.Compare(now, u.wave.due.Add(backTime)) > 0 {
			u.phase = back
		}
	}
}
