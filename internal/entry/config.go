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
	// slowRead is how long a read of the configuration takes at a store that is too
	// slow for watches: a watch fails if its response comes 400 ms late.
	slowRead = 300 * time.Millisecond
)

// ConfigWatcher watches the operators' configuration in the store. The active
// version never decreases.
type ConfigWatcher struct {
	Store  kv.Store
	Key    string
	Decode func([]byte) (*job.Config, error)
	Logger log.Logger
	// Now returns the time of the boot clock; nil means clock.Now.
	Now func() clock.BootTime

	active atomic.Pointer[activeConfig]
	// lastResponse is the time of the store's last response.
	lastResponse atomic.Pointer[time.Time]
	// newest is the newest revision of the store that a response had. Run owns it.
	newest kv.Revision
	// decoded is the revision of the last item that was decoded. Run owns it.
	decoded kv.Revision
}

// activeConfig is the active configuration with its age.
type activeConfig struct {
	config *job.Config // nil if there is none yet
	// sent is the time at which the latest store call was sent that has a response: the
	// store held no newer configuration then.
	sent clock.BootTime
}

// Config returns the active configuration, or nil if there is none yet.
func (w *ConfigWatcher) Config() *job.Config {
	if a := w.active.Load(); a != nil {
		return a.config
	}
	return nil
}

// ConfigAge returns the active configuration, or nil if there is none yet, and the time
// since the store held no newer one. The time counts from when the store call was sent
// that showed it, since a response may be delayed.
func (w *ConfigWatcher) ConfigAge() (*job.Config, time.Duration) {
	a := w.active.Load()
	if a == nil {
		return nil, 0
	}
	return a.config, w.now().Sub(a.sent)
}

func (w *ConfigWatcher) now() clock.BootTime {
	if w.Now == nil {
		return clock.Now()
	}
	return w.Now()
}

// RespondedSince reports whether the store has responded since the given time.
func (w *ConfigWatcher) RespondedSince(since time.Time) bool {
	t := w.lastResponse.Load()
	return t != nil && t.After(since)
}

// Run watches the configuration until the context ends.
func (w *ConfigWatcher) Run(ctx context.Context) error {
	unavailable := false
	for ctx.Err() == nil {
		rev, slow, err := w.read(ctx)
		for err == nil && ctx.Err() == nil {
			if unavailable {
				w.Logger.Log("msg", "store reachable again")
				unavailable = false
			}
			if slow && w.hasWorkspaces() {
				// A watch would fail, and its time would add to the age of the
				// configuration, at which requests with keys are rejected.
				clock.Sleep(ctx, retryDelay)
				rev, slow, err = w.read(ctx)
				continue
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

// read reads the configuration and returns a revision to watch from, and whether the
// store was slow.
func (w *ConfigWatcher) read(ctx context.Context) (rev kv.Revision, slow bool, err error) {
	sent := w.now()
	items, rev, err := w.Store.List(ctx, w.Key)
	if err != nil {
		return 0, false, err
	}
	w.recordResponse()
	for _, it := range items {
		w.activate(it)
	}
	w.recordSent(sent, rev)
	return rev, w.now().Sub(sent) > slowRead, nil
}

func (w *ConfigWatcher) watch(ctx context.Context, rev kv.Revision) (kv.Revision, error) {
	sent := w.now()
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
	w.recordSent(sent, asOf)
	return asOf, nil
}

func (w *ConfigWatcher) recordResponse() {
	now := time.Now()
	w.lastResponse.Store(&now)
}

// recordSent records that the active configuration was the newest one when a store call
// was sent. It must be called after the configurations of the response are activated. A
// response with an earlier revision than a previous one comes from an older copy of the
// store and shows nothing.
func (w *ConfigWatcher) recordSent(sent clock.BootTime, asOf kv.Revision) {
	if asOf < w.newest {
		w.Logger.Log("msg", "response of an older copy of the store", "rev", int64(asOf), "newest", int64(w.newest))
		return
	}
	w.newest = asOf
	w.active.Store(&activeConfig{config: w.Config(), sent: sent})
}

func (w *ConfigWatcher) hasWorkspaces() bool {
	c := w.Config()
	return c != nil && len(c.Workspaces) > 0
}

// activate activates a configuration if it is newer than the active one.
func (w *ConfigWatcher) activate(it kv.Item) {
	if it.Key != w.Key || it.Rev != 0 && it.Rev == w.decoded {
		return
	}
	w.decoded = it.Rev
	c, err := w.Decode(it.Value)
	if err != nil {
		w.Logger.Log("msg", "configuration rejected", "rev", int64(it.Rev), "err", err)
		return
	}
	next := &activeConfig{config: c}
	if old := w.active.Load(); old != nil {
		if old.config != nil && c.Version <= old.config.Version {
			return
		}
		next.sent = old.sent
	}
	w.active.Store(next)
	w.Logger.Log("msg", "configuration applied", "version", c.Version, "rev", int64(it.Rev), "queues", len(c.Queues))
}
