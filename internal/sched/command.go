package sched

import (
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/machine"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// Kind is the kind of a command.
type Kind int

// Kinds of commands.
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

// Command is a command to a runner or to a machine.
type Command struct {
	Kind    Kind
	To      runner.Target
	Task    job.Task
	Attempt int
	Percent int // of ThrottleRun
	Machine machine.ID
	Wave    int    // of MaintainMachine
	Pool    string // of MoveMachine
	// incarnation is the one of the runner when the command was queued. The
	// reply to a command concerns no run of a later one.
	incarnation runner.Incarnation
}

// start records a run, queues the command to start it and logs it.
func (s *State) start(t *task, rs *runnerState, attempt int, now clock.BootTime, why string) {
	s.schedule(t, rs, attempt, now)
	s.logScheduled(&scheduled{task: t, last: t, runner: rs, attempt: attempt, why: why}, now)
}

// schedule records a run and queues the command to start it.
func (s *State) schedule(t *task, rs *runnerState, attempt int, now clock.BootTime) {
	r := &run{
		task: t, attempt: attempt, runner: rs, demand: t.step.spec.Demand(), scheduledAt: now, throttle: 100, sending: true,
	}
	rs.add(r)
	t.releaseRoom()
	// A later term needs a record of any attempt after the first.
	if !t.job.started || attempt > 1 {
		t.job.started = true
		s.markChanged(t.job)
	}
	t.attempt = max(t.attempt, attempt)
	t.unreported = t.unreported || s.mayHaveResult(t)
	t.reserved, t.possibleResult, t.scheduled = 0, false, true
	s.commands = append(s.commands, Command{
		Kind: StartRun, To: rs.target(), Task: t.name, Attempt: attempt, incarnation: rs.Incarnation,
	})
}

// scheduled is a group of consecutive tasks of a step that were scheduled
// together on one runner.
type scheduled struct {
	task, last *task // the first and the last task
	runner     *runnerState
	attempt    int
	why        string
}

// extend adds a task to the group if it follows the last one, and reports
// whether it does.
func (g *scheduled) extend(t *task, rs *runnerState, attempt int) bool {
	if g.task == nil || g.runner != rs || g.attempt != attempt || t.name.Index != g.last.name.Index+1 {
		return false
	}
	g.last = t
	return true
}

func (s *State) logScheduled(g *scheduled, now clock.BootTime) {
	if g.task == nil {
		return
	}
	rs := g.runner
	s.Logger.Log("msg", "run scheduled", "task", g.task.name, "last", g.last.name.Index, "attempt", g.attempt, "runner", rs.ID, "service", rs.Service,
		"free", rs.free().CPU, "runs", len(rs.runs), "heard", now.Sub(rs.lastReply), "waited", now.Sub(g.task.job.acceptedAt), "why", g.why)
}

// stop queues the command to stop a run, unless it is being stopped.
func (s *State) stop(r *run, why string) {
	if r.phase == stopping {
		return
	}
	r.phase, r.stopReason, r.sending = stopping, why, true
	s.commands = append(s.commands, Command{
		Kind: StopRun, To: r.runner.target(), Task: r.task.name, Attempt: r.attempt, incarnation: r.runner.Incarnation,
	})
	s.Logger.Log("msg", "run stop requested", "task", r.task.name, "attempt", r.attempt, "runner", r.runner.ID, "why", why)
}

// resend queues starts and stops without a reply again once their runner replies
// to polls.
func (s *State) resend() {
	for _, rs := range s.runners {
		if rs.unreachable || !rs.replied {
			continue
		}
		for _, r := range rs.runs {
			c := Command{To: rs.target(), Task: r.task.name, Attempt: r.attempt, incarnation: rs.Incarnation}
			switch {
			case r.sending:
				continue
			case r.phase == starting:
				c.Kind = StartRun
			case r.phase == stopping && r.stopConfirmed == 0:
				c.Kind = StopRun
			default:
				continue
			}
			r.sending = true
			s.commands = append(s.commands, c)
		}
	}
}

// Commands returns the commands to send and clears them.
func (s *State) Commands() []Command {
	commands := s.commands
	s.commands = nil
	return commands
}

// isOutdated reports whether a command was queued for an earlier incarnation of
// its runner.
func (s *State) isOutdated(c *Command) bool {
	rs := s.runners[c.To.ID]
	return rs != nil && rs.Incarnation != c.incarnation
}

// findRun returns the run that a command refers to, or nil.
func (s *State) findRun(c *Command) *run {
	rs := s.runners[c.To.ID]
	if rs == nil || s.isOutdated(c) {
		return nil
	}
	r := rs.runs[c.Task]
	if r == nil || r.attempt != c.Attempt {
		return nil
	}
	return r
}

// Prepare reports whether a command is still needed and may be sent. For a start
// it returns the content, with the current lease end.
func (s *State) Prepare(c *Command, now clock.BootTime) (runner.Start, bool) {
	r := s.findRun(c)
	st, needed := s.prepare(c, r, now)
	if r != nil && !needed && (c.Kind == StopRun) == (r.phase == stopping) {
		r.sending = false
	}
	return st, needed
}

func (s *State) prepare(c *Command, r *run, now clock.BootTime) (runner.Start, bool) {
	switch c.Kind {
	case StopRun:
		// A stop for a run that is not in the state is sent once.
		return runner.Start{}, r == nil && !s.isOutdated(c) || r != nil && r.phase == stopping && r.stopConfirmed == 0
	case ThrottleRun:
		return runner.Start{}, r != nil && r.phase == running && r.throttle == c.Percent
	case StartRun, MaintainMachine, MoveMachine:
	}
	if r == nil || r.phase != starting || r.runner.unreachable || s.withholdStart(r, now) {
		return runner.Start{}, false
	}
	st := runner.Start{
		Task: c.Task, Attempt: c.Attempt, Spec: r.task.job.def.Spec, LeaseUntil: s.lease(r.runner, now),
	}
	st.Permit = r.ticket()
	if r.task.step.spec.Checkpointing {
		st.Checkpoint = r.task.checkpoint
		r.resumed = r.resumed || st.Checkpoint != ""
	}
	r.startSent = true
	return st, true
}

// rejectedDelay blocks starts on a runner that rejected one for insufficient
// capacity, a missing permit or its health, until the next poll has updated the
// state of the runner. It also delays the next start of a task that a runner rejected
// as invalid, which another may accept.
const rejectedDelay = 100 * time.Millisecond

// supersededAttemptGap is how many attempt numbers of a long-running task are skipped
// once a runner has rejected one as used before.
const supersededAttemptGap = 16

// HandleReply handles the reply to a command, or its absence if replied is
// false; sent is false if the command certainly did not reach the runner. It
// reports whether the command must be sent again.
func (s *State) HandleReply(c *Command, reply runner.Reply, replied bool, sent bool, now clock.BootTime) bool {
	r := s.findRun(c)
	again := s.handleReply(c, r, reply, replied, sent, now)
	if r != nil && !again && (c.Kind == StopRun) == (r.phase == stopping) {
		r.sending = false
	}
	return again
}

func (s *State) handleReply(c *Command, r *run, reply runner.Reply, replied bool, sent bool, now clock.BootTime) bool {
	if r == nil {
		return c.Kind == StopRun && !replied && s.runners[c.To.ID] != nil && !s.runners[c.To.ID].unreachable && !s.isOutdated(c)
	}
	if c.Kind == StartRun {
		r.startSent = false
	}
	if !replied {
		if c.Kind == StartRun && sent {
			r.startUnknown = true
			if r.replyUntil == 0 {
				r.replyUntil = now.Add(startTimeout)
			}
		}
		return !r.runner.unreachable
	}
	r.runner.lastReply = now
	switch c.Kind {
	case StartRun:
		s.handleStartReply(r, reply, now)
	case StopRun:
		if reply.Verdict == runner.Accepted || reply.Verdict == runner.Superseded {
			r.stopConfirmed = now
		}
	case ThrottleRun, MaintainMachine, MoveMachine:
	}
	return false
}

func (s *State) handleStartReply(r *run, reply runner.Reply, now clock.BootTime) {
	if reply.Verdict == runner.Accepted {
		r.task.job.begun = true
		if r.phase == starting {
			r.phase, r.confirmedAt, r.startSeen = running, now, true
		}
		return
	}
	rs := r.runner
	s.Logger.Log("msg", "run start rejected", "task", r.task.name, "attempt", r.attempt, "runner", rs.ID,
		"verdict", reply.Verdict, "unsure", r.startUnknown, "free", rs.free().CPU)
	switch reply.Verdict {
	case runner.NoCapacity, runner.Unhealthy, runner.NoPermit:
		rs.blockedUntil = now.Add(rejectedDelay)
	case runner.Expired:
		rs.clock = clock.Reading{RunnerTime: reply.Clock, ReceivedAt: now}
	case runner.Superseded:
		if r.phase == starting {
			// The run may have ended already; the next poll returns its result.
			r.phase, r.stopConfirmed = stopping, now
			if t := r.task; t.step.spec.LongRunning {
				// A former leader may have used many higher attempts without a record.
				t.sawAttempt(r.attempt + supersededAttemptGap)
			}
		}
		return
	case runner.Invalid:
		r.task.avoidRunner(rs.ID)
		r.task.notBefore = now.Add(rejectedDelay)
	case runner.Accepted, runner.Fenced, runner.WrongIncarnation:
	}
	if r.phase != starting {
		return
	}
	if r.startUnknown {
		s.stop(r, "start outcome unknown, then rejected")
		return
	}
	s.release(r, "start of a gang member rejected", now)
	if reply.Verdict == runner.NoPermit {
		delete(r.task.step.permits.byRunner, rs.ID)
	}
}
