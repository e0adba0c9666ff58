package sched

import (
	"cmp"
	"slices"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/kv"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// Plan decides what to start and stop now. The wall clock serves only for jobs
// with times.
func (s *State) Plan(now clock.Boot, wall time.Time) {
	if s.cfg == nil {
		return
	}
	slow := now.Sub(s.slow) >= slowPlan
	if slow {
		s.slow = now
		s.expire(now)
		s.settle()
		s.resend()
		s.release(wall)
		s.planWaves(now)
		s.planPools(now)
	}
	pools := make(map[string][]*node)
	for _, n := range s.nodes {
		if len(n.runs) > 0 || n.idle == 0 {
			n.idle = now
		}
		if s.usable(n, now) {
			pools[n.Service] = append(pools[n.Service], n)
		}
	}
	for svc, ws := range s.open {
		ns := pools[svc]
		if len(ns) == 0 || len(ws) == 0 {
			continue
		}
		slices.SortFunc(ns, func(a, b *node) int { return cmp.Compare(a.ID, b.ID) })
		s.place(ns, ws, now)
		if slow {
			s.stragglers(ns, now)
		}
	}
	if slow {
		s.pace(now)
	}
}

// slowPlan is between two plans of what changes slowly: leases, orders that are
// sent again, waves, pools and paces.
const slowPlan = 30 * time.Millisecond

// returnGrace is how long a task that does not last waits after the lease of
// its run has lapsed. The runner may come back with an end of that run, and a
// second run would then have been for nothing.
const returnGrace = 2 * time.Second

// Confirm takes that this term still led at an instant: a call to the store
// that was sent then has shown so.
func (s *State) Confirm(at clock.Boot) { s.confirmed = max(s.confirmed, at) }

// Unconfirmed tells whether a decision waits for Confirm.
func (s *State) Unconfirmed(now clock.Boot) bool {
	for _, n := range s.nodes {
		if n.lapsedAt != 0 && len(n.runs) > 0 {
			return true
		}
	}
	for _, in := range s.inherited {
		if !in.until.After(now) {
			return true
		}
	}
	return false
}

// expire gives up the runs of runners whose lease has surely lapsed. A leader
// that does not know of its successor must not do so: the successor may reach
// the runner and extend the lease. It therefore waits until the store has
// confirmed, after the lapse, that this term still leads.
func (s *State) expire(now clock.Boot) {
	for _, n := range s.nodes {
		if !n.contacted || !n.silent || len(n.runs) == 0 || !n.lapsed(now) {
			n.lapsedAt = 0
		} else if n.lapsedAt == 0 {
			n.lapsedAt = now
		}
		if n.lapsedAt != 0 && s.confirmed.After(n.lapsedAt) {
			for _, r := range runsOf(n) {
				s.lost(r, "lease has lapsed", now)
				if !r.task.step.spec.Lasting {
					r.task.after = now.Add(returnGrace)
				}
			}
		}
		if !n.listed {
			s.forget(n, now)
		}
	}
}

// release creates the occurrences that are due.
func (s *State) release(wall time.Time) {
	for _, ws := range s.open {
		for _, w := range ws {
			if w.job.Repeats == 0 {
				continue
			}
			for k := len(w.occs); k < w.job.Occurrences(); k++ {
				if wall.Add(s.Limits.Early / 2).Before(w.job.Due(k)) {
					break
				}
				w.occurrence(k)
			}
		}
	}
}

// startable tells whether a task may be started now.
func (s *State) startable(t *task, now clock.Boot) bool {
	if t.done || t.live() || t.after.After(now) {
		return false
	}
	return s.known(t)
}

// bid is an occurrence that waits for room, with its rank.
type bid struct {
	occ      *occurrence
	lasting  bool
	priority int
	late     bool    // it can no longer meet its objective
	cores    float64 // work that remains, in core-seconds
}

// bids returns the occurrences that have tasks to start, best first.
func (s *State) bids(ws []*work, now clock.Boot) []bid {
	var bs []bid
	for _, w := range ws {
		q := s.queue(w)
		for _, o := range w.occs {
			if !s.wants(o, now) {
				continue
			}
			b := bid{occ: o, lasting: w.job.Lasting()}
			chain, cores := o.remaining()
			b.cores = cores
			if q != nil {
				b.priority = q.Priority
				b.late = s.late(w, chain, now)
			}
			bs = append(bs, b)
		}
	}
	slices.SortStableFunc(bs, func(a, b bid) int {
		return cmp.Or(
			-compareBool(a.lasting, b.lasting),
			cmp.Compare(a.priority, b.priority),
			compareBool(a.late, b.late),
			cmp.Compare(a.cores, b.cores),
		)
	})
	return bs
}

// late tells whether a job with the given chain left can no longer meet its
// objective.
func (s *State) late(w *work, chain time.Duration, now clock.Boot) bool {
	q := s.queue(w)
	return q != nil && now.Sub(w.arrived)+chain > q.Objective(w.chain)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// wants tells whether an occurrence has a task to start.
func (s *State) wants(o *occurrence, now clock.Boot) bool {
	for _, st := range o.steps {
		if st.complete() || !o.ready(st) {
			continue
		}
		for _, t := range st.tasks {
			if s.startable(t, now) {
				return true
			}
		}
	}
	return false
}

// place starts what fits on the usable runners of a service.
func (s *State) place(ns []*node, ws []*work, now clock.Boot) {
	most := largest(ns)
	for _, b := range s.bids(ws, now) {
		for _, st := range b.occ.steps {
			if st.complete() || !b.occ.ready(st) {
				continue
			}
			if !st.spec.Demand().Fits(most) {
				continue
			}
			s.question(ns, st, now)
			if st.spec.Gang {
				s.placeGang(ns, st, now)
				continue
			}
			for _, t := range st.tasks {
				if !s.startable(t, now) {
					continue
				}
				n := s.choose(ns, t, now)
				if n == nil {
					break // the other tasks of the step are equal
				}
				s.start(t, n, s.nextAttempt(t), now, reason(b, n, t))
			}
			most = largest(ns)
		}
	}
}

// largest returns the most room of each kind that any runner has free.
func largest(ns []*node) job.Room {
	var most job.Room
	for _, n := range ns {
		f := n.free()
		most = job.Room{CPU: max(most.CPU, f.CPU), Mem: max(most.Mem, f.Mem), GPU: max(most.GPU, f.GPU)}
	}
	return most
}

// reason says why a task was placed where it was.
func reason(b bid, n *node, t *task) string {
	switch {
	case t.step.spec.Rack != "" && n.Rack == t.step.spec.Rack:
		return "near its data"
	case b.lasting:
		return "lasting"
	case b.late:
		return "late"
	}
	return "in time"
}

// nextAttempt is the number of the next run. A term that inherits a task does
// not know the numbers of runs that left no trace.
func (s *State) nextAttempt(t *task) int {
	if t.work.created < kv.Revision(s.Term) && t.ended == 0 {
		return t.attempt + inheritedStep
	}
	return t.attempt + 1
}

// inheritedStep leaves room for the runs of earlier terms that are unknown.
const inheritedStep = 4

// choose returns the best runner for a task, or nil if none has room.
func (s *State) choose(ns []*node, t *task, now clock.Boot) *node {
	var best *node
	var bestScore [4]int
	for _, n := range ns {
		if !s.allowed(n, t, now) {
			continue
		}
		sc := score(n, t)
		if best == nil || slices.Compare(sc[:], bestScore[:]) > 0 {
			best, bestScore = n, sc
		}
	}
	return best
}

// allowed tells whether a task may run on a runner.
func (s *State) allowed(n *node, t *task, now clock.Boot) bool {
	sp := t.step.spec
	if !s.permitted(n, t.step, now) {
		return false
	}
	if !sp.Demand().Fits(n.free()) || !n.Has(sp.Label) || !n.health.allows(now, len(n.runs)) {
		return false
	}
	if n.runs[t.name] != nil {
		return false
	}
	return sp.PerRunner == 0 || peers(n, t) < sp.PerRunner
}

// peers counts the tasks of the same step on a runner.
func peers(n *node, t *task) int {
	c := 0
	for _, r := range n.runs {
		if r.task.step == t.step {
			c++
		}
	}
	return c
}

// score ranks a runner for a task; each figure matters only where the earlier
// ones are equal.
func score(n *node, t *task) [4]int {
	sp := t.step.spec
	var sc [4]int
	if !slices.Contains(t.avoid, n.ID) {
		sc[0] = 1
	}
	if sp.Rack != "" && n.Rack == sp.Rack {
		sc[1] = 1
	}
	if sp.Lasting {
		// Few runners hold lasting tasks, so that the others can move between
		// pools, but the tasks of one step are spread over racks.
		sc[1] = -rackPeers(n, t)
		if n.lasting > 0 {
			sc[2] = 1
		}
		sc[3] = n.free().CPU
		return sc
	}
	if sp.Fills && n.serving > 0 {
		sc[2] = -1
	}
	// Tasks that end are packed, so that idle runners stay idle.
	sc[3] = -n.free().CPU
	return sc
}

// rackPeers counts the runs of the same step in a runner's rack.
func rackPeers(n *node, t *task) int {
	c := 0
	for _, x := range t.step.tasks {
		for _, r := range x.runs {
			if r.node.Rack == n.Rack {
				c++
			}
		}
	}
	return c
}

// placeGang starts all tasks of a step at once, or none.
func (s *State) placeGang(ns []*node, st *step, now clock.Boot) {
	attempt, saved := 0, ""
	for _, t := range st.tasks {
		if !s.startable(t, now) {
			return
		}
		attempt = max(attempt, s.nextAttempt(t))
		if t.saved != "" {
			saved = t.saved
		}
	}
	for _, group := range rackGroups(ns, st.spec) {
		chosen := s.fitGang(group, st, now)
		if chosen == nil {
			continue
		}
		for i, t := range st.tasks {
			t.saved = saved
			s.start(t, chosen[i], attempt, now, "gang")
		}
		return
	}
}

// rackGroups returns the sets of runners to try for a gang: each rack first if
// its tasks are slow across racks, then all.
func rackGroups(ns []*node, sp *job.Step) [][]*node {
	if !sp.SameRack {
		return [][]*node{ns}
	}
	byRack := make(map[string][]*node)
	var racks []string
	for _, n := range ns {
		if byRack[n.Rack] == nil {
			racks = append(racks, n.Rack)
		}
		byRack[n.Rack] = append(byRack[n.Rack], n)
	}
	slices.SortFunc(racks, func(a, b string) int {
		return cmp.Or(-compareBool(a == sp.Rack, b == sp.Rack), cmp.Compare(a, b))
	})
	var groups [][]*node
	for _, r := range racks {
		groups = append(groups, byRack[r])
	}
	return append(groups, ns)
}

// fitGang chooses a runner for each task of a gang, or returns nil.
func (s *State) fitGang(ns []*node, st *step, now clock.Boot) []*node {
	free := make(map[runner.ID]job.Room, len(ns))
	count := make(map[runner.ID]int, len(ns))
	for _, n := range ns {
		free[n.ID] = n.free()
	}
	d := st.spec.Demand()
	var chosen []*node
	for _, t := range st.tasks {
		var best *node
		for _, n := range ns {
			if !s.allowed(n, t, now) || !d.Fits(free[n.ID]) {
				continue
			}
			if st.spec.PerRunner > 0 && count[n.ID] >= st.spec.PerRunner {
				continue
			}
			if best == nil || free[n.ID].CPU > free[best.ID].CPU {
				best = n
			}
		}
		if best == nil {
			return nil
		}
		free[best.ID] = free[best.ID].Sub(d)
		count[best.ID]++
		chosen = append(chosen, best)
	}
	return chosen
}
