package sched

import (
	"cmp"
	"slices"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

const (
	// permitRunners is the maximum number of runners in a policy query. The
	// reply takes longer for each runner.
	permitRunners = 30
	// permitMargin is the validity that a permit must have left, for a command
	// to reach the runner.
	permitMargin = 300 * time.Millisecond
	// permitRetryDelay is the delay after a reply that allowed no runner, and
	// after a failed query.
	permitRetryDelay = 500 * time.Millisecond
	// maxBatchQueries bounds the queries for batch steps that are sent and have no
	// reply. The policy service takes them in turn, and long-running tasks wait behind
	// them.
	maxBatchQueries = 8
)

// permit allows the tasks of a step on one incarnation of a runner.
type permit struct {
	ticket      string
	incarnation runner.Incarnation
	until       clock.BootTime
}

// permits are the permits of a step.
type permits struct {
	byRunner  map[runner.ID]permit
	pending   bool
	notBefore clock.BootTime               // no query before this time
	denied    map[runner.ID]clock.BootTime // when a query last did not allow a runner
}

// PolicyQuery asks the policy service which runners may run a step.
type PolicyQuery struct {
	Step    string
	Runners []runner.ID
	step    *step
}

// AllowedRunner is a runner that may run the step, with the ticket that proves
// it.
type AllowedRunner struct {
	Runner runner.ID
	Ticket string
}

// permitted reports whether the policy of the step's queue allows a runner.
func (s *State) permitted(rs *runnerState, st *step, now clock.BootTime) bool {
	if !st.occ.job.hasPolicy() {
		return true
	}
	p, ok := st.permits.byRunner[rs.ID]
	return ok && p.incarnation == rs.Incarnation && p.until.After(now.Add(permitMargin))
}

// queryPolicy requests permits for a step if its queue has a policy, no query
// is pending and no runner that may take its next task has a permit.
func (s *State) queryPolicy(runners []*runnerState, st *step, now clock.BootTime) {
	if !st.occ.job.hasPolicy() || st.permits.pending || st.permits.notBefore.After(now) {
		return
	}
	if !st.spec.LongRunning && s.batchQueries >= maxBatchQueries {
		return
	}
	i := slices.IndexFunc(st.tasks, func(t *task) bool { return s.startable(t, now) })
	if i < 0 {
		return
	}
	var ids []runner.ID
	for _, rs := range runners {
		switch s.obstacleTo(rs, st.tasks[i], now) {
		case noObstacle:
			if rs.isolated == nil {
				return
			}
		case noPermit:
			ids = append(ids, rs.ID)
		}
	}
	if len(ids) == 0 {
		return
	}
	slices.SortFunc(ids, func(a, b runner.ID) int {
		return cmp.Or(cmp.Compare(st.permits.denied[a], st.permits.denied[b]), s.runners[b].free().CPU-s.runners[a].free().CPU)
	})
	ids = ids[:min(len(ids), permitRunners)]
	name := st.tasks[0].name.StepName()
	st.permits.pending = true
	if !st.spec.LongRunning {
		s.batchQueries++
	}
	s.policyQueries = append(s.policyQueries, PolicyQuery{Step: name, Runners: ids, step: st})
	s.Logger.Log("msg", "policy query sent", "step", name, "runners", len(ids))
}

// PolicyQueries returns the queries to send and clears them.
func (s *State) PolicyQueries() []PolicyQuery {
	q := s.policyQueries
	s.policyQueries = nil
	return q
}

// HandlePolicyReply handles the reply to a query; a failed query allows no
// runner. The permits are valid from the time at which the query was sent.
func (s *State) HandlePolicyReply(q *PolicyQuery, allowed []AllowedRunner, valid time.Duration, sent, now clock.BootTime) {
	p := &q.step.permits
	p.pending = false
	if !q.step.spec.LongRunning {
		s.batchQueries--
	}
	if p.byRunner == nil {
		p.byRunner, p.denied = make(map[runner.ID]permit), make(map[runner.ID]clock.BootTime)
	}
	for _, id := range q.Runners {
		p.denied[id] = now
	}
	for _, a := range allowed {
		delete(p.denied, a.Runner)
		if rs := s.runners[a.Runner]; rs != nil {
			p.byRunner[a.Runner] = permit{ticket: a.Ticket, incarnation: rs.Incarnation, until: sent.Add(valid)}
		}
	}
	if len(allowed) == 0 {
		p.notBefore = now.Add(permitRetryDelay)
	}
	s.Logger.Log("msg", "policy query finished", "step", q.Step, "allowed", len(allowed), "of", len(q.Runners), "valid", valid)
}

// ticket returns the permit to send with a start, or an empty string.
func (r *run) ticket() string { return r.task.step.permits.byRunner[r.runner.ID].ticket }
