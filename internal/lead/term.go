package lead

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/kv"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
	"gypsumtrestle.example/gypsumtrestle/internal/sched"
)

// term is one leadership period of this daemon.
type term struct {
	cfg    *Config
	id     runner.Term
	lease  kv.Lease
	ttl    time.Duration
	logger log.Logger
	end    context.CancelCauseFunc
	// renewed is the boot-clock time at which the last successful renewal was
	// sent; until the first one, at which the lease was requested.
	renewed       atomic.Int64
	wakeup        chan struct{}
	listWakeup    chan struct{} // see wakeLister
	policyQueries chan sched.PolicyQuery
	// machineLimiter limits commands to what the machines' API accepts.
	machineLimiter *rate.Limiter

	mu          sync.Mutex
	state       *sched.State
	poolLoad    poolLoad
	pollers     map[runner.ID]chan struct{} // each wakes up the poller of a runner
	pollerCount *atomic.Int64               // number of pollers; the Leader's polledRunners
	wg          sync.WaitGroup

	rosterRev  kv.Revision
	intentsRev kv.Revision
	vacancy    vacancy // before this term
	// previous had the leader key in the previous term; nil if that is not known, or
	// if its process is known to have ended.
	previous      *previousTerm
	expiryRetryAt clock.BootTime // no deletion of expired jobs before this time
	// loaded is set once the state holds the records of previous terms.
	loaded bool
}

// run loads the state, works until the leadership is lost, and releases the
// leader key.
func (t *term) run(ctx context.Context, ready func()) {
	t.spawn(func() { t.renew(ctx) })
	inputRev, runnersRev, ok := t.load(ctx)
	if ok {
		t.loaded = true
		ready()
		t.spawn(func() { t.watchInput(ctx, inputRev) })
		t.spawn(func() { t.watchRunners(ctx, runnersRev) })
		t.spawn(func() { t.watchWaves(ctx) })
		t.spawn(func() { t.listMachines(ctx) })
		t.spawn(func() { t.runPolicyQueries(ctx) })
		t.storeLoops(ctx)
		t.spawn(func() { t.plan(ctx) })
	}
	<-ctx.Done()
	t.wg.Wait()
	t.stepDown(ctx)
}

// spawn runs f in a goroutine that the end of the term waits for.
func (t *term) spawn(f func()) {
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		f()
	}()
}

// stepDownTimeout bounds the calls with which a stopping leader releases its
// key. A slow store takes some hundred milliseconds for each.
const stepDownTimeout = 1500 * time.Millisecond

// stepDown stores the remaining progress. It then stores the roster for the
// next leader and releases the leader key in one transaction. It does nothing
// if the key is lost. Results that are not stored remain with their runners. A
// term that has not loaded the state stores nothing: its records would replace
// those of the previous terms.
func (t *term) stepDown(ctx context.Context) {
	if errors.Is(context.Cause(ctx), errLostLeadership) {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stepDownTimeout)
	defer cancel()
	release := kv.Txn{Deletes: []string{job.LeaderKey}}
	for t.loaded && ctx.Err() == nil {
		n, err := t.flush(ctx)
		if err != nil {
			t.logger.Log("msg", "progress write failed at the end of the term", "err", err)
			break
		}
		if n == 0 {
			break
		}
	}
	var err error
	if t.loaded {
		t.mu.Lock()
		entries := t.state.Roster(clock.Now(), true)
		t.mu.Unlock()
		var b []byte
		b, err = cbor.Marshal(entries)
		release.Writes = []kv.Write{{Key: job.RosterKey, Value: b}}
	}
	if err == nil {
		err = t.release(ctx, release)
	}
	if err != nil {
		t.logger.Log("msg", "roster write failed at the end of the term", "loaded", t.loaded, "err", err)
	}
	if err := t.cfg.Store.Revoke(ctx, t.lease); err != nil {
		t.logger.Log("msg", "lease revocation failed", "err", err)
	}
}

// release commits the transaction that releases the leader key. If the end of the term
// interrupted a write of the roster that was carried out, the first attempt finds its
// revision.
func (t *term) release(ctx context.Context, txn kv.Txn) error {
	if !t.loaded {
		_, err := t.commit(ctx, txn)
		return err
	}
	for again := true; ; again = false {
		txn.Conds = []kv.Cond{{Key: job.RosterKey, Rev: t.rosterRev}}
		_, err := t.commit(ctx, txn)
		var conflict *kv.Conflict
		if !again || !errors.As(err, &conflict) {
			return err
		}
		t.rosterRev = conflict.Find(job.RosterKey).Rev
	}
}

// renew extends the lease until the term ends.
func (t *term) renew(ctx context.Context) {
	for ctx.Err() == nil {
		sent := clock.Now()
		rctx, cancel := context.WithTimeout(ctx, renewTimeout)
		err := t.cfg.Store.Renew(rctx, t.lease)
		cancel()
		switch {
		case err == nil:
			t.renewed.Store(int64(sent))
		case errors.Is(err, kv.ErrNotFound):
			t.end(errLostLeadership)
			return
		case ctx.Err() == nil:
			age := clock.Now().Sub(clock.BootTime(t.renewed.Load()))
			t.logger.Log("msg", "lease renewal failed", "age", age, "err", err)
			if age > RenewDeadline {
				t.end(errRenewalOverdue)
				return
			}
		}
		clock.Sleep(ctx, renewInterval)
	}
}

// sendDeadline returns the time from which on commands of a kind with the given
// deadline are not sent to runners unless the lease has been renewed again.
func (t *term) sendDeadline(deadline time.Duration) clock.BootTime {
	return clock.BootTime(t.renewed.Load()).Add(deadline)
}

// notify wakes up the planner.
func (t *term) notify() {
	select {
	case t.wakeup <- struct{}{}:
	default:
	}
}
