package lead

import (
	"context"
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

// follow reads the leader's key once and waits until it changes.
func (l *Leader) follow(ctx context.Context) error {
	items, rev, err := l.cfg.Store.List(ctx, job.LeaderKey)
	if err != nil {
		return err
	}
	if len(items) == 0 {
		l.see(kv.Item{})
		return l.campaign(ctx)
	}
	l.see(items[0])
	for ctx.Err() == nil {
		events, asOf, err := l.cfg.Store.Watch(ctx, job.LeaderKey, rev, time.Now().Add(followWait))
		if err != nil {
			return err
		}
		rev = asOf
		if len(events) == 0 {
			continue
		}
		last := events[len(events)-1]
		if last.Deleted {
			l.see(kv.Item{})
			return l.campaign(ctx)
		}
		l.see(last.Item)
	}
	return ctx.Err()
}

// see records who leads.
func (l *Leader) see(it kv.Item) {
	if it.Rev == 0 {
		if l.hold(nil) != nil {
			l.cfg.Logger.Log("msg", "there is no leader")
		}
		return
	}
	var h Holder
	if err := cbor.Unmarshal(it.Value, &h); err != nil {
		l.cfg.Logger.Log("msg", "leader's key cannot be read", "rev", int64(it.Rev), "err", err)
		return
	}
	if old := l.hold(&h); old == nil || *old != h {
		l.cfg.Logger.Log("msg", "leader is known", "leader", h.Name, "term", int64(it.Rev))
	}
}

// campaign tries to become leader, and leads if it succeeds.
func (l *Leader) campaign(ctx context.Context) error {
	if wait := clock.BootTime(l.yield.Load()).Sub(clock.Now()); wait > 0 {
		clock.Sleep(ctx, min(wait, retryPause))
		return nil
	}
	clock.Sleep(ctx, l.delay())
	if _, err := l.cfg.Store.Get(ctx, job.LeaderKey); !errors.Is(err, kv.ErrNotFound) {
		return err
	}
	lease, ttl, err := l.cfg.Store.Grant(ctx, leaseTime)
	if err != nil {
		return errors.Wrap(err, "campaign")
	}
	granted := clock.Now()
	value, err := cbor.Marshal(l.cfg.Self)
	if err != nil {
		return errors.Wrap(err, "campaign")
	}
	rev, err := l.cfg.Store.Commit(ctx, kv.Txn{
		Conds:  []kv.Cond{{Key: job.LeaderKey}},
		Writes: []kv.Write{{Key: job.LeaderKey, Value: value, Lease: lease}},
	})
	var conflict *kv.Conflict
	switch {
	case errors.As(err, &conflict):
		l.see(conflict.Find(job.LeaderKey))
		return nil
	case errors.Is(err, kv.ErrUnknown):
		it, gerr := l.cfg.Store.Get(ctx, job.LeaderKey)
		if gerr != nil {
			return errors.Wrap(gerr, "campaign")
		}
		if it.Lease != lease {
			return errors.Wrap(err, "campaign")
		}
		rev = it.Rev
	case err != nil:
		return errors.Wrap(err, "campaign")
	}
	l.hold(&l.cfg.Self)
	return l.lead(ctx, runner.Term(rev), lease, ttl, granted)
}

const (
	// campaignDelay of a host of full power; one of a quarter waits four times
	// as long.
	campaignDelay = 20 * time.Millisecond
	// longestDelay bounds the delay of the weakest hosts.
	longestDelay = 300 * time.Millisecond
)

// delay is how long this host lets stronger ones campaign first.
func (l *Leader) delay() time.Duration {
	if l.cfg.RelativeCapacity <= 0 {
		return 0
	}
	return min(time.Duration(float64(campaignDelay)/l.cfg.RelativeCapacity), longestDelay)
}

// lead runs one term until it is lost or the context ends.
func (l *Leader) lead(ctx context.Context, t runner.Term, lease kv.Lease, ttl time.Duration, granted clock.BootTime) error {
	logger := log.With(l.cfg.Logger, "term", int64(t))
	logger.Log("msg", "term begins", "ttl", ttl)
	limits := l.cfg.Limits
	// The last order of an earlier leader may extend a runner's lease by the
	// longest hold, on a clock that may be slow.
	limits.RunnerTakeover = RenewDeadline + limits.MaxRunnerLease + limits.MaxRunnerLease/20
	// An earlier leader orders machines only while its lease surely holds.
	limits.MachineTakeover += leaseTime
	tctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	x := &term{
		cfg: &l.cfg, id: t, lease: lease, ttl: ttl, logger: logger, lose: cancel,
		kick: make(chan struct{}, 1), questions: make(chan sched.PolicyQuery, questionQueue), lookers: make(map[runner.ID]bool), looked: &l.runners,
		machineOrders: rate.NewLimiter(l.cfg.MachineCommandRate, machineBurst),
		state:         sched.New(t, clock.Now(), limits, logger),
	}
	x.renewed.Store(int64(granted))
	x.run(tctx, func() { l.current.Store(x) })
	l.current.Store(nil)
	logger.Log("msg", "term ends", "why", context.Cause(tctx))
	if errors.Is(context.Cause(tctx), errUnreachable) {
		l.yield.Store(int64(clock.Now().Add(yieldTime)))
	}
	return nil
}

// yieldTime keeps a daemon that cannot reach most runners from leading again,
// so that another one can.
const yieldTime = 4 * time.Second
