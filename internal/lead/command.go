package lead

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
	"gypsumtrestle.example/gypsumtrestle/internal/sched"
)

const (
	// commandRetryDelay follows a command that must be sent again.
	commandRetryDelay = 30 * time.Millisecond
	// overdueDelay is the time between two checks whether an overdue renewal has
	// succeeded.
	overdueDelay = 100 * time.Millisecond
)

// batchStarter is implemented by clients that send several starts to a runner in
// one message.
type batchStarter interface {
	StartAll(ctx context.Context, to runner.Target, t runner.Term, starts []runner.Start) []runner.StartOutcome
}

// send sends commands without waiting for their replies.
func (t *term) send(ctx context.Context, commands []sched.Command) {
	batcher, _ := t.cfg.Runners.(batchStarter)
	starts := make(map[runner.ID][]sched.Command)
	for i := range commands {
		switch c := commands[i]; c.Kind {
		case sched.MaintainMachine, sched.MoveMachine:
			t.spawn(func() { t.sendMachineCommand(ctx, c) })
		case sched.StartRun:
			t.wakePoller(c.To.ID)
			if batcher != nil {
				starts[c.To.ID] = append(starts[c.To.ID], c)
				continue
			}
			t.spawn(func() { t.sendCommand(ctx, c) })
		case sched.StopRun, sched.ThrottleRun:
			t.spawn(func() { t.sendCommand(ctx, c) })
		}
	}
	for _, batch := range starts {
		t.spawn(func() { t.sendStarts(ctx, batcher, batch) })
	}
}

// lockForSending locks the state to prepare a command or poll. It returns the present
// time, by which its lease is computed, and the time from which on it may not be sent.
// It waits while the last renewal is too old, as it is once the process was paused, and
// returns false, without the lock, when the term has ended.
func (t *term) lockForSending(ctx context.Context, deadline time.Duration) (now, until clock.BootTime, ok bool) {
	for ctx.Err() == nil {
		t.mu.Lock()
		now, until = clock.Now(), t.sendDeadline(deadline)
		if until.After(now) {
			return now, until, true
		}
		t.mu.Unlock()
		clock.Sleep(ctx, overdueDelay)
	}
	return 0, 0, false
}

// maxStarts bounds the starts of one message, which waits for the reply to each.
const maxStarts = 16

// sendStarts sends starts on one runner together. Those that must be sent again
// are sent one by one.
func (t *term) sendStarts(ctx context.Context, batcher batchStarter, batch []sched.Command) {
	if len(batch) > maxStarts {
		rest := batch[maxStarts:]
		t.spawn(func() { t.sendStarts(ctx, batcher, rest) })
		batch = batch[:maxStarts]
	}
	var starts []runner.Start
	var commands []sched.Command
	now, until, ok := t.lockForSending(ctx, StartDeadline)
	if !ok {
		return
	}
	for i := range batch {
		if s, needed := t.state.Prepare(&batch[i], now); needed {
			starts, commands = append(starts, s), append(commands, batch[i])
		}
	}
	t.mu.Unlock()
	if len(starts) == 0 {
		return
	}
	sent := clock.Now()
	for i, o := range batcher.StartAll(runner.WithSendDeadline(ctx, until), commands[0].To, t.id, starts) {
		c := commands[i]
		t.logFailure(ctx, &c, o.Err)
		if t.handleReply(&c, sent, o.Reply, o.Err) {
			t.spawn(func() {
				clock.Sleep(ctx, commandRetryDelay)
				t.sendCommand(ctx, c)
			})
		}
	}
}

// logFailure logs a command that got no reply, unless the term has ended.
func (t *term) logFailure(ctx context.Context, c *sched.Command, err error) {
	if err != nil && ctx.Err() == nil {
		t.logger.Log("msg", "command failed", "kind", c.Kind, "task", c.Task, "attempt", c.Attempt, "runner", c.To.ID, "err", err)
	}
}

// sendCommand sends one command, repeatedly until a reply gives its outcome or
// it is no longer needed.
func (t *term) sendCommand(ctx context.Context, c sched.Command) {
	deadline := RenewDeadline
	if c.Kind == sched.StartRun {
		deadline = StartDeadline
	}
	for {
		now, until, ok := t.lockForSending(ctx, deadline)
		if !ok {
			return
		}
		start, needed := t.state.Prepare(&c, now)
		t.mu.Unlock()
		if !needed {
			return
		}
		sctx := runner.WithSendDeadline(ctx, until)
		var reply runner.Reply
		var err error
		sent := clock.Now()
		switch c.Kind {
		case sched.StartRun:
			reply, err = t.cfg.Runners.Start(sctx, c.To, t.id, start)
		case sched.StopRun:
			reply, err = t.cfg.Runners.Stop(sctx, c.To, t.id, c.Task, c.Attempt)
		case sched.ThrottleRun:
			reply, err = t.cfg.Runners.Throttle(sctx, c.To, t.id, c.Task, c.Attempt, c.Percent)
		case sched.MaintainMachine, sched.MoveMachine:
			return // sendMachineCommand sends these
		}
		t.logFailure(ctx, &c, err)
		if !t.handleReply(&c, sent, reply, err) {
			return
		}
		clock.Sleep(ctx, commandRetryDelay)
	}
}

// handleReply handles the outcome of a command that was sent at the time sent, and
// reports whether the command must be sent again.
func (t *term) handleReply(c *sched.Command, sent clock.BootTime, reply runner.Reply, err error) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := clock.Now()
	if err == nil && t.handleRejection(c.To, reply, sent, now) && reply.Verdict == runner.Fenced {
		return false
	}
	again := t.state.HandleReply(c, reply, err == nil, !errors.Is(err, runner.ErrUnreachable), now)
	if !again {
		t.notify()
	}
	return again
}

// handleRejection handles replies that show that the term has ended or that the
// runner has a new incarnation. It reports whether the reply was one of these.
func (t *term) handleRejection(to runner.Target, reply runner.Reply, sent, now clock.BootTime) bool {
	switch reply.Verdict {
	case runner.Fenced:
		t.logger.Log("msg", "command fenced by a later term", "runner", to.ID)
		t.end(errLostLeadership)
		return true
	case runner.WrongIncarnation:
		t.state.RunnerReplaced(to, sent, now)
		t.notify()
		return true
	case runner.Accepted, runner.Superseded, runner.Expired, runner.NoCapacity, runner.NoPermit, runner.Unhealthy, runner.Invalid:
	}
	return false
}
