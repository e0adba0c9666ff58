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
	// configWatchWait is how long a watch of the configuration waits for a change.
	// A watch without a response is detected after this time plus the client's
	// slack, well within the two seconds in which a configuration must be active.
	configWatchWait = 700 * time.Millisecond
	// retryDelay is the pause after a failed call to the store.
	retryDelay = 100 * time.Millisecond
)

// ConfigWatcher watches the operators' configuration in the store. The active
// version never decreases.
type ConfigWatcher struct {
	Store  kv.Store
	Key    string
	Decode func([]byte) (*job.Config, error)
	Logger log.Logger

	cfg atomic.Pointer[job.Config]
	// lastResponse is the time of the store's last response.
	lastResponse atomic.Pointer[time.Time]
}

// Config returns the active configuration, or nil if there is none yet.
func (w *ConfigWatcher) Config() *job.Config { return w.cfg.Load() }

// RespondedSince reports whether the store has responded since the given time.
func (w *ConfigWatcher) RespondedSince(since time.Time) bool {
	t := w.lastResponse.Load()
	return t != nil && t.After(since)
}

// Run watches the configuration until the context ends.
func (w *ConfigWatcher) Run(ctx context.Context) error {
	unavailable := false
	for ctx.Err() == nil {
		rev, err := w.read(ctx)
		for err == nil && ctx.Err() == nil {
			if unavailable {
				w.Logger.Log("msg", "store reachable again")
				unavailable = false
			}
			rev, err = w.watch(ctx, rev)
		}
		if ctx.Err() != nil {
			break
		}
		if !unavailable {
			w.Logger.Log("msg", "configuration watch failed", "err", err)
		}
		if !errors.Is(err, kv.ErrCompacted) {
			unavailable = true
			clock.Sleep(ctx, retryDelay)
		}
	}
	return ctx.Err()
}

// read reads the configuration and returns a revision to watch from.
func (w *ConfigWatcher) read(ctx context.Context) (kv.Revision, error) {
	items, rev, err := w.Store.List(ctx, w.Key)
	if err != nil {
		return 0, err
	}
	w.recordResponse()
	for _, it := range items {
		w.activate(it)
	}
	return rev, nil
}

func (w *ConfigWatcher) watch(ctx context.Context, rev kv.Revision) (kv.Revision, error) {
	events, asOf, err := w.Store.Watch(ctx, w.Key, rev, time.Now().Add(configWatchWait))
	if err != nil {
		return rev, err
	}
	w.recordResponse()
	for _, e := range events {
		if !e.Deleted {
			w.activate(e.Item)
		}
	}
	return asOf, nil
}

func (w *ConfigWatcher) recordResponse() {
	now := time.Now()
	w.lastResponse.Store(&now)
}

// activate activates a configuration if it is newer than the active one.
func (w *ConfigWatcher) activate(it kv.Item) {
	if it.Key != w.Key {
		return
	}
	c, err := w.Decode(it.Value)
	if err != nil {
		w.Logger.Log("msg", "configuration rejected", "rev", int64(it.Rev), "err", err)
		return
	}
	if old := w.cfg.Load(); old != nil && c.Version <= old.Version {
		return
	}
	w.cfg.Store(c)
	w.Logger.Log("msg", "configuration applied", "version", c.Version, "rev", int64(it.Rev), "queues", len(c.Queues))
}
