package sched

import (
	"slices"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

const (
	// permitRunners is how many runners are asked for at once. The answer takes
	// longer for each.
	permitRunners = 30
	// permitMargin of a permit's time must be left for an order to arrive.
	permitMargin = 300 * time.Millisecond
	// permitRetry follows an answer that allowed no runner, or none at all.
	permitRetry = 500 * time.Millisecond
)

// permit allows the tasks of a step on one life of a runner.
type permit struct {
	ticket string
	life   runner.Incarnation
	until  clock.BootTime
}

// permits is what the policy service has said of a step.
type permits struct {
	by     map[runner.ID]permit
	asking bool
	after  clock.BootTime // not asked again before this
}

// PolicyQuery asks the policy service which runners may run a step.
type PolicyQuery struct {
	Step    string
	Runners []runner.ID
	step    *step
}

// AllowedRunner is a runner that may run the step, with the ticket that proves it.
type AllowedRunner struct {
	Runner runner.ID
	Ticket string
}

// permitted tells whether the policy of the task's queue allows a runner.
func (s *State) permitted(n *node, st *step, now clock.BootTime) bool {
	q := s.queue(st.occ.work)
	if q == nil || q.Policy == nil {
		return true
	}
	p, ok := st.permits.by[n.ID]
	return ok && p.life == n.Incarnation && p.until.After(now.Add(permitMargin))
}

// question asks for permits of a step if its queue has a policy, no question is
// open and no usable runner with room has a permit.
func (s *State) question(ns []*node, st *step, now clock.BootTime) {
	q := s.queue(st.occ.work)
	if q == nil || q.Policy == nil || st.permits.asking || st.permits.after.After(now) {
		return
	}
	var ids []runner.ID
	for _, n := range ns {
		if !st.spec.Demand().Fits(n.free()) || !n.HasLabel(st.spec.Label) {
			continue
		}
		if s.permitted(n, st, now) {
			return
		}
		ids = append(ids, n.ID)
	}
	if len(ids) == 0 {
		return
	}
	slices.SortFunc(ids, func(a, b runner.ID) int { return s.nodes[b].free().CPU - s.nodes[a].free().CPU })
	ids = ids[:min(len(ids), permitRunners)]
	name := st.tasks[0].name.StepName()
	st.permits.asking = true
	s.questions = append(s.questions, PolicyQuery{Step: name, Runners: ids, step: st})
	s.Logger.Log("msg", "policy is asked", "step", name, "runners", len(ids))
}

// PolicyQueries takes the questions that are due.
func (s *State) PolicyQueries() []PolicyQuery {
	q := s.questions
	s.questions = nil
	return q
}

// HandlePolicyReply takes the answer to a question; valid counts from when it was sent.
func (s *State) HandlePolicyReply(q *PolicyQuery, allowed []AllowedRunner, valid time.Duration, sent, now clock.BootTime) {
	p := &q.step.permits
	p.asking = false
	if p.by == nil {
		p.by = make(map[runner.ID]permit)
	}
	for _, a := range allowed {
		if n := s.nodes[a.Runner]; n != nil {
			p.by[a.Runner] = permit{ticket: a.Ticket, life: n.Incarnation, until: sent.Add(valid)}
		}
	}
	if len(allowed) == 0 {
		p.after = now.Add(permitRetry)
	}
	s.Logger.Log("msg", "policy has answered", "step", q.Step, "allowed", len(allowed), "of", len(q.Runners), "valid", valid)
}

// ticket is the permit to send with a start, or an empty text.
func (r *run) ticket() string { return r.task.step.permits.by[r.node.ID].ticket }
