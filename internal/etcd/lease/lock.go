package lease

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
)

// DefaultLockTTL is the default length of the lease of a Lock.
const DefaultLockTTL = 6 * time.Second

// Lock is like a Registration, but writes its key only if it is absent, so that
// one process at a time holds it. A holder that was paused may still act on an
// outdated Held: writes that only the holder may make must also compare Created
// of the key.
type Lock struct {
	Store etcd.Store
	Key   string
	// Value must not change during Run.
	Value []byte
	// TTL is the length of the lease, in whole seconds; zero means
	// DefaultLockTTL.
	TTL    time.Duration
	Logger log.Logger

	held atomic.Pointer[Held]
}

// Run acquires the lock when it is free and holds it, until ctx ends.
func (l *Lock) Run(ctx context.Context) error {
	k := keeper{store: l.Store, key: l.Key, value: l.Value, ttl: l.TTL, log: l.Logger, mayWrite: l.mayWrite, setHeld: l.held.Store}
	if k.ttl == 0 {
		k.ttl = DefaultLockTTL
	}
	return k.run(ctx)
}

// Held returns the held key and whether the lock is certainly held at the given
// time.
func (l *Lock) Held(now time.Time) (Held, bool) {
	h := l.held.Load()
	if h == nil || !now.Before(h.Deadline) {
		return Held{}, false
	}
	return *h, true
}

func (l *Lock) mayWrite(p etcd.Pair) error {
	if p.Key != "" {
		return errKeyHeld
	}
	return nil
}
