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

// RosterEntry is a runner on which something may run, as a later term must know
// it. The roster in the store is never behind: a runner gets an order or a
// longer lease only while its stored row is open.
type RosterEntry struct {
	ID runner.ID `cbor:"1,keyasint"`
	// Closed tells that the runner gets no new runs and no longer lease, so
	// that only Tasks may run there, or have ended there with the store not
	// knowing yet, and not for longer than Left.
	Closed bool `cbor:"2,keyasint,omitempty"`
	// Remaining of a row that is not closed tells that its term has not reached the
	// runner: any task may run there, but not for longer. Zero is no bound.
	Remaining time.Duration `cbor:"3,keyasint,omitempty"`
	Tasks     []string      `cbor:"4,keyasint,omitempty"`
	// Addr lets a later term ask a runner that the store no longer lists.
	Addr netip.AddrPort `cbor:"5,keyasint"`
}

// inherited is a row of an earlier term whose runner this term has not reached.
type inherited struct {
	closed bool
	addr   netip.AddrPort
	until  clock.BootTime // nothing of an earlier term runs after this
	tasks  []job.Task
}

const (
	// leftStep rounds the time left of a closed row, so that the roster is not
	// stored at every change.
	leftStep = 2 * time.Second
	// slowClock lengthens a lease by more than a runner's clock may be slow.
	slowClock = 1.03
)

// InheritRoster takes the roster of earlier terms. The term must not have begun to
// plan.
func (s *State) InheritRoster(rows []RosterEntry) {
	for _, r := range rows {
		in := &inherited{closed: r.Closed, addr: r.Addr, until: s.began.Add(s.Limits.RunnerTakeover)}
		if r.Closed || r.Remaining > 0 {
			in.until = s.began.Add(time.Duration(float64(r.Remaining) * slowClock))
		}
		for _, name := range r.Tasks {
			t, err := job.ParseTask(name)
			if err != nil {
				s.Logger.Log("msg", "roster names a task that cannot be read", "runner", r.ID, "err", err)
				in.closed = false
				in.until = s.began.Add(s.Limits.RunnerTakeover)
				continue
			}
			in.tasks = append(in.tasks, t)
		}
		s.inherited[r.ID] = in
		if s.nodes[r.ID] == nil && r.Addr.IsValid() {
			s.nodes[r.ID] = newNode(runner.Info{ID: r.ID, Addr: r.Addr})
		}
	}
	s.RosterStored(rows)
}

// UnregisteredRunners returns the runners of the roster that the store does not list, so
// that they are looked at.
func (s *State) UnregisteredRunners() []runner.ID {
	var ids []runner.ID
	for id, n := range s.nodes {
		if !n.listed {
			ids = append(ids, id)
		}
	}
	return ids
}

// Roster returns the rows that the store must hold now. Runners without an open
// row get no orders from here on, until one is stored.
func (s *State) Roster(now clock.BootTime, closing bool) []RosterEntry {
	var rows []RosterEntry
	for id, n := range s.nodes {
		r, ok := s.rosterRow(n, now, closing)
		if ok {
			rows = append(rows, r)
		}
		if !ok || r.Closed || r.Remaining > 0 {
			s.rostered[id] = false
		}
	}
	for id, in := range s.inherited {
		if s.nodes[id] == nil {
			rows = append(rows, in.row(id, now))
		}
	}
	slices.SortFunc(rows, func(a, b RosterEntry) int { return cmp.Compare(a.ID, b.ID) })
	return rows
}

// row returns the row of a runner that this term has not reached.
func (in *inherited) row(id runner.ID, now clock.BootTime) RosterEntry {
	r := RosterEntry{ID: id, Closed: in.closed, Remaining: max(roundLeft(in.until.Sub(now)), leftStep), Addr: in.addr}
	if in.closed {
		for _, t := range in.tasks {
			r.Tasks = append(r.Tasks, t.String())
		}
	}
	return r
}

func (s *State) rosterRow(n *node, now clock.BootTime, closing bool) (RosterEntry, bool) {
	if in := s.inherited[n.ID]; in != nil && !n.contacted {
		return in.row(n.ID, now), true
	}
	if n.over || !n.contacted {
		return RosterEntry{}, false
	}
	if !n.silent && !closing {
		return RosterEntry{ID: n.ID, Addr: n.Addr}, n.listed || len(n.runs) > 0 || n.unsettled()
	}
	if len(n.runs) == 0 && !n.unsettled() {
		return RosterEntry{}, false
	}
	left := time.Duration(n.until-n.clock.LowerBound(now)) * time.Millisecond
	if closing {
		left = s.Limits.MaxRunnerLease
	}
	r := RosterEntry{ID: n.ID, Closed: true, Remaining: roundLeft(left), Addr: n.Addr}
	for _, x := range runsOf(n) {
		r.Tasks = append(r.Tasks, x.task.name.String())
	}
	if n.unsettled() {
		// The store may not show these ends yet; a later term must see them
		// before it starts the tasks again.
		for _, e := range n.ends {
			r.Tasks = append(r.Tasks, e.task.String())
		}
	}
	return r, true
}

func roundLeft(d time.Duration) time.Duration {
	return max(d+leftStep-1, 0).Truncate(leftStep)
}

// RosterStored takes that the store holds a roster.
func (s *State) RosterStored(rows []RosterEntry) {
	clear(s.rostered)
	for _, r := range rows {
		s.rostered[r.ID] = !r.Closed && r.Remaining == 0
	}
}

// settle forgets rows of earlier terms that no longer matter, and collects the
// tasks that may run on the runners of the others.
func (s *State) settle() {
	if len(s.inherited) == 0 {
		s.reached, s.possible = true, nil
		return
	}
	s.reached, s.possible = true, make(map[job.Task]bool)
	for id, in := range s.inherited {
		if s.confirmed.After(in.until) {
			s.Logger.Log("msg", "runs of earlier terms have lapsed", "runner", id, "closed", in.closed, "tasks", len(in.tasks))
			delete(s.inherited, id)
			s.changed, s.unseen = true, true
			continue
		}
		s.reached = s.reached && in.closed
		for _, t := range in.tasks {
			s.possible[t] = true
		}
	}
}

// known tells whether all runs of a task that earlier terms may have started
// are known.
func (s *State) known(t *task) bool {
	if t.work.created > kv.Revision(s.Term) {
		return true
	}
	return s.reached && !s.possible[t.name]
}
