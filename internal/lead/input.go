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
	// watchWait is how long the leader's watches wait. A watch that went silent
	// is noticed after it.
	watchWait = time.Second
	// watchGap follows a watch that returned events, so that one call brings
	// the changes of several milliseconds.
	watchGap = 20 * time.Millisecond
)

// load reads the state of the term from the store. It repeats until it
// succeeds or the term is lost.
func (x *term) load(ctx context.Context) (inputRev, serversRev kv.Revision, ok bool) {
	for ctx.Err() == nil {
		var err error
		if inputRev, err = x.loadJobs(ctx); err == nil {
			if serversRev, err = x.loadServers(ctx); err == nil {
				return inputRev, serversRev, true
			}
		}
		x.logger.Log("msg", "state cannot be loaded", "err", err)
		clock.Sleep(ctx, retryPause)
	}
	return 0, 0, false
}

// loadJobs reads jobs, cancellations, progress and the roster.
func (x *term) loadJobs(ctx context.Context) (kv.Revision, error) {
	begun := clock.Now()
	items, rev, err := x.cfg.Store.List(ctx, job.Prefix)
	if err != nil {
		return 0, err
	}
	progress := make(map[job.ID]kv.Item)
	for _, it := range items {
		if id, ok := job.IDFromKey(it.Key, job.ProgressPrefix); ok {
			progress[id] = it
		}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if c := x.cfg.CurrentConfig(); c != nil {
		x.state.Configure(c)
	}
	for _, it := range items {
		switch {
		case it.Key == job.LeaderKey && runner.Term(it.Rev) != x.id:
			x.lose(errDeposed)
			return 0, errDeposed
		case it.Key == job.RosterKey:
			x.inherit(it)
		case it.Key == job.MachinesKey:
			x.inheritIntents(it)
		}
		if _, ok := job.IDFromKey(it.Key, job.JobPrefix); ok {
			x.addJob(it, progress)
		}
	}
	for _, it := range items {
		x.cancel(it)
	}
	c := x.state.Stats()
	x.logger.Log("msg", "jobs are loaded", "open", c.Open, "known", c.Known, "rev", int64(rev), "took", clock.Now().Sub(begun))
	return rev, nil
}

// inherit takes the roster of the earlier terms.
func (x *term) inherit(it kv.Item) {
	var rows []sched.RosterEntry
	if err := cbor.Unmarshal(it.Value, &rows); err != nil {
		x.logger.Log("msg", "roster cannot be read", "rev", int64(it.Rev), "err", err)
	}
	x.state.InheritRoster(rows)
	x.rosterRev, x.roster = it.Rev, rows
}

// addJob takes a job that was accepted.
func (x *term) addJob(it kv.Item, progress map[job.ID]kv.Item) {
	j, err := job.DecodeJob(it.Value)
	if err != nil {
		x.logger.Log("msg", "job cannot be read", "key", it.Key, "err", err)
		return
	}
	var p *job.Progress
	pit, ok := progress[j.ID]
	if ok {
		if p, err = job.DecodeProgress(pit.Value); err != nil {
			x.logger.Log("msg", "progress cannot be read", "key", pit.Key, "err", err)
		}
	}
	x.state.AddJob(j, it.Created, p, pit.Rev, clock.Now(), time.Now())
}

func (x *term) cancel(it kv.Item) {
	if id, ok := job.IDFromKey(it.Key, job.CancelPrefix); ok {
		x.state.CancelJob(id, clock.Now())
	}
}

// watchInput takes what daemons write for the leader.
func (x *term) watchInput(ctx context.Context, rev kv.Revision) {
	for ctx.Err() == nil {
		events, asOf, err := x.cfg.Store.Watch(ctx, job.InputPrefix, rev, time.Now().Add(watchWait))
		switch {
		case errors.Is(err, kv.ErrCompacted):
			x.logger.Log("msg", "history of the input is gone", "after", int64(rev))
			if r, lerr := x.loadInput(ctx); lerr == nil {
				rev = r
			} else {
				x.logger.Log("msg", "input cannot be listed", "err", lerr)
				clock.Sleep(ctx, retryPause)
			}
			continue
		case err != nil:
			if ctx.Err() == nil {
				x.logger.Log("msg", "input cannot be watched", "after", int64(rev), "err", err)
				clock.Sleep(ctx, retryPause)
			}
			continue
		}
		rev = asOf
		x.takeInput(events)
		if len(events) > 0 {
			x.wake()
			clock.Sleep(ctx, watchGap)
		}
	}
}

func (x *term) takeInput(events []kv.Event) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.state.InputCurrent(clock.Now())
	for i := range events {
		e := &events[i]
		switch {
		case e.Key == job.LeaderKey && (e.Deleted || runner.Term(e.Rev) != x.id) && e.Rev >= kv.Revision(x.id):
			x.lose(errDeposed)
			return
		case e.Deleted:
		default:
			if _, ok := job.IDFromKey(e.Key, job.JobPrefix); ok {
				x.addJob(e.Item, nil)
			}
			x.cancel(e.Item)
		}
	}
}

// loadInput lists the input again after its history was dropped.
func (x *term) loadInput(ctx context.Context) (kv.Revision, error) {
	items, rev, err := x.cfg.Store.List(ctx, job.InputPrefix)
	if err != nil {
		return 0, err
	}
	leads := false
	for _, it := range items {
		leads = leads || (it.Key == job.LeaderKey && runner.Term(it.Rev) == x.id)
	}
	if !leads {
		x.lose(errDeposed)
		return 0, errDeposed
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.state.InputCurrent(clock.Now())
	for _, it := range items {
		if _, ok := job.IDFromKey(it.Key, job.JobPrefix); ok {
			x.addJob(it, nil)
		}
	}
	for _, it := range items {
		x.cancel(it)
	}
	x.wake()
	return rev, nil
}

// loadServers lists the runners and takes the list as complete.
func (x *term) loadServers(ctx context.Context) (kv.Revision, error) {
	items, rev, err := x.cfg.Store.List(ctx, x.cfg.Registry.Prefix)
	if err != nil {
		return 0, err
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	listed := make(map[runner.ID]bool, len(items))
	for _, it := range items {
		if id, ok := x.takeServer(ctx, it); ok {
			listed[id] = true
		}
	}
	x.state.DeregisterRunners(func(id runner.ID) bool { return !listed[id] }, clock.Now())
	for _, id := range x.state.UnregisteredRunners() {
		x.lookAt(ctx, id)
	}
	return rev, nil
}

// takeServer takes a runner's entry and sees to it that the runner is looked
// at.
func (x *term) takeServer(ctx context.Context, it kv.Item) (runner.ID, bool) {
	i, err := x.cfg.Registry.Decode(it.Key, it.Value)
	if err != nil {
		x.logger.Log("msg", "runner's entry cannot be used", "key", it.Key, "rev", int64(it.Rev), "err", err)
		return "", false
	}
	x.state.SetRunner(*i, clock.Now())
	x.lookAt(ctx, i.ID)
	return i.ID, true
}

// lookAt sees to it that a runner is looked at.
func (x *term) lookAt(ctx context.Context, id runner.ID) {
	if !x.lookers[id] {
		x.lookers[id] = true
		x.looked.Store(int64(len(x.lookers)))
		x.spawn(func() { x.look(ctx, id) })
	}
}

// watchServers follows the list of runners.
func (x *term) watchServers(ctx context.Context, rev kv.Revision) {
	for ctx.Err() == nil {
		events, asOf, err := x.cfg.Store.Watch(ctx, x.cfg.Registry.Prefix, rev, time.Now().Add(watchWait))
		if errors.Is(err, kv.ErrCompacted) {
			if rev, err = x.loadServers(ctx); err != nil {
				rev = 0
			}
		}
		if err != nil {
			if ctx.Err() == nil {
				x.logger.Log("msg", "runners cannot be watched", "after", int64(rev), "err", err)
				clock.Sleep(ctx, retryPause)
			}
			continue
		}
		if events == nil {
			rev = max(rev, asOf)
			continue
		}
		rev = asOf
		x.takeServers(ctx, events)
		x.wake()
		if len(events) > 0 {
			clock.Sleep(ctx, watchGap)
		}
	}
}

func (x *term) takeServers(ctx context.Context, events []kv.Event) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for i := range events {
		e := &events[i]
		if e.Deleted {
			id := e.Key[len(x.cfg.Registry.Prefix):]
			x.state.DeregisterRunner(runner.ID(id), clock.Now())
			continue
		}
		x.takeServer(ctx, e.Item)
	}
}
