package lead

import (
	"context"
	"slices"
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
	// flushDelay is the pause between two rounds of writes of progress.
	flushDelay = 30 * time.Millisecond
	// maxOpenFlushes bounds the transactions with progress that are open at a time. A
	// surge changes 400 rows a second, and a slow store takes 0.3 s for a transaction.
	maxOpenFlushes = 8
	// recordIntervalPerRunner times the number of runners is the time between two
	// writes of the roster and of the intents, within flushDelay and
	// maxRecordInterval. Both are written whole, and their size grows with the
	// number of runners. A machine that moves, for more than a second, waits for
	// each of them once.
	recordIntervalPerRunner = 500 * time.Microsecond
	maxRecordInterval       = 120 * time.Millisecond
	// maxProgressRows is the maximum number of progress rows in one
	// transaction: each row has a condition and a write, and one condition is
	// on the leader key.
	maxProgressRows = (kv.MaxEntries - 1) / 2
)

// storeLoops stores what changes until the term ends. Each kind of record has a loop of
// its own, and progress several transactions at a time: with a slow store, every call
// would otherwise wait for all the others, and callers for the state of their jobs.
func (t *term) storeLoops(ctx context.Context) {
	t.spawn(func() { t.storeLoop(ctx, "roster", t.recordInterval, t.storeRoster) })
	t.spawn(func() { t.storeLoop(ctx, "intents", t.recordInterval, t.storeIntents) })
	pause := func() time.Duration { return flushDelay }
	t.spawn(func() { t.storeLoop(ctx, "term", pause, t.confirm, t.deleteExpired, t.storeWaves) })
	t.spawn(func() { t.flushLoop(ctx) })
}

// storeLoop calls functions that store records, in turn, with a pause after the last.
func (t *term) storeLoop(ctx context.Context, records string, interval func() time.Duration, store ...func(context.Context) error) {
	for ctx.Err() == nil {
		pause := interval()
		for _, f := range store {
			err := f(ctx)
			if ctx.Err() != nil {
				return
			}
			if err != nil {
				t.storeFailed(records, err)
				pause = retryDelay
			}
		}
		clock.Sleep(ctx, pause)
	}
}

// storeFailed handles an error of a write: it ends a term that no longer leads.
func (t *term) storeFailed(records string, err error) {
	if errors.Is(err, errLostLeadership) {
		t.end(errLostLeadership)
		return
	}
	t.logger.Log("msg", records+" write failed", "err", err)
}

// flushLoop stores progress as it changes, in up to maxOpenFlushes transactions at a
// time. A batch that is not full waits for the open ones, so that a slow store gets
// full ones.
func (t *term) flushLoop(ctx context.Context) {
	results := make(chan error, maxOpenFlushes)
	open := 0
	for ctx.Err() == nil {
		for open < maxOpenFlushes {
			rows := t.takeProgress(open == 0)
			if len(rows) == 0 {
				break
			}
			open++
			t.spawn(func() { results <- t.storeProgress(ctx, rows) })
		}
		pause := flushDelay
		for range len(results) {
			open--
			if err := <-results; err != nil && ctx.Err() == nil {
				t.storeFailed("progress", err)
				pause = retryDelay
			}
		}
		clock.Sleep(ctx, pause)
	}
}

// takeProgress takes the next rows of progress to store. Fewer than maxProgressRows are
// taken only if partial is set.
func (t *term) takeProgress(partial bool) []sched.ProgressRow {
	least := maxProgressRows
	if partial {
		least = 1
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.TakeProgress(least, maxProgressRows)
}

// flush stores up to maxProgressRows rows of progress and returns their number.
func (t *term) flush(ctx context.Context) (int, error) {
	rows := t.takeProgress(true)
	if len(rows) == 0 {
		return 0, nil
	}
	return len(rows), t.storeProgress(ctx, rows)
}

// storeProgress stores rows that were taken, and gives them back.
func (t *term) storeProgress(ctx context.Context, rows []sched.ProgressRow) error {
	defer func() {
		t.mu.Lock()
		t.state.ReleaseProgress(rows)
		t.mu.Unlock()
	}()
	txn := kv.Txn{Conds: []kv.Cond{{Key: job.LeaderKey, Rev: kv.Revision(t.id)}}}
	var fits []sched.ProgressRow
	for _, r := range rows {
		b, err := job.EncodeProgress(r.Progress)
		if err != nil {
			return err
		}
		if t.cfg.MaxValue > 0 && len(b) > t.cfg.MaxValue {
			// The store would reject the progress of all jobs in the transaction.
			t.mu.Lock()
			t.state.ProgressTooLarge(r.ID, len(b), clock.Now())
			t.mu.Unlock()
			continue
		}
		fits = append(fits, r)
		key := job.ProgressKey(r.ID)
		txn.Conds = append(txn.Conds, kv.Cond{Key: key, Rev: kv.Revision(r.Rev)})
		txn.Writes = append(txn.Writes, kv.Write{Key: key, Value: b})
	}
	if len(fits) == 0 {
		return nil
	}
	rev, err := t.cfg.Store.Commit(ctx, txn)
	var conflict *kv.Conflict
	if errors.As(err, &conflict) {
		return t.resolve(conflict, fits)
	}
	if err != nil {
		return errors.Wrap(err, "store progress")
	}
	t.mu.Lock()
	t.state.ProgressStored(fits, rev)
	t.mu.Unlock()
	return nil
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

const (
	// maxExpiredJobs is how many jobs one transaction deletes, with a condition and
	// three keys each.
	maxExpiredJobs = (kv.MaxEntries - 1) / 4
	// expiryRetryDelay follows a deletion that failed.
	expiryRetryDelay = time.Second
)

// deleteExpired deletes jobs whose outcome need no longer be retained. A deletion
// that is carried out late must not delete a job that was accepted again meanwhile,
// so it depends on the revision of each job. A failure does not keep the progress
// of other jobs from being stored.
func (t *term) deleteExpired(ctx context.Context) error {
	now := clock.Now()
	if t.expiryRetryAt.After(now) {
		return nil
	}
	t.mu.Lock()
	expired := t.state.ExpiredJobs(now, maxExpiredJobs)
	t.mu.Unlock()
	if len(expired) == 0 {
		return nil
	}
	txn := kv.Txn{Conds: []kv.Cond{{Key: job.LeaderKey, Rev: kv.Revision(t.id)}}}
	for _, e := range expired {
		txn.Conds = append(txn.Conds, kv.Cond{Key: job.Key(e.ID), Rev: e.Created})
		txn.Deletes = append(txn.Deletes, job.Key(e.ID), job.CancelKey(e.ID), job.ProgressKey(e.ID))
	}
	_, err := t.cfg.Store.Commit(ctx, txn)
	var conflict *kv.Conflict
	switch {
	case errors.As(err, &conflict):
		if runner.Term(conflict.Find(job.LeaderKey).Rev) != t.id {
			return errLostLeadership
		}
		// An earlier deletion of unknown outcome has taken effect for these.
		expired = slices.DeleteFunc(expired, func(e sched.ExpiredJob) bool { return conflict.Find(job.Key(e.ID)).Rev == e.Created })
		t.logger.Log("msg", "expired jobs were deleted before", "jobs", len(expired))
	case err != nil:
		t.expiryRetryAt = now.Add(expiryRetryDelay)
		t.logger.Log("msg", "deletion of expired jobs failed", "jobs", len(expired), "first", expired[0].ID, "err", err)
		return nil
	}
	t.mu.Lock()
	t.state.RemoveExpired(expired)
	t.mu.Unlock()
	return nil
}
