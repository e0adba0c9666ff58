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
	// flushDelay is the pause between two writes of progress, unless more rows
	// are waiting.
	flushDelay = 30 * time.Millisecond
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
	if err := t.deleteExpired(ctx); err != nil {
		return 0, err
	}
	if err := t.storeWaves(ctx); err != nil {
		return 0, err
	}
	t.mu.Lock()
	rows := t.state.DirtyProgress(maxProgressRows)
	t.mu.Unlock()
	if len(rows) == 0 {
		return 0, nil
	}
	n := len(rows)
	txn := kv.Txn{Conds: []kv.Cond{{Key: job.LeaderKey, Rev: kv.Revision(t.id)}}}
	var fits []sched.ProgressRow
	for _, r := range rows {
		b, err := job.EncodeProgress(r.Progress)
		if err != nil {
			return 0, err
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
		return n, nil
	}
	rev, err := t.cfg.Store.Commit(ctx, txn)
	var conflict *kv.Conflict
	if errors.As(err, &conflict) {
		return n, t.resolve(conflict, fits)
	}
	if err != nil {
		return 0, errors.Wrap(err, "store progress")
	}
	t.mu.Lock()
	t.state.ProgressStored(fits, rev)
	t.mu.Unlock()
	return n, nil
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
