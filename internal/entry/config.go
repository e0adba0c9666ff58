package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/kv"
)

const (
	// configWait is how long the watch of the configuration waits. A watch that
	// has gone silent is noticed after it and the client's slack, well within
	// the two seconds in which a configuration must be in force.
	configWait = 700 * time.Millisecond
	// retryPause follows a failed call to the store.
	retryPause = 100 * time.Millisecond
)

// ConfigWatcher follows the operators' configuration in the store. The version in
// force only grows.
type ConfigWatcher struct {
	Store  kv.Store
	Key    string
	Decode func([]byte) (*job.Config, error)
	Logger log.Logger

	cfg atomic.Pointer[job.Config]
	// heard is when the store last answered.
	heard atomic.Pointer[time.Time]
}

// Config returns the configuration in force, or nil before the first.
func (o *ConfigWatcher) Config() *job.Config { return o.cfg.Load() }

// RespondedSince tells whether the store has answered since the given instant.
func (o *ConfigWatcher) RespondedSince(since time.Time) bool {
	t := o.heard.Load()
	return t != nil && t.After(since)
}

// Run follows the configuration until the context ends.
func (o *ConfigWatcher) Run(ctx context.Context) error {
	away := false
	for ctx.Err() == nil {
		rev, err := o.read(ctx)
		for err == nil && ctx.Err() == nil {
			if away {
				o.Logger.Log("msg", "store answers again")
				away = false
			}
			rev, err = o.watch(ctx, rev)
		}
		if ctx.Err() != nil {
			break
		}
		if !away {
			o.Logger.Log("msg", "configuration cannot be followed", "err", err)
		}
		if !errors.Is(err, kv.ErrCompacted) {
			away = true
			clock.Sleep(ctx, retryPause)
		}
	}
	return ctx.Err()
}

// read reads the configuration and returns a revision to watch from.
func (o *ConfigWatcher) read(ctx context.Context) (kv.Revision, error) {
	items, rev, err := o.Store.List(ctx, o.Key)
	if err != nil {
		return 0, err
	}
	o.mark()
	for _, it := range items {
		o.take(it)
	}
	return rev, nil
}

func (o *ConfigWatcher) watch(ctx context.Context, rev kv.Revision) (kv.Revision, error) {
	events, asOf, err := o.Store.Watch(ctx, o.Key, rev, time.Now().Add(configWait))
	if err != nil {
		return rev, err
	}
	o.mark()
	for _, e := range events {
		if !e.Deleted {
			o.take(e.Item)
		}
	}
	return asOf, nil
}

func (o *ConfigWatcher) mark() {
	now := time.Now()
	o.heard.Store(&now)
}

// take puts a configuration in force if it is newer.
func (o *ConfigWatcher) take(it kv.Item) {
	if it.Key != o.Key {
		return
	}
	c, err := o.Decode(it.Value)
	if err != nil {
		o.Logger.Log("msg", "configuration cannot be used", "rev", int64(it.Rev), "err", err)
		return
	}
	if old := o.cfg.Load(); old != nil && c.Version <= old.Version {
		return
	}
	o.cfg.Store(c)
	o.Logger.Log("msg", "configuration is in force", "version", c.Version, "rev", int64(it.Rev), "queues", len(c.Queues))
}
