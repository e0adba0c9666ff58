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
	// watchTimeout bounds one call to a watch. It is also how long a watch
	// whose connection has failed silently stays unnoticed.
	watchTimeout = time.Second
	// watchDelay follows a watch call that returned events, so that one call
	// collects the changes of several milliseconds.
	watchDelay = 20 * time.Millisecond
	// runnerWatchDelay is the same for the runners. A runner that joins a pool
	// waits longer for its machine and for the roster.
	runnerWatchDelay = 50 * time.Millisecond
)

// load reads the state of the term from the store. It retries until it succeeds
// or the term ends.
func (t *term) load(ctx context.Context) (inputRev, runnersRev kv.Revision, ok bool) {
	for ctx.Err() == nil {
		var err error
		if inputRev, err = t.loadJobs(ctx); err == nil {
			if runnersRev, err = t.loadRunners(ctx); err == nil {
				return inputRev, runnersRev, true
			}
		}
		t.logger.Log("msg", "state loading failed", "err", err)
		clock.Sleep(ctx, retryDelay)
	}
	return 0, 0, false
}

// loadJobs reads jobs, cancellations, progress and the roster.
func (t *term) loadJobs(ctx context.Context) (kv.Revision, error) {
	started := clock.Now()
	items, rev, err := t.cfg.Store.List(ctx, job.Prefix)
	if err != nil {
		return 0, err
	}
	progress := make(map[job.ID]kv.Item)
	for _, it := range items {
		if id, ok := job.IDFromKey(it.Key, job.ProgressPrefix); ok {
			progress[id] = it
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.cfg.CurrentConfig(); c != nil {
		t.state.Configure(c)
	}
	for _, it := range items {
		switch {
		case it.Key == job.LeaderKey && runner.Term(it.Rev) != t.id:
			t.end(errLostLeadership)
			return 0, errLostLeadership
		case it.Key == job.RosterKey:
			t.inheritRoster(it)
		case it.Key == job.MachinesKey:
			t.inheritIntents(it)
		}
		if n, ok := job.WaveFromKey(it.Key); ok {
			t.inheritWave(n, it)
		}
		if _, ok := job.IDFromKey(it.Key, job.JobPrefix); ok {
			t.addJob(it, progress)
		}
	}
	for _, it := range items {
		t.cancel(it)
	}
	t.state.InputCurrent(rev, started)
	c := t.state.Stats()
	t.logger.Log("msg", "jobs loaded", "open", c.Open, "known", c.Jobs, "rev", int64(rev), "took", clock.Now().Sub(started))
	return rev, nil
}

// inheritRoster applies the stored roster of previous terms.
func (t *term) inheritRoster(it kv.Item) {
	var entries []sched.RosterEntry
	if err := cbor.Unmarshal(it.Value, &entries); err != nil {
		t.logger.Log("msg", "roster decoding failed, waiting for the leases of all runners", "rev", int64(it.Rev), "err", err)
		t.state.InheritUnknownRoster()
	} else {
		t.state.InheritRoster(entries)
	}
	t.rosterRev = it.Rev
	if t.previous != nil && runner.Term(it.Rev) < t.previous.id {
		t.previous = nil // which runners it had reached is not known
	}
	if t.previous != nil {
		t.state.EarlierLeadersEnded(t.vacancy.earlierUntil())
	}
	if t.previous != nil && t.previous.StartDeadline > 0 {
		t.state.PreviousStartsEnded(t.vacancy.at.Add(t.previous.StartDeadline+commandTransit), t.vacancy.earlierUntil())
	}
}

// addJob adds an accepted job to the state.
func (t *term) addJob(it kv.Item, progress map[job.ID]kv.Item) {
	j, err := job.DecodeJob(it.Value)
	if err != nil {
		t.logger.Log("msg", "job decoding failed", "key", it.Key, "err", err)
		return
	}
	var p *job.Progress
	pit, ok := progress[j.ID]
	if ok {
		if p, err = job.DecodeProgress(pit.Value); err != nil {
			t.logger.Log("msg", "progress decoding failed", "key", pit.Key, "err", err)
			t.state.AddUnreadableJob(j, it.Created, pit.Rev, clock.Now())
			return
		}
	}
	t.state.AddJob(j, it.Created, p, pit.Rev, clock.Now(), time.Now())
}

func (t *term) cancel(it kv.Item) {
	if id, ok := job.IDFromKey(it.Key, job.CancelPrefix); ok {
		t.state.CancelJob(id, clock.Now())
	}
}

// watchInput applies the job and cancel records that daemons write for the
// leader.
func (t *term) watchInput(ctx context.Context, rev kv.Revision) {
	for ctx.Err() == nil {
		events, asOf, err := t.cfg.Store.Watch(ctx, job.InputPrefix, rev, time.Now().Add(watchTimeout))
		switch {
		case errors.Is(err, kv.ErrCompacted):
			t.logger.Log("msg", "input watch revision compacted", "after", int64(rev))
			if r, lerr := t.loadInput(ctx); lerr == nil {
				rev = r
			} else {
				t.logger.Log("msg", "input listing failed", "err", lerr)
				clock.Sleep(ctx, retryDelay)
			}
			continue
		case err != nil:
			if ctx.Err() == nil {
				t.logger.Log("msg", "input watch failed", "after", int64(rev), "err", err)
				clock.Sleep(ctx, retryDelay)
			}
			continue
		}
		rev = asOf
		t.applyInput(events, asOf)
		if len(events) > 0 {
			t.notify()
			clock.Sleep(ctx, watchDelay)
		}
	}
}

// applyInput applies the changes of the input up to a revision.
func (t *term) applyInput(events []kv.Event, asOf kv.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range events {
		e := &events[i]
		switch {
		case e.Key == job.LeaderKey && (e.Deleted || runner.Term(e.Rev) != t.id) && e.Rev >= kv.Revision(t.id):
			t.end(errLostLeadership)
			return
		case e.Deleted:
		default:
			if _, ok := job.IDFromKey(e.Key, job.JobPrefix); ok {
				t.addJob(e.Item, nil)
			}
			t.cancel(e.Item)
		}
	}
	t.state.InputCurrent(asOf, clock.Now())
}

// loadInput lists the input again after the watched revision was compacted.
func (t *term) loadInput(ctx context.Context) (kv.Revision, error) {
	items, rev, err := t.cfg.Store.List(ctx, job.InputPrefix)
	if err != nil {
		return 0, err
	}
	leads := false
	for _, it := range items {
		leads = leads || (it.Key == job.LeaderKey && runner.Term(it.Rev) == t.id)
	}
	if !leads {
		t.end(errLostLeadership)
		return 0, errLostLeadership
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, it := range items {
		if _, ok := job.IDFromKey(it.Key, job.JobPrefix); ok {
			t.addJob(it, nil)
		}
	}
	for _, it := range items {
		t.cancel(it)
	}
	t.state.InputCurrent(rev, clock.Now())
	t.notify()
	return rev, nil
}

// loadRunners lists the registered runners and treats runners missing from the
// list as deregistered.
func (t *term) loadRunners(ctx context.Context) (kv.Revision, error) {
	items, rev, err := t.cfg.Store.List(ctx, t.cfg.Registry.Prefix)
	if err != nil {
		return 0, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := make(map[runner.ID]bool, len(items))
	for _, it := range items {
		t.applyRunner(ctx, it)
		// An entry that cannot be decoded keeps the last registration of its
		// runner, as it does when a watch returns it.
		listed[runner.ID(it.Key[len(t.cfg.Registry.Prefix):])] = true
	}
	t.state.DeregisterRunners(func(id runner.ID) bool { return !listed[id] }, clock.Now())
	for _, id := range t.state.UnregisteredRunners() {
		t.ensurePolled(ctx, id)
	}
	t.wakeLister()
	return rev, nil
}

// applyRunner applies a runner's registration and ensures that the runner is
// polled.
func (t *term) applyRunner(ctx context.Context, it kv.Item) {
	info, err := t.cfg.Registry.Decode(it.Key, it.Value)
	if err != nil {
		t.logger.Log("msg", "runner registration decoding failed", "key", it.Key, "rev", int64(it.Rev), "err", err)
		return
	}
	t.state.SetRunner(*info, clock.Now())
	t.ensurePolled(ctx, info.ID)
}

// ensurePolled starts the goroutine that polls a runner, unless it is running.
func (t *term) ensurePolled(ctx context.Context, id runner.ID) {
	if t.pollers[id] == nil {
		wakeup := make(chan struct{}, 1)
		t.pollers[id] = wakeup
		t.pollerCount.Store(int64(len(t.pollers)))
		t.spawn(func() { t.poll(ctx, id, wakeup) })
	}
}

// reviewEntries applies the entries of runners that were ignored and need not be any
// longer.
func (t *term) reviewEntries(ctx context.Context) {
	for _, id := range t.state.ReviewEntries(clock.Now()) {
		t.ensurePolled(ctx, id)
	}
}

// watchRunners applies changes of the registered runners.
func (t *term) watchRunners(ctx context.Context, rev kv.Revision) {
	for ctx.Err() == nil {
		events, asOf, err := t.cfg.Store.Watch(ctx, t.cfg.Registry.Prefix, rev, time.Now().Add(watchTimeout))
		if errors.Is(err, kv.ErrCompacted) {
			if rev, err = t.loadRunners(ctx); err != nil {
				rev = 0
			}
		}
		if err != nil {
			if ctx.Err() == nil {
				t.logger.Log("msg", "runner watch failed", "after", int64(rev), "err", err)
				clock.Sleep(ctx, retryDelay)
			}
			continue
		}
		if events == nil {
			rev = max(rev, asOf)
			continue
		}
		rev = asOf
		t.applyRunners(ctx, events)
		t.notify()
		if len(events) > 0 {
			clock.Sleep(ctx, runnerWatchDelay)
		}
	}
}

func (t *term) applyRunners(ctx context.Context, events []kv.Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range events {
		e := &events[i]
		if e.Deleted {
			id := e.Key[len(t.cfg.Registry.Prefix):]
			t.state.DeregisterRunner(runner.ID(id), clock.Now())
			t.wakeLister()
			continue
		}
		t.applyRunner(ctx, e.Item)
	}
}
