package lease

import (
	"context"
	"time"

	"github.com/go-kit/log"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
)

// DefaultRegistrationTTL is the default length of the lease of a Registration.
const DefaultRegistrationTTL = 10 * time.Second

// Registration keeps one key alive under a lease. It overwrites the value of any
// other writer, writes the key again when the lease has expired, and revokes the
// lease at shutdown.
type Registration struct {
	Store etcd.Store
	Key   string
	// Value must not change during Run.
	Value []byte
	// TTL is the length of the lease, in whole seconds; zero means
	// DefaultRegistrationTTL.
	TTL time.Duration
	// Superseded reports whether a pair must not be overwritten, such as that of
	// a newer incarnation; nil means that any may be overwritten.
	Superseded func(etcd.Pair) bool
	Logger     log.Logger
}

// Run keeps the key until ctx ends, or returns ErrSuperseded.
func (r *Registration) Run(ctx context.Context) error {
	k := keeper{store: r.Store, key: r.Key, value: r.Value, ttl: r.TTL, log: r.Logger, mayWrite: r.mayWrite, setHeld: func(*Held) {}}
	if k.ttl == 0 {
		k.ttl = DefaultRegistrationTTL
	}
	return k.run(ctx)
}

func (r *Registration) mayWrite(p etcd.Pair) error {
	if p.Key != "" && r.Superseded != nil && r.Superseded(p) {
		return ErrSuperseded
	}
	return nil
}
