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

// term is one term of this daemon as the leader.
type term struct {
	cfg       *Config
	id        runner.Term
	lease     kv.Lease
	ttl       time.Duration
	logger    log.Logger
	lose      context.CancelCauseFunc
	renewed   atomic.Int64 // clock.Boot at which the last successful renewal was sent
	kick      chan struct{}
	questions chan sched.PolicyQuery
	// machineOrders keeps to what the machines' API takes.
	machineOrders *rate.Limiter

	mu      sync.Mutex
	state   *sched.State
	lookers map[runner.ID]bool
	looked  *atomic.Int64 // number of lookers
	wg      sync.WaitGroup

	roster     []sched.RosterEntry // as stored
	rosterRev  kv.Revision
	intentsRev kv.Revision
}

// run loads the state, works until the term is lost, and gives the key up.
func (x *term) run(ctx context.Context, ready func()) {
	x.spawn(func() { x.renew(ctx) })
	inputRev, serversRev, ok := x.load(ctx)
	if ok {
		ready()
		x.spawn(func() { x.watchInput(ctx, inputRev) })
		x.spawn(func() { x.watchServers(ctx, serversRev) })
		x.spawn(func() { x.watchWaves(ctx) })
		x.spawn(func() { x.listMachines(ctx) })
		x.spawn(func() { x.ask(ctx) })
		x.spawn(func() { x.flushAlways(ctx) })
		x.spawn(func() { x.plan(ctx) })
	}
	<-ctx.Done()
	x.wg.Wait()
	x.resign(ctx)
}

// spawn runs f as a part of the term.
func (x *term) spawn(f func()) {
	x.wg.Add(1)
	go func() {
		defer x.wg.Done()
		f()
	}()
}

// resignTime bounds the calls with which a stopping leader gives up its key. A
// slow store takes some hundred milliseconds for each.
const resignTime = 1500 * time.Millisecond

// resign stores what a successor must know and gives the key up in one
// transaction, unless the key is lost. Ends that are not stored stay listed at
// their runners.
func (x *term) resign(ctx context.Context) {
	if errors.Is(context.Cause(ctx), errDeposed) {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), resignTime)
	defer cancel()
	for ctx.Err() == nil {
		n, err := x.flush(ctx)
		if err != nil {
			x.logger.Log("msg", "progress is not stored at the end of the term", "err", err)
			break
		}
		if n == 0 {
			break
		}
	}
	x.mu.Lock()
	rows := x.state.Roster(clock.Now(), true)
	x.mu.Unlock()
	b, err := cbor.Marshal(rows)
	if err == nil {
		_, err = x.commit(ctx, kv.Txn{
			Conds:   []kv.Cond{{Key: job.RosterKey, Rev: x.rosterRev}},
			Writes:  []kv.Write{{Key: job.RosterKey, Value: b}},
			Deletes: []string{job.LeaderKey},
		})
	}
	if err != nil {
		x.logger.Log("msg", "roster is not closed at the end of the term", "err", err)
	}
	if err := x.cfg.Store.Revoke(ctx, x.lease); err != nil {
		x.logger.Log("msg", "lease is not ended", "err", err)
	}
}

// renew extends the lease until the term is lost.
func (x *term) renew(ctx context.Context) {
	for ctx.Err() == nil {
		sent := clock.Now()
		rctx, cancel := context.WithTimeout(ctx, renewTime)
		err := x.cfg.Store.Renew(rctx, x.lease)
		cancel()
		switch {
		case err == nil:
			x.renewed.Store(int64(sent))
		case errors.Is(err, kv.ErrNotFound):
			x.lose(errDeposed)
			return
		case ctx.Err() == nil:
			age := clock.Now().Sub(clock.BootTime(x.renewed.Load()))
			x.logger.Log("msg", "lease is not renewed", "age", age, "err", err)
			if age > RenewDeadline {
				x.lose(errStale)
				return
			}
		}
		clock.Sleep(ctx, renewPeriod)
	}
}

// wake makes the planner run.
func (x *term) wake() {
	select {
	case x.kick <- struct{}{}:
	default:
	}
}
