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

// Prefixes of the keys that daemons follow. Claims and totals change often and
// lie outside, so that one watch does not carry them.
const (
	statePrefix   = "/gt/"
	mapPrefix     = statePrefix + "map/"
	managerPrefix = statePrefix + "manager/"
)

const (
	minFollowPause = 200 * time.Millisecond
	maxFollowPause = 5 * time.Second
)

// Watcher offers what the platform stores to the Tracker and the mesh.
type Watcher struct {
	Store etcd.Store
	State *state.Tracker
	// OnRegistered is told of the registered daemons.
	OnRegistered func([]peer.Daemon)
	Logger       log.Logger

	mu       sync.Mutex
	daemons  map[string]peer.Daemon
	managers map[string]string // by zone
}

// Manager returns the incarnation that manages a zone, as last heard.
func (f *Watcher) Manager(zone string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.managers[zone]
}

// Run follows until ctx ends. It sends on first after each complete read, if
// somebody takes it.
func (f *Watcher) Run(ctx context.Context, first chan<- struct{}) error {
	pause := minFollowPause
	for ctx.Err() == nil {
		started := time.Now()
		err := f.follow(ctx, first)
		if ctx.Err() != nil {
			break
		}
		if time.Since(started) > maxFollowPause {
			pause = minFollowPause
		}
		f.Logger.Log("msg", "platform is not followed, state in force stays", "err", err)
		select {
		case <-time.After(pause/2 + rand.N(pause)):
		case <-ctx.Done():
		}
		pause = min(2*pause, maxFollowPause)
	}
	return nil
}

// follow reads all keys and then watches them until the watch breaks.
func (f *Watcher) follow(ctx context.Context, first chan<- struct{}) error {
	pairs, revision, err := f.Store.List(ctx, statePrefix)
	if err != nil {
		return errors.Wrap(err, "read state")
	}
	f.reset(pairs)
	select {
	case first <- struct{}{}:
	default:
	}
	return f.Store.Watch(ctx, statePrefix, revision, f.event)
}

// reset replaces what only the platform knows; texts and maps never fall back.
func (f *Watcher) reset(pairs []etcd.Pair) {
	f.mu.Lock()
	f.daemons, f.managers = make(map[string]peer.Daemon), make(map[string]string)
	f.mu.Unlock()
	for _, p := range pairs {
		f.take(p)
	}
	f.tell()
}

func (f *Watcher) event(e etcd.Event) {
	if !e.Deleted {
		f.take(e.Pair)
	} else {
		f.mu.Lock()
		delete(f.daemons, e.Key)
		if zone, ok := strings.CutPrefix(e.Key, managerPrefix); ok {
			delete(f.managers, zone)
		}
		f.mu.Unlock()
	}
	if strings.HasPrefix(e.Key, operator.DaemonPrefix) {
		f.tell()
	}
}

func (f *Watcher) tell() {
	f.mu.Lock()
	ds := slices.Collect(maps.Values(f.daemons))
	f.mu.Unlock()
	f.OnRegistered(ds)
}

func (f *Watcher) take(p etcd.Pair) {
	if err := f.offer(p); err != nil {
		f.Logger.Log("msg", "value is ignored", "key", p.Key, "err", err)
	}
}

// offer hands on one value.
func (f *Watcher) offer(p etcd.Pair) error {
	switch {
	case p.Key == operator.TextKey:
		r, err := operator.DecodeRecord(p.Value)
		if err != nil {
			return err
		}
		taken, err := f.State.UpdatePlan(r.Version, []byte(r.Text))
		if taken {
			f.Logger.Log("msg", "text is in force", "version", r.Version, "author", r.Author, "from", "platform")
		}
		return err
	case strings.HasPrefix(p.Key, mapPrefix):
		m := new(fleet.Map)
		if err := json.Unmarshal(p.Value, m); err != nil {
			return errors.Wrap(err, "decode map")
		}
		f.State.UpdateMap(m)
	case strings.HasPrefix(p.Key, operator.DaemonPrefix):
		var d peer.Daemon
		if err := json.Unmarshal(p.Value, &d); err != nil {
			return errors.Wrap(err, "decode registration")
		}
		f.mu.Lock()
		f.daemons[p.Key] = d
		f.mu.Unlock()
	case strings.HasPrefix(p.Key, managerPrefix):
		f.mu.Lock()
		f.managers[strings.TrimPrefix(p.Key, managerPrefix)] = string(p.Value)
		f.mu.Unlock()
	}
	return nil
}
