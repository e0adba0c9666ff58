package lead

import (
	"context"
	"runtime/debug"
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

// watchLeader reads the leader key and, if a daemon has it, waits until the key
// is deleted. It then campaigns, and returns when the campaign has failed or the
// term has ended.
func (l *Leader) watchLeader(ctx context.Context) error {
	items, rev, err := l.cfg.Store.List(ctx, job.LeaderKey)
	if err != nil {
		return err
	}
	if len(items) == 0 {
		l.observe(kv.Item{})
		return l.campaign(ctx)
	}
	l.observe(items[0])
	held, since := items[0].Rev, clock.Now()
	for ctx.Err() == nil {
		events, asOf, err := l.cfg.Store.Watch(ctx, job.LeaderKey, rev, time.Now().Add(leaderWatchTimeout))
		if err != nil {
			return err
		}
		rev = asOf
		if len(events) == 0 {
			continue
		}
		last := events[len(events)-1]
		if last.Deleted {
			l.vacated = vacancy{term: runner.Term(held), since: since, at: clock.Now()}
			l.observe(kv.Item{})
			return l.campaign(ctx)
		}
		if last.Rev != held {
			held, since = last.Rev, clock.Now()
		}
		l.observe(last.Item)
	}
	return ctx.Err()
}

// observe records which daemon is the leader.
func (l *Leader) observe(it kv.Item) {
	if it.Rev == 0 {
		if l.setHolder(nil) != nil {
			l.cfg.Logger.Log("msg", "no leader")
		}
		return
	}
	var h Holder
	if err := cbor.Unmarshal(it.Value, &h); err != nil {
		l.cfg.Logger.Log("msg", "leader key decoding failed", "rev", int64(it.Rev), "err", err)
		return
	}
	if old := l.setHolder(&h); old == nil || *old != h {
		l.cfg.Logger.Log("msg", "leader changed", "leader", h.Name, "term", int64(it.Rev))
	}
}

// campaign tries to become leader and, on success, leads until the term ends.
func (l *Leader) campaign(ctx context.Context) error {
	if wait := clock.BootTime(l.yieldUntil.Load()).Sub(clock.Now()); wait > 0 {
		clock.Sleep(ctx, min(wait, retryDelay))
		return nil
	}
	clock.Sleep(ctx, l.delay())
	// Read before the leader key: no term has begun since if the commit succeeds, so
	// that the one in the record had ended when that key was found missing.
	last, err := l.cfg.Store.Get(ctx, job.TermKey)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return errors.Wrap(err, "campaign")
	}
	if _, err := l.cfg.Store.Get(ctx, job.LeaderKey); !errors.Is(err, kv.ErrNotFound) {
		return err
	}
	sent := clock.Now() // the lease may run from the arrival of the call
	previous := l.vacated
	if last.Rev == 0 || previous.term != runner.Term(last.Rev) {
		previous = vacancy{since: sent, at: sent}
	}
	lease, ttl, err := l.cfg.Store.Grant(ctx, leaseTTL)
	if err != nil {
		return errors.Wrap(err, "campaign")
	}
	value, err := cbor.Marshal(l.cfg.Self)
	if err != nil {
		return errors.Wrap(err, "campaign")
	}
	l.contending.Store(true)
	defer l.contending.Store(false)
	rev, err := l.cfg.Store.Commit(ctx, kv.Txn{
		Conds:  []kv.Cond{{Key: job.LeaderKey}, {Key: job.TermKey, Rev: last.Rev}},
		Writes: []kv.Write{{Key: job.LeaderKey, Value: value, Lease: lease}, {Key: job.TermKey, Value: value}},
	})
	var conflict *kv.Conflict
	switch {
	case errors.As(err, &conflict):
		l.observe(conflict.Find(job.LeaderKey))
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
	l.setHolder(&l.cfg.Self)
	return l.lead(ctx, runner.Term(rev), lease, ttl, sent, previous, l.decodePrevious(last))
}

const (
	// campaignDelay applies to a host of relative capacity 1. A host of a
	// quarter of that capacity waits four times as long.
	campaignDelay = 20 * time.Millisecond
	// maxCampaignDelay bounds the delay of the hosts with the least capacity.
	maxCampaignDelay = 300 * time.Millisecond
)

// delay returns how long this host waits, so that hosts with more
// capacity campaign first.
func (l *Leader) delay() time.Duration {
	if l.cfg.RelativeCapacity <= 0 {
		return 0
	}
	return min(time.Duration(float64(campaignDelay)/l.cfg.RelativeCapacity), maxCampaignDelay)
}

// lead runs one term until the leadership is lost or the context ends. Its lease was
// requested at a time.
func (l *Leader) lead(ctx context.Context, termID runner.Term, lease kv.Lease, ttl time.Duration, requested clock.BootTime, v vacancy, previous *previousTerm) error {
	logger := log.With(l.cfg.Logger, "term", int64(termID))
	now := clock.Now()
	logger.Log("msg", "term started", "ttl", ttl, "vacant", now.Sub(v.at))
	limits := l.cfg.Limits
	// The last command of a previous leader may extend a runner's lease by the
	// maximum lease time, plus 1/20 because the runner's clock may be slow. It had
	// renewed its own lease before the end of its term.
	limits.RunnerTakeover = RenewDeadline + commandTransit + limits.MaxRunnerLease + limits.MaxRunnerLease/20 - now.Sub(v.at)
	// A previous leader sends commands to machines only while its lease is
	// certain to be valid.
	limits.MachineTakeover += leaseTTL
	tctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	t := &term{
		cfg: &l.cfg, id: termID, lease: lease, ttl: ttl, logger: logger, end: cancel, vacancy: v, previous: previous,
		wakeup: make(chan struct{}, 1), listWakeup: make(chan struct{}, 1), policyQueries: make(chan sched.PolicyQuery, policyQueueSize), pollers: make(map[runner.ID]chan struct{}), pollerCount: &l.polledRunners,
		machineLimiter: rate.NewLimiter(l.cfg.MachineCommandRate, machineBurst),
		state:          sched.New(termID, now, limits, logger),
	}
	t.state.Together = l.cfg.Together
	t.renewed.Store(int64(requested))
	l.running.Store(t)
	defer l.running.Store(nil)
	// The state of the leader is long-lived, and collecting it costs time that
	// decisions wait for. Other daemons keep the default and a small heap.
	defer debug.SetGCPercent(debug.SetGCPercent(leaderGCPercent))
	t.run(tctx, func() {
		l.current.Store(t)
		l.DaemonReplied(l.cfg.Self.Name, l.cfg.Self.Incarnation, clock.Now())
		t.spawn(func() { l.askPrevious(tctx, t) })
	})
	l.current.Store(nil)
	logger.Log("msg", "term ended", "why", context.Cause(tctx))
	if errors.Is(context.Cause(tctx), errUnreachable) {
		l.yieldUntil.Store(int64(clock.Now().Add(yieldDelay)))
	}
	return nil
}

// leaderGCPercent is the growth of the heap between two garbage collections
// while a daemon leads. The memory limit of the process still applies.
const leaderGCPercent = 300

// yieldDelay keeps a daemon that cannot reach most runners from campaigning
// again, so that another daemon can become leader.
const yieldDelay = 4 * time.Second
