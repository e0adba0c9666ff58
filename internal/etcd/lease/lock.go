package lease

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
)

// DefaultLockTTL is the lease of a lock.
const DefaultLockTTL = 6 * time.Second

// Lock is a Register that writes its key only if it is absent, so that one
// process at a time holds it. A holder that was paused may still act on a
// Held of the past: writes that only the holder may make also compare the
// key's Created.
type Lock struct {
	Store etcd.Store
	Key   string
	// Value must not change while Run runs.
	Value []byte
	// TTL is the length of the lease in whole seconds.
	TTL    time.Duration
	Logger log.Logger

	held atomic.Pointer[Held]
}

// Run takes the lock when it is free and keeps it, until ctx ends.
func (l *Lock) Run(ctx context.Context) error {
	k := keeper{store: l.Store, key: l.Key, value: l.Value, ttl: l.TTL, log: l.Logger, may: l.may, set: l.held.Store}
	if k.ttl == 0 {
		k.ttl = DefaultLockTTL
	}
	return k.run(ctx)
}

// Held returns what is held at an instant, if anything.
func (l *Lock) Held(now time.Time) (Held, bool) {
	h := l.held.Load()
	if h == nil || !now.Before(h.Deadline) {
		return Held{}, false
	}
	return *h, true
}

func (l *Lock) may(p etcd.Pair) error {
	if p.Key != "" {
		return errTaken
	}
	return nil
}
