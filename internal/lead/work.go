package lead

import (
	"context"
	"reflect"
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
	// planGap is the least time between two plans, so that one plan answers the
	// reports of several runners.
	planGap = 4 * time.Millisecond
	// planPeriod is the longest time between two plans.
	planPeriod = 100 * time.Millisecond
	// flushGap is the least time between two writes of progress.
	flushGap = 30 * time.Millisecond
	// lookGap follows each look, so that one look brings several ends.
	lookGap = 30 * time.Millisecond
	// lookShare is added to the gap for each runner, so that the looks at many
	// runners leave the leader processor time for its other work.
	lookShare = 400 * time.Microsecond
	// planShare is how many times as long as a plan took the next one waits.
	planShare = 3
	// silentGap follows a look that failed.
	silentGap = 200 * time.Millisecond
	// orderPause follows an order without an answer.
	orderPause = 30 * time.Millisecond
	// flushRows is how much progress one transaction holds: each row has a
	// condition and a write, and one condition is on the leader's key.
	flushRows = (kv.MaxEntries - 1) / 2
)

// plan decides and sends orders until the term is lost.
func (x *term) plan(ctx context.Context) {
	t := time.NewTicker(planPeriod)
	defer t.Stop()
	var cfg *job.Config
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-x.kick:
		}
		begun := clock.Now()
		x.mu.Lock()
		if c := x.cfg.CurrentConfig(); c != cfg && c != nil {
			cfg = c
			x.state.Configure(c)
		}
		x.state.Plan(clock.Now(), time.Now())
		orders := x.state.Commands()
		questions := x.state.PolicyQueries()
		x.mu.Unlock()
		took := clock.Now().Sub(begun)
		for _, q := range questions {
			x.enqueue(q)
		}
		for i := range orders {
			switch orders[i].Kind {
			case sched.MaintainMachine, sched.MoveMachine:
				x.spawn(func() { x.orderMachine(ctx, orders[i]) })
			case sched.StartRun, sched.StopRun, sched.ThrottleRun:
				x.spawn(func() { x.order(ctx, orders[i]) })
			}
		}
		clock.Sleep(ctx, max(planGap, planShare*took))
	}
}

// order sends one order until it is answered or no longer wanted.
func (x *term) order(ctx context.Context, o sched.Command) {
	for ctx.Err() == nil {
		x.mu.Lock()
		start, wanted := x.state.Prepare(&o, clock.Now())
		x.mu.Unlock()
		if !wanted {
			return
		}
		var reply runner.Reply
		var err error
		switch o.Kind {
		case sched.StartRun:
			reply, err = x.cfg.Runners.Start(ctx, o.To, x.id, start)
		case sched.StopRun:
			reply, err = x.cfg.Runners.Stop(ctx, o.To, x.id, o.Task, o.Attempt)
		case sched.ThrottleRun:
			reply, err = x.cfg.Runners.Throttle(ctx, o.To, x.id, o.Task, o.Attempt, o.Percent)
		case sched.MaintainMachine, sched.MoveMachine:
			return // orderMachine sends these
		}
		if err != nil && ctx.Err() == nil {
			x.logger.Log("msg", "order has no answer", "kind", o.Kind, "task", o.Task, "attempt", o.Attempt, "runner", o.To.ID, "err", err)
		}
		if !x.answered(&o, reply, err) {
			return
		}
		clock.Sleep(ctx, orderPause)
	}
}

// answered takes an answer and tells whether the order must be sent again.
func (x *term) answered(o *sched.Command, reply runner.Reply, err error) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := clock.Now()
	if err == nil && x.refusedTerm(o.To.ID, reply, now) {
		return false
	}
	again := x.state.HandleReply(o, reply, err == nil, !errors.Is(err, runner.ErrUnreachable), now)
	if !again {
		x.wake()
	}
	return again
}

// refusedTerm handles answers that say that the term or the runner is over.
func (x *term) refusedTerm(id runner.ID, reply runner.Reply, now clock.BootTime) bool {
	switch reply.Verdict {
	case runner.Fenced:
		x.logger.Log("msg", "runner has seen a later term", "runner", id)
		x.lose(errDeposed)
		return true
	case runner.WrongIncarnation:
		x.state.RunnerReplaced(id, now)
		x.wake()
		return true
	case runner.Accepted, runner.Superseded, runner.Expired, runner.NoCapacity, runner.NoPermit, runner.Unhealthy, runner.Invalid:
	}
	return false
}

// look looks at one runner until the state forgets it.
func (x *term) look(ctx context.Context, id runner.ID) {
	for ctx.Err() == nil {
		x.mu.Lock()
		gap := time.Duration(len(x.lookers)) * lookShare
		l, ok := x.state.Poll(id, clock.Now())
		if !ok {
			delete(x.lookers, id)
			x.looked.Store(int64(len(x.lookers)))
			x.mu.Unlock()
			return
		}
		x.mu.Unlock()
		sent := clock.Now()
		rep, reply, err := x.cfg.Runners.Poll(ctx, l.To, x.id, l.PollRequest)
		if ctx.Err() != nil {
			return
		}
		x.mu.Lock()
		now := clock.Now()
		switch {
		case err != nil || (rep == nil && !x.refusedTerm(id, reply, now)):
			x.state.PollFailed(id, now)
		case rep != nil:
			x.state.HandleReport(id, sent, now, rep)
			x.wake()
		}
		x.mu.Unlock()
		if rep == nil {
			clock.Sleep(ctx, silentGap)
		} else {
			clock.Sleep(ctx, max(lookGap, gap))
		}
	}
}

// flushAlways stores progress as it changes.
func (x *term) flushAlways(ctx context.Context) {
	for ctx.Err() == nil {
		n, err := x.flush(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, errDeposed):
			x.lose(errDeposed)
			return
		case err != nil:
			x.logger.Log("msg", "progress is not stored", "err", err)
			clock.Sleep(ctx, retryPause)
		case n < flushRows:
			clock.Sleep(ctx, flushGap)
		}
	}
}

// flush stores the roster if it has changed, and some progress.
func (x *term) flush(ctx context.Context) (int, error) {
	if err := x.storeRoster(ctx); err != nil {
		return 0, err
	}
	if err := x.confirm(ctx); err != nil {
		return 0, err
	}
	x.expire(ctx)
	if err := x.storeIntents(ctx); err != nil {
		return 0, err
	}
	if err := x.storeWaves(ctx); err != nil {
		return 0, err
	}
	x.mu.Lock()
	rows := x.state.DirtyProgress(flushRows)
	x.mu.Unlock()
	if len(rows) == 0 {
		return 0, nil
	}
	t := kv.Txn{Conds: []kv.Cond{{Key: job.LeaderKey, Rev: kv.Revision(x.id)}}}
	for _, r := range rows {
		b, err := job.EncodeProgress(r.Progress)
		if err != nil {
			return 0, err
		}
		key := job.ProgressKey(r.ID)
		t.Conds = append(t.Conds, kv.Cond{Key: key, Rev: kv.Revision(r.Rev)})
		t.Writes = append(t.Writes, kv.Write{Key: key, Value: b})
	}
	rev, err := x.cfg.Store.Commit(ctx, t)
	var conflict *kv.Conflict
	if errors.As(err, &conflict) {
		return len(rows), x.resolve(conflict, rows)
	}
	if err != nil {
		return 0, errors.Wrap(err, "store progress")
	}
	x.mu.Lock()
	x.state.ProgressStored(rows, rev)
	x.mu.Unlock()
	return len(rows), nil
}

// confirm asks the store whether this term still leads, if a decision waits
// for that.
func (x *term) confirm(ctx context.Context) error {
	x.mu.Lock()
	now := clock.Now()
	wanted := x.state.NeedsConfirmation(now)
	x.mu.Unlock()
	if !wanted {
		return nil
	}
	it, err := x.cfg.Store.Get(ctx, job.LeaderKey)
	switch {
	case errors.Is(err, kv.ErrNotFound), err == nil && runner.Term(it.Rev) != x.id:
		return errDeposed
	case err != nil:
		return errors.Wrap(err, "confirm the term")
	}
	x.mu.Lock()
	x.state.ConfirmTerm(now)
	x.mu.Unlock()
	x.wake()
	return nil
}

// resolve takes the revisions that a refused transaction has met: an earlier
// one without an answer has taken effect. The rows are stored again.
func (x *term) resolve(c *kv.Conflict, rows []sched.ProgressRow) error {
	if runner.Term(c.Find(job.LeaderKey).Rev) != x.id {
		return errDeposed
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, r := range rows {
		if it := c.Find(job.ProgressKey(r.ID)); int64(it.Rev) != r.Rev {
			x.state.ProgressConflict(r.ID, it.Rev)
		}
	}
	return nil
}

// storeRoster stores which runners may be used, before they are.
func (x *term) storeRoster(ctx context.Context) error {
	x.mu.Lock()
	rows := x.state.Roster(clock.Now(), false)
	x.mu.Unlock()
	if x.rosterRev != 0 && reflect.DeepEqual(rows, x.roster) {
		x.mu.Lock()
		x.state.RosterStored(rows)
		x.mu.Unlock()
		return nil
	}
	b, err := cbor.Marshal(rows)
	if err != nil {
		return errors.Wrap(err, "encode roster")
	}
	rev, err := x.cfg.Store.Commit(ctx, kv.Txn{
		Conds: []kv.Cond{
			{Key: job.LeaderKey, Rev: kv.Revision(x.id)}, {Key: job.RosterKey, Rev: x.rosterRev},
		},
		Writes: []kv.Write{{Key: job.RosterKey, Value: b}},
	})
	var conflict *kv.Conflict
	if errors.As(err, &conflict) {
		if runner.Term(conflict.Find(job.LeaderKey).Rev) != x.id {
			return errDeposed
		}
		x.rosterRev = conflict.Find(job.RosterKey).Rev
		x.roster = nil
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "store roster")
	}
	x.rosterRev, x.roster = rev, rows
	x.mu.Lock()
	x.state.RosterStored(rows)
	x.mu.Unlock()
	x.wake()
	return nil
}

// expireRows is how many jobs one transaction deletes, at three keys each.
const expireRows = (kv.MaxEntries - 1) / 3

// expire deletes jobs whose outcome need no longer be kept.
func (x *term) expire(ctx context.Context) {
	x.mu.Lock()
	ids := x.state.TakeExpired(clock.Now(), expireRows)
	x.mu.Unlock()
	if len(ids) == 0 {
		return
	}
	t := kv.Txn{Conds: []kv.Cond{{Key: job.LeaderKey, Rev: kv.Revision(x.id)}}}
	for _, id := range ids {
		t.Deletes = append(t.Deletes, job.Key(id), job.CancelKey(id), job.ProgressKey(id))
	}
	if _, err := x.cfg.Store.Commit(ctx, t); err != nil {
		// They are deleted by the next term, which finds them again.
		x.logger.Log("msg", "ended jobs are not deleted", "jobs", len(ids), "err", err)
	}
}
