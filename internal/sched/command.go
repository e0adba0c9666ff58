package sched

import (
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/machine"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// Kind is what an order asks for.
type Kind int

// Kinds.
const (
	StartRun Kind = iota
	StopRun
	ThrottleRun
	MaintainMachine
	MoveMachine
)

func (k Kind) String() string {
	return [...]string{"start", "stop", "pace", "upkeep", "move"}[k]
}

// Command is one order to a runner or to a machine.
type Command struct {
	Kind    Kind
	To      runner.Target
	Task    job.Task
	Attempt int
	Percent int // of PaceRun
	Machine machine.ID
	Wave    int    // of UpkeepMachine
	Pool    string // of MoveMachine
}

// start records a run and orders it.
func (s *State) start(t *task, n *node, attempt int, now clock.BootTime, why string) {
	r := &run{
		task: t, attempt: attempt, node: n, demand: t.step.spec.Demand(), ordered: now, pace: 100, sending: true,
	}
	n.add(r)
	// A later term has to know of an attempt after the first.
	if !t.work.begun || attempt > 1 {
		t.work.begun = true
		s.touch(t.work)
	}
	t.attempt = max(t.attempt, attempt)
	t.reserved, t.doubt = 0, false
	s.orders = append(s.orders, Command{
		Kind: StartRun, To: n.target(), Task: t.name, Attempt: attempt,
	})
	s.Logger.Log("msg", "run is ordered", "task", t.name, "attempt", attempt, "runner", n.ID, "service", n.Service,
		"free", n.free().CPU, "runs", len(n.runs), "heard", now.Sub(n.lastHeard), "waited", now.Sub(t.work.arrived), "why", why)
}

// stop orders the end of a run.
func (s *State) stop(r *run, why string) {
	if r.phase == stopping {
		return
	}
	r.phase, r.why, r.sending = stopping, why, true
	s.orders = append(s.orders, Command{
		Kind: StopRun, To: r.node.target(), Task: r.task.name, Attempt: r.attempt,
	})
	s.Logger.Log("msg", "run is stopped", "task", r.task.name, "attempt", r.attempt, "runner", r.node.ID, "why", why)
}

// resend orders again what a runner has not answered, once it answers looks.
func (s *State) resend() {
	for _, n := range s.nodes {
		if n.silent || !n.contacted {
			continue
		}
		for _, r := range n.runs {
			o := Command{To: n.target(), Task: r.task.name, Attempt: r.attempt}
			switch {
			case r.sending:
				continue
			case r.phase == starting:
				o.Kind = StartRun
			case r.phase == stopping && r.stopped == 0:
				o.Kind = StopRun
			default:
				continue
			}
			r.sending = true
			s.orders = append(s.orders, o)
		}
	}
}

// Commands takes the orders that are due.
func (s *State) Commands() []Command {
	o := s.orders
	s.orders = nil
	return o
}

// find returns the run that an order is about, or nil.
func (s *State) find(o *Command) *run {
	n := s.nodes[o.To.ID]
	if n == nil {
		return nil
	}
	r := n.runs[o.Task]
	if r == nil || r.attempt != o.Attempt {
		return nil
	}
	return r
}

// Prepare tells whether an order is still wanted. For a start it returns its
// content, with the lease as it is now.
func (s *State) Prepare(o *Command, now clock.BootTime) (runner.Start, bool) {
	r := s.find(o)
	st, wanted := s.prepare(o, r, now)
	if r != nil && !wanted && (o.Kind == StopRun) == (r.phase == stopping) {
		r.sending = false
	}
	return st, wanted
}

func (s *State) prepare(o *Command, r *run, now clock.BootTime) (runner.Start, bool) {
	switch o.Kind {
	case StopRun:
		// A stop of a run that the state does not know is sent once.
		return runner.Start{}, r == nil || (r.phase == stopping && r.stopped == 0)
	case ThrottleRun:
		return runner.Start{}, r != nil && r.phase == running && r.pace == o.Percent
	case StartRun, MaintainMachine, MoveMachine:
	}
	if r == nil || r.phase != starting || r.node.silent {
		return runner.Start{}, false
	}
	st := runner.Start{
		Task: o.Task, Attempt: o.Attempt, Spec: r.task.work.job.Spec, LeaseUntil: s.lease(r.node, now),
	}
	st.Permit = r.ticket()
	if r.task.step.spec.Checkpointing {
		st.Checkpoint = r.task.saved
	}
	return st, true
}

// refusedPause keeps starts from a runner that had no room or was unhealthy,
// until the next look has corrected what is known of it.
const refusedPause = 100 * time.Millisecond

// HandleReply takes the answer to an order, or that there was none. It tells
// whether the order must be sent again.
func (s *State) HandleReply(o *Command, reply runner.Reply, answered bool, sent bool, now clock.BootTime) bool {
	r := s.find(o)
	again := s.takeAnswer(o, r, reply, answered, sent, now)
	if r != nil && !again && (o.Kind == StopRun) == (r.phase == stopping) {
		r.sending = false
	}
	return again
}

func (s *State) takeAnswer(o *Command, r *run, reply runner.Reply, answered bool, sent bool, now clock.BootTime) bool {
	if r == nil {
		return o.Kind == StopRun && !answered && s.nodes[o.To.ID] != nil && !s.nodes[o.To.ID].silent
	}
	if !answered {
		if o.Kind == StartRun && sent {
			r.unsure = true
		}
		return !r.node.silent
	}
	switch o.Kind {
	case StartRun:
		s.startAnswered(r, reply, now)
	case StopRun:
		if reply.Verdict == runner.Accepted || reply.Verdict == runner.Superseded {
			r.stopped = now
		}
	case ThrottleRun, MaintainMachine, MoveMachine:
	}
	return false
}

func (s *State) startAnswered(r *run, reply runner.Reply, now clock.BootTime) {
	if reply.Verdict == runner.Accepted {
		if r.phase == starting {
			r.phase, r.confirmed = running, now
		}
		return
	}
	n := r.node
	s.Logger.Log("msg", "start is refused", "task", r.task.name, "attempt", r.attempt, "runner", n.ID,
		"verdict", reply.Verdict, "unsure", r.unsure, "free", n.free().CPU)
	switch reply.Verdict {
	case runner.NoCapacity, runner.Unhealthy, runner.NoPermit:
		n.blocked = now.Add(refusedPause)
	case runner.Expired:
		n.clock = clock.Reading{RunnerTime: reply.Clock, ReceivedAt: now}
	case runner.Superseded:
		if r.phase == starting {
			// The run may have ended already; the next look tells.
			r.phase, r.stopped = stopping, now
		}
		return
	case runner.Accepted, runner.Fenced, runner.WrongIncarnation, runner.Invalid:
	}
	if r.phase != starting {
		return
	}
	if r.unsure {
		s.stop(r, "start had no answer, then a refusal")
		return
	}
	n.drop(r)
	r.task.ended = now
	s.changed = true
	if reply.Verdict == runner.NoPermit {
		delete(r.task.step.permits.by, n.ID)
	}
	if r.task.step.spec.Gang {
		for _, t := range r.task.step.tasks {
			for _, x := range t.runs {
				s.stop(x, "a member of its gang was refused")
			}
		}
	}
}
