package lead

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/kv"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
	"gypsumtrestle.example/gypsumtrestle/internal/sched"
)

const (
	// minPlanDelay is the minimum pause after a planning pass, so that one pass
	// handles the reports of several runners.
	minPlanDelay = 4 * time.Millisecond
	// planDelayPerRunner times the number of runners is that pause if it is
	// longer. With many runners a few milliseconds more let one pass, and the
	// messages that follow from it, handle many more reports.
	planDelayPerRunner = 10 * time.Microsecond
	// planInterval bounds the time that the planner waits for a wakeup.
	planInterval = 100 * time.Millisecond
	// flushDelay is the pause between two writes of progress, unless more rows
	// are waiting.
	flushDelay = 30 * time.Millisecond
	// pollInterval is the minimum pause after a successful poll, so that one
	// poll returns several results.
	pollInterval = 30 * time.Millisecond
	// pollIntervalPerRunner times the number of polled runners is the pause
	// between polls if it exceeds pollInterval, so that polling many runners
	// leaves the leader processor time for its other work. It applies to a
	// reference host; a slower one pauses longer.
	pollIntervalPerRunner = 400 * time.Microsecond
	// recordIntervalPerRunner times the number of runners is the time between two
	// writes of the roster and of the intents, within flushDelay and
	// maxRecordInterval. Both are written whole, and their size grows with the
	// number of runners. A machine that moves, for more than a second, waits for
	// each of them once.
	recordIntervalPerRunner = 500 * time.Microsecond
	maxRecordInterval       = 120 * time.Millisecond
	// idleFactor is the pause between two polls of an idle runner in multiples of
	// that of a busy one. A start ends the pause.
	idleFactor = 6
	// maxIdleInterval limits it: the runner's lease and the record of its clock
	// must stay recent.
	maxIdleInterval = 2 * time.Second
	// planDelayFactor is the pause after a planning pass in multiples of the
	// pass's duration.
	planDelayFactor = 3
	// pollRetryDelay follows a failed poll.
	pollRetryDelay = 200 * time.Millisecond
	// commandRetryDelay follows a command that must be sent again.
	commandRetryDelay = 30 * time.Millisecond
	// maxProgressRows is the maximum number of progress rows in one
	// transaction: each row has a condition and a write, and one condition is
	// on the leader key.
	maxProgressRows = (kv.MaxEntries - 1) / 2
)

// plan runs the planner and sends its commands until the term ends.
func (t *term) plan(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	var cfg *job.Config
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-t.wakeup:
		}
		started := clock.Now()
		t.mu.Lock()
		if c := t.cfg.CurrentConfig(); c != cfg && c != nil {
			cfg = c
			t.state.Configure(c)
		}
		t.state.Plan(clock.Now(), time.Now())
		commands := t.state.Commands()
		queries := t.state.PolicyQueries()
		t.mu.Unlock()
		took := clock.Now().Sub(started)
		for _, q := range queries {
			t.enqueue(q)
		}
		t.send(ctx, commands)
		clock.Sleep(ctx, max(minPlanDelay, planDelayFactor*took, time.Duration(t.pollerCount.Load())*planDelayPerRunner))
	}
}

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
	t.mu.Lock()
	now := clock.Now()
	for i := range batch {
		if s, needed := t.state.Prepare(&batch[i], now); needed {
			starts, commands = append(starts, s), append(commands, batch[i])
		}
	}
	t.mu.Unlock()
	if len(starts) == 0 {
		return
	}
	for i, o := range batcher.StartAll(ctx, commands[0].To, t.id, starts) {
		c := commands[i]
		t.logFailure(ctx, &c, o.Err)
		if t.handleReply(&c, o.Reply, o.Err) {
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
	for ctx.Err() == nil {
		t.mu.Lock()
		start, needed := t.state.Prepare(&c, clock.Now())
		t.mu.Unlock()
		if !needed {
			return
		}
		var reply runner.Reply
		var err error
		switch c.Kind {
		case sched.StartRun:
			reply, err = t.cfg.Runners.Start(ctx, c.To, t.id, start)
		case sched.StopRun:
			reply, err = t.cfg.Runners.Stop(ctx, c.To, t.id, c.Task, c.Attempt)
		case sched.ThrottleRun:
			reply, err = t.cfg.Runners.Throttle(ctx, c.To, t.id, c.Task, c.Attempt, c.Percent)
		case sched.MaintainMachine, sched.MoveMachine:
			return // sendMachineCommand sends these
		}
		t.logFailure(ctx, &c, err)
		if !t.handleReply(&c, reply, err) {
			return
		}
		clock.Sleep(ctx, commandRetryDelay)
	}
}

// handleReply handles the outcome of a command and reports whether the command
// must be sent again.
func (t *term) handleReply(c *sched.Command, reply runner.Reply, err error) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := clock.Now()
	if err == nil && t.handleRejection(c.To.ID, reply, now) {
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
func (t *term) handleRejection(id runner.ID, reply runner.Reply, now clock.BootTime) bool {
	switch reply.Verdict {
	case runner.Fenced:
		t.logger.Log("msg", "command fenced by a later term", "runner", id)
		t.end(errLostLeadership)
		return true
	case runner.WrongIncarnation:
		t.state.RunnerReplaced(id, now)
		t.notify()
		return true
	case runner.Accepted, runner.Superseded, runner.Expired, runner.NoCapacity, runner.NoPermit, runner.Unhealthy, runner.Invalid:
	}
	return false
}

// wakePoller ends the pause of an idle runner's poller, because a run is started
// there.
func (t *term) wakePoller(id runner.ID) {
	t.mu.Lock()
	wakeup := t.pollers[id]
	t.mu.Unlock()
	select {
	case wakeup <- struct{}{}:
	default: // also if there is no poller
	}
}

// poll polls one runner until the state no longer tracks it.
func (t *term) poll(ctx context.Context, id runner.ID, wakeup <-chan struct{}) {
	for ctx.Err() == nil {
		t.mu.Lock()
		interval := max(pollInterval, t.cfg.pollPause(len(t.pollers)))
		idle := t.state.Idle(id)
		req, ok := t.state.Poll(id, clock.Now())
		if !ok {
			delete(t.pollers, id)
			t.pollerCount.Store(int64(len(t.pollers)))
			t.mu.Unlock()
			return
		}
		t.mu.Unlock()
		sent := clock.Now()
		rep, reply, err := t.cfg.Runners.Poll(ctx, req.To, t.id, req.PollRequest)
		if ctx.Err() != nil {
			return
		}
		t.mu.Lock()
		now := clock.Now()
		switch {
		case err != nil || (rep == nil && !t.handleRejection(id, reply, now)):
			t.state.PollFailed(id, now)
		case rep != nil:
			if t.state.HandleReport(id, sent, now, rep) {
				t.notify()
			}
		}
		t.mu.Unlock()
		switch {
		case rep == nil:
			clock.Sleep(ctx, pollRetryDelay)
		case idle && len(rep.Running) == 0:
			pause(ctx, min(idleFactor*interval, maxIdleInterval), wakeup)
		default:
			clock.Sleep(ctx, interval)
		}
	}
}

// pollPause returns the pause between two polls of one of n runners that leaves
// this host processor time for its other work.
func (c *Config) pollPause(n int) time.Duration {
	p := time.Duration(n) * pollIntervalPerRunner
	if c.RelativeCores > 0 {
		p = time.Duration(float64(p) / c.RelativeCores)
	}
	return p
}

// pause waits for d, for a wakeup or for the end of the context.
func pause(ctx context.Context, d time.Duration, wakeup <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wakeup:
	case <-ctx.Done():
	}
}

// flushLoop stores progress as it changes.
func (t *term) flushLoop(ctx context.Context) {
	for ctx.Err() == nil {
		n, err := t.flush(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, errLostLeadership):
			t.end(errLostLeadership)
			return
		case err != nil:
			t.logger.Log("msg", "progress write failed", "err", err)
			clock.Sleep(ctx, retryDelay)
		case n < maxProgressRows:
			clock.Sleep(ctx, flushDelay)
		}
	}
}

// flush stores the roster if it has changed, confirms the term if needed,
// deletes expired jobs, and stores the intents, the status of waves and up to
// maxProgressRows rows of progress. It returns the number of rows.
func (t *term) flush(ctx context.Context) (int, error) {
	if now := clock.Now(); now.Sub(t.recordsStoredAt) >= t.recordInterval() {
		if err := t.storeRoster(ctx); err != nil {
			return 0, err
		}
		if err := t.storeIntents(ctx); err != nil {
			return 0, err
		}
		t.recordsStoredAt = now
	}
	if err := t.confirm(ctx); err != nil {
		return 0, err
	}
	t.deleteExpired(ctx)
	if err := t.storeWaves(ctx); err != nil {
		return 0, err
	}
	t.mu.Lock()
	rows := t.state.DirtyProgress(maxProgressRows)
	t.mu.Unlock()
	if len(rows) == 0 {
		return 0, nil
	}
	txn := kv.Txn{Conds: []kv.Cond{{Key: job.LeaderKey, Rev: kv.Revision(t.id)}}}
	for _, r := range rows {
		b, err := job.EncodeProgress(r.Progress)
		if err != nil {
			return 0, err
		}
		key := job.ProgressKey(r.ID)
		txn.Conds = append(txn.Conds, kv.Cond{Key: key, Rev: kv.Revision(r.Rev)})
		txn.Writes = append(txn.Writes, kv.Write{Key: key, Value: b})
	}
	rev, err := t.cfg.Store.Commit(ctx, txn)
	var conflict *kv.Conflict
	if errors.As(err, &conflict) {
		return len(rows), t.resolve(conflict, rows)
	}
	if err != nil {
		return 0, errors.Wrap(err, "store progress")
	}
	t.mu.Lock()
	t.state.ProgressStored(rows, rev)
	t.mu.Unlock()
	return len(rows), nil
}

// recordInterval returns the time between two writes of the roster and of the
// intents.
func (t *term) recordInterval() time.Duration {
	return min(max(flushDelay, time.Duration(t.pollerCount.Load())*recordIntervalPerRunner), maxRecordInterval)
}

// confirm checks in the store that this term still has the leader key, if a
// decision depends on that.
func (t *term) confirm(ctx context.Context) error {
	t.mu.Lock()
	now := clock.Now()
	needed := t.state.NeedsConfirmation(now)
	t.mu.Unlock()
	if !needed {
		return nil
	}
	it, err := t.cfg.Store.Get(ctx, job.LeaderKey)
	switch {
	case errors.Is(err, kv.ErrNotFound), err == nil && runner.Term(it.Rev) != t.id:
		return errLostLeadership
	case err != nil:
		return errors.Wrap(err, "confirm term")
	}
	t.mu.Lock()
	t.state.ConfirmTerm(now)
	t.mu.Unlock()
	t.notify()
	return nil
}

// resolve applies the revisions that a rejected transaction found: an earlier
// transaction of unknown outcome has taken effect. The rows are stored again.
func (t *term) resolve(c *kv.Conflict, rows []sched.ProgressRow) error {
	if runner.Term(c.Find(job.LeaderKey).Rev) != t.id {
		return errLostLeadership
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range rows {
		if it := c.Find(job.ProgressKey(r.ID)); int64(it.Rev) != r.Rev {
			t.state.ProgressConflict(r.ID, it.Rev)
		}
	}
	return nil
}

// storeRoster stores which runners may be used, before they are used.
func (t *term) storeRoster(ctx context.Context) error {
	t.mu.Lock()
	now := clock.Now()
	if t.rosterRev != 0 && !t.state.RosterChanged(now) {
		t.mu.Unlock()
		return nil
	}
	entries := t.state.Roster(now, false)
	t.mu.Unlock()
	b, err := cbor.Marshal(entries)
	if err != nil {
		return errors.Wrap(err, "encode roster")
	}
	rev, err := t.cfg.Store.Commit(ctx, kv.Txn{
		Conds: []kv.Cond{
			{Key: job.LeaderKey, Rev: kv.Revision(t.id)}, {Key: job.RosterKey, Rev: t.rosterRev},
		},
		Writes: []kv.Write{{Key: job.RosterKey, Value: b}},
	})
	var conflict *kv.Conflict
	if errors.As(err, &conflict) {
		if runner.Term(conflict.Find(job.LeaderKey).Rev) != t.id {
			return errLostLeadership
		}
		t.rosterRev = conflict.Find(job.RosterKey).Rev
		t.mu.Lock()
		t.state.RosterUnknown()
		t.mu.Unlock()
		return nil
	}
	if err != nil {
		if !errors.Is(err, kv.ErrRejected) {
			t.mu.Lock()
			t.state.RosterUnknown()
			t.mu.Unlock()
		}
		return errors.Wrap(err, "store roster")
	}
	t.rosterRev = rev
	t.mu.Lock()
	t.state.RosterStored(entries)
	t.mu.Unlock()
	t.notify()
	return nil
}

// maxExpiredJobs is how many jobs one transaction deletes, at three keys each.
const maxExpiredJobs = (kv.MaxEntries - 1) / 3

// deleteExpired deletes jobs whose outcome need no longer be retained.
func (t *term) deleteExpired(ctx context.Context) {
	t.mu.Lock()
	ids := t.state.TakeExpired(clock.Now(), maxExpiredJobs)
	t.mu.Unlock()
	if len(ids) == 0 {
		return
	}
	txn := kv.Txn{Conds: []kv.Cond{{Key: job.LeaderKey, Rev: kv.Revision(t.id)}}}
	for _, id := range ids {
		txn.Deletes = append(txn.Deletes, job.Key(id), job.CancelKey(id), job.ProgressKey(id))
	}
	if _, err := t.cfg.Store.Commit(ctx, txn); err != nil {
		// The next term finds these jobs again and deletes them.
		t.logger.Log("msg", "deletion of expired jobs failed", "jobs", len(ids), "err", err)
	}
}
