package sched

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/kv"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// RosterEntry records for later terms that tasks may run on a runner. The
// stored roster is written ahead: a runner is given new runs and a longer
// lease only while its stored entry is open.
type RosterEntry struct {
	ID runner.ID `cbor:"1,keyasint"`
	// Closed is set if the runner is sent no new runs and no longer lease. Then
	// only Tasks may run there, or may have ended there without the store
	// recording it yet, and for no longer than Remaining.
	Closed bool `cbor:"2,keyasint,omitempty"`
	// Remaining of an open entry is set if the runner has not replied in the
	// term of the entry: any task may run there, for no longer than this time.
	// Zero means no bound.
	Remaining time.Duration `cbor:"3,keyasint,omitempty"`
	Tasks     []string      `cbor:"4,keyasint,omitempty"`
	// Addr allows a later term to poll a deregistered runner.
	Addr netip.AddrPort `cbor:"5,keyasint"`
	// Incarnation is the one that replied at Addr; zero if it is not known. The
	// entry does not allow the use of another one: a former leader, which cannot
	// store the roster, must not use one that the present leader may not know.
	Incarnation runner.Incarnation `cbor:"6,keyasint,omitempty"`
	// Machine is the one that the runner runs on; empty if it is not known. The list
	// of machines shows a later term that a runner without an entry in the store has
	// ended.
	Machine string `cbor:"7,keyasint,omitempty"`
}

// unreportedMark is the roster entry which records that a lease expired and its
// runner has not replied since, so that it may still report results of runs that were
// abandoned.
// An earlier version of the program takes it for a closed entry without tasks.
var unreportedMark = RosterEntry{Closed: true, Remaining: remainingStep}

// isMarked reports whether the roster needs the mark: the runs of a runner were
// abandoned and it has not replied since, or the entry of one expired in this or a
// previous term and a runner has not replied in this one.
func (s *State) isMarked() bool {
	for _, rs := range s.runners {
		if rs.unreported || s.expiredUnreached && !rs.replied {
			return true
		}
	}
	return false
}

// inherited is a roster entry of a previous term whose runner has not replied
// in this term.
type inherited struct {
	closed      bool
	reached     bool // the runner had replied to the previous leader, which may have extended its lease
	unreached   bool // it had not, and got no start and no longer lease from it
	addr        netip.AddrPort
	incarnation runner.Incarnation
	machine     string
	until       clock.BootTime // no run of a previous term outlasts this time
	// lastStart is the time after which no previous leader starts tasks on the runner, or
	// on a later incarnation that it takes for this one.
	lastStart clock.BootTime
	tasks     []job.Task
}

const (
	// remainingStep is the granularity of Remaining, so that the roster is not
	// stored at every change.
	remainingStep = 2 * time.Second
	// slowClockFactor lengthens a lease by more than a runner's clock may be
	// slow.
	slowClockFactor = 1.03
)

// InheritRoster adds the roster of previous terms. It must be called before the
// first plan of the term.
func (s *State) InheritRoster(entries []RosterEntry) {
	latest := s.startedAt.Add(s.Limits.RunnerTakeover)
	for _, e := range entries {
		if e.equal(unreportedMark) && e.ID == unreportedMark.ID {
			s.expiredUnreached = true
			continue
		}
		in := &inherited{closed: e.Closed, addr: e.Addr, incarnation: e.Incarnation, machine: e.Machine, until: latest}
		in.reached, in.unreached = !e.Closed && e.Remaining == 0, !e.Closed && e.Remaining > 0
		if !in.reached {
			in.until = s.startedAt.Add(time.Duration(float64(e.Remaining) * slowClockFactor))
		}
		if !in.closed {
			in.until = min(in.until, latest) // Remaining is rounded up in each term
		}
		in.lastStart = in.until.Add(-s.leaseTime())
		for _, name := range e.Tasks {
			t, err := job.ParseTask(name)
			if err != nil {
				s.Logger.Log("msg", "invalid task name in roster", "runner", e.ID, "err", err)
				in.closed, in.reached, in.unreached = false, false, false
				in.until, in.lastStart = latest, latest.Add(-s.leaseTime())
				continue
			}
			in.tasks = append(in.tasks, t)
		}
		s.inherited[e.ID] = in
		if !e.Addr.IsValid() {
			continue
		}
		rs := s.runners[e.ID]
		if rs == nil {
			rs = newRunnerState(runner.Info{ID: e.ID, Addr: e.Addr, Incarnation: e.Incarnation, Machine: e.Machine})
			if e.Machine != "" {
				rs.described = e.Incarnation
			}
			s.runners[e.ID] = rs
			s.index(rs)
		}
		if rs.Incarnation == e.Incarnation && e.Incarnation != 0 {
			rs.confirmedAddr = e.Addr
		}
	}
	s.RosterStored(entries)
}

// InheritUnknownRoster records that the roster of previous terms cannot be read:
// tasks that were accepted before this term may run on unknown runners until
// their leases have expired.
func (s *State) InheritUnknownRoster() {
	until := s.startedAt.Add(s.Limits.RunnerTakeover)
	s.inherited[""] = &inherited{until: until, lastStart: until.Add(-s.leaseTime())}
}

// UnregisteredRunners returns the runners that have no entry in the store, such
// as those known only from the roster, so that they are polled.
func (s *State) UnregisteredRunners() []runner.ID {
	var ids []runner.ID
	for id, rs := range s.runners {
		if !rs.registered {
			ids = append(ids, id)
		}
	}
	return ids
}

// equal reports whether two entries of a runner are the same.
func (e RosterEntry) equal(o RosterEntry) bool {
	return e.Incarnation == o.Incarnation && e.Machine == o.Machine && e.Closed == o.Closed && e.Remaining == o.Remaining && e.Addr == o.Addr && slices.Equal(e.Tasks, o.Tasks)
}

// RosterChanged reports whether the roster that must be stored now differs from
// the one that the store holds.
func (s *State) RosterChanged(now clock.BootTime) bool {
	if s.storedRoster == nil {
		return true
	}
	n := 0
	for id, rs := range s.runners {
		e, ok := s.rosterEntry(rs, now, false)
		if !ok {
			continue
		}
		if stored, found := s.storedRoster[id]; !found || !e.equal(stored) {
			return true
		}
		if !e.Closed && e.Remaining == 0 {
			s.rostered[id] = true // a write that would have closed it was rejected
		}
		n++
	}
	for id, in := range s.inherited {
		if s.runners[id] != nil {
			continue
		}
		if stored, found := s.storedRoster[id]; !found || !in.entry(id, now).equal(stored) {
			return true
		}
		n++
	}
	if s.isMarked() && s.inherited[unreportedMark.ID] == nil {
		if _, found := s.storedRoster[unreportedMark.ID]; !found {
			return true
		}
		n++
	}
	return n != len(s.storedRoster)
}

// RosterUnknown records that a write of the roster may have taken effect, so
// that the store may hold either roster. Runners that only one of them has open
// are not used until a roster is certainly stored.
func (s *State) RosterUnknown() { s.storedRoster = nil }

// Roster returns the roster that must be stored now. Runners without an open
// entry are given no new runs and no longer lease from this call on, until one is
// stored. With closing set, for a leader that steps down, the entries of the
// runners that replied in this term are closed.
func (s *State) Roster(now clock.BootTime, closing bool) []RosterEntry {
	var entries []RosterEntry
	for id, rs := range s.runners {
		e, ok := s.rosterEntry(rs, now, closing)
		if ok {
			entries = append(entries, e)
		}
		if !ok || e.Closed || e.Remaining > 0 {
			s.rostered[id] = false
		}
	}
	for id, in := range s.inherited {
		if s.runners[id] == nil {
			entries = append(entries, in.entry(id, now))
		}
	}
	if s.isMarked() && s.inherited[unreportedMark.ID] == nil {
		entries = append(entries, unreportedMark)
	}
	slices.SortFunc(entries, func(a, b RosterEntry) int { return cmp.Compare(a.ID, b.ID) })
	return entries
}

// entry returns the roster entry of a runner that has not replied in this term.
func (in *inherited) entry(id runner.ID, now clock.BootTime) RosterEntry {
	e := RosterEntry{ID: id, Closed: in.closed, Remaining: max(roundRemaining(in.until.Sub(now)), remainingStep), Addr: in.addr, Incarnation: in.incarnation, Machine: in.machine}
	if in.closed {
		for _, t := range in.tasks {
			e.Tasks = append(e.Tasks, t.String())
		}
	}
	return e
}

func (s *State) rosterEntry(rs *runnerState, now clock.BootTime, closing bool) (RosterEntry, bool) {
	if in := s.inherited[rs.ID]; in != nil && !rs.replied {
		return in.entry(rs.ID, now), true
	}
	if rs.ended || !rs.replied {
		return RosterEntry{}, false
	}
	if !rs.unreachable && !closing {
		return RosterEntry{ID: rs.ID, Addr: rs.confirmedAddr, Incarnation: rs.Incarnation, Machine: rs.Machine}, rs.registered || len(rs.runs) > 0 || rs.hasUnacked()
	}
	if len(rs.runs) == 0 && !rs.hasUnacked() {
		return RosterEntry{}, false
	}
	remaining := time.Duration(rs.leaseUntil-rs.clock.LowerBound(now)) * time.Millisecond
	if closing {
		remaining = s.Limits.MaxRunnerLease
	}
	e := RosterEntry{ID: rs.ID, Closed: true, Remaining: roundRemaining(remaining), Addr: rs.confirmedAddr, Incarnation: rs.Incarnation, Machine: rs.Machine}
	for _, x := range runsOf(rs) {
		e.Tasks = append(e.Tasks, x.task.name.String())
	}
	if rs.hasUnacked() {
		// The store may not have the effect of these results yet. A later term
		// must receive them before it starts the tasks again.
		for _, a := range rs.unacked {
			e.Tasks = append(e.Tasks, a.task.String())
		}
	}
	return e, true
}

func roundRemaining(d time.Duration) time.Duration {
	return max(d+remainingStep-1, 0).Truncate(remainingStep)
}

// RosterStored records that the store holds a roster.
func (s *State) RosterStored(entries []RosterEntry) {
	clear(s.rostered)
	s.storedRoster = make(map[runner.ID]RosterEntry, len(entries))
	for _, e := range entries {
		rs := s.runners[e.ID]
		s.rostered[e.ID] = !e.Closed && e.Remaining == 0 && (rs == nil || e.Incarnation == rs.Incarnation || !rs.isConfirmed())
		s.storedRoster[e.ID] = e
	}
}

// resolveInherited removes inherited entries that have expired, once the store has
// confirmed since that this term still leads, and collects the tasks that may run
// on the runners of the others.
func (s *State) resolveInherited() {
	if len(s.inherited) == 0 {
		s.noOpenInherited, s.possiblyRunning = true, nil
		return
	}
	s.noOpenInherited, s.possiblyRunning = true, make(map[job.Task]bool)
	for id, in := range s.inherited {
		if s.confirmedAt.After(in.until) {
			s.Logger.Log("msg", "roster entry of previous term expired", "runner", id, "closed", in.closed, "tasks", len(in.tasks))
			delete(s.inherited, id)
			s.expiredUnreached = true
			continue
		}
		s.noOpenInherited = s.noOpenInherited && in.closed
		for _, t := range in.tasks {
			s.possiblyRunning[t] = true
		}
	}
}

// runsKnown reports whether all runs of a task that previous terms may have
// started are in the state.
func (s *State) runsKnown(t *task) bool {
	if t.job.created > kv.Revision(s.Term) {
		return true
	}
	return s.noOpenInherited && !s.possiblyRunning[t.name]
}
