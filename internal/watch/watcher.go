package watch

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/fleet"
	"gypsumtrestle.example/gypsumtrestle/internal/operator"
	"gypsumtrestle.example/gypsumtrestle/internal/peer"
	"gypsumtrestle.example/gypsumtrestle/internal/state"
)

// Prefixes of the keys that daemons watch. Claims and totals have other prefixes,
// because they change often and should not be part of this watch.
const (
	statePrefix   = "/gt/"
	mapPrefix     = statePrefix + "map/"
	managerPrefix = statePrefix + "manager/"
)

const (
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 5 * time.Second
)

// Watcher passes the state that the platform stores to the Tracker and the mesh.
type Watcher struct {
	Store etcd.Store
	State *state.Tracker
	// OnRegistered is called with all registered daemons when they may have
	// changed.
	OnRegistered func([]peer.Daemon)
	Logger       log.Logger

	mu       sync.Mutex
	daemons  map[string]peer.Daemon
	managers map[string]string // by zone
}

// Manager returns the incarnation that manages a zone according to the last known
// state, or an empty string.
func (w *Watcher) Manager(zone string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.managers[zone]
}

// Run watches the platform until ctx ends. After each complete read it sends on
// first without blocking; the value is dropped if it cannot be received.
func (w *Watcher) Run(ctx context.Context, first chan<- struct{}) error {
	delay := minRetryDelay
	for ctx.Err() == nil {
		started := time.Now()
		err := w.watch(ctx, first)
		if ctx.Err() != nil {
			break
		}
		if time.Since(started) > maxRetryDelay {
			delay = minRetryDelay
		}
		w.Logger.Log("msg", "platform watch failed", "err", err)
		select {
		case <-time.After(delay/2 + rand.N(delay)):
		case <-ctx.Done():
		}
		delay = min(2*delay, maxRetryDelay)
	}
	return nil
}

// watch reads all keys and then watches them until the watch fails.
func (w *Watcher) watch(ctx context.Context, first chan<- struct{}) error {
	pairs, revision, err := w.Store.List(ctx, statePrefix)
	if err != nil {
		return errors.Wrap(err, "read state")
	}
	w.reset(pairs)
	select {
	case first <- struct{}{}:
	default:
	}
	return w.Store.Watch(ctx, statePrefix, revision, w.handleEvent)
}

// reset replaces the registered daemons and managers, and applies the texts and
// maps, whose versions never decrease.
func (w *Watcher) reset(pairs []etcd.Pair) {
	w.mu.Lock()
	w.daemons, w.managers = make(map[string]peer.Daemon), make(map[string]string)
	w.mu.Unlock()
	for _, p := range pairs {
		w.applyAndLog(p)
	}
	w.notifyRegistered()
}

func (w *Watcher) handleEvent(e etcd.Event) {
	if !e.Deleted {
		w.applyAndLog(e.Pair)
	} else {
		w.mu.Lock()
		delete(w.daemons, e.Key)
		if zone, ok := strings.CutPrefix(e.Key, managerPrefix); ok {
			delete(w.managers, zone)
		}
		w.mu.Unlock()
	}
	if strings.HasPrefix(e.Key, operator.DaemonPrefix) {
		w.notifyRegistered()
	}
}

func (w *Watcher) notifyRegistered() {
	w.mu.Lock()
	daemons := slices.Collect(maps.Values(w.daemons))
	w.mu.Unlock()
	w.OnRegistered(daemons)
}

func (w *Watcher) applyAndLog(p etcd.Pair) {
	if err := w.apply(p); err != nil {
		w.Logger.Log("msg", "stored value ignored", "key", p.Key, "err", err)
	}
}

// apply decodes one value and passes it on.
func (w *Watcher) apply(p etcd.Pair) error {
	switch {
	case p.Key == operator.TextKey:
		r, err := operator.DecodeRecord(p.Value)
		if err != nil {
			return err
		}
		updated, err := w.State.UpdatePlan(r.Version, []byte(r.Text))
		if updated {
			w.Logger.Log("msg", "text activated", "version", r.Version, "author", r.Author, "from", "platform")
		}
		return err
	case strings.HasPrefix(p.Key, mapPrefix):
		m := new(fleet.Map)
		if err := json.Unmarshal(p.Value, m); err != nil {
			return errors.Wrap(err, "decode map")
		}
		w.State.UpdateMap(m)
	case strings.HasPrefix(p.Key, operator.DaemonPrefix):
		var d peer.Daemon
		if err := json.Unmarshal(p.Value, &d); err != nil {
			return errors.Wrap(err, "decode registration")
		}
		w.mu.Lock()
		w.daemons[p.Key] = d
		w.mu.Unlock()
	case strings.HasPrefix(p.Key, managerPrefix):
		w.mu.Lock()
		w.managers[strings.TrimPrefix(p.Key, managerPrefix)] = string(p.Value)
		w.mu.Unlock()
	}
	return nil
}
