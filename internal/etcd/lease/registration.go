package lease

import (
	"context"
	"time"

	"github.com/go-kit/log"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
)

// DefaultRegisterTTL is the lease of a daemon's registration.
const DefaultRegisterTTL = 10 * time.Second

// Registration keeps one key alive under a lease: it writes the key over any
// other writer's, writes it again when the lease has lapsed, and revokes the
// lease at shutdown.
type Registration struct {
	Store etcd.Store
	Key   string
	// Value must not change while Run runs.
	Value []byte
	// TTL is the length of the lease in whole seconds.
	TTL time.Duration
	// Superseded reports that another writer's pair must stay, such as that
	// of a newer incarnation; nil means that none must.
	Superseded func(etcd.Pair) bool
	Logger     log.Logger
}

// Run keeps the key until ctx ends, or returns ErrSuperseded.
func (r *Registration) Run(ctx context.Context) error {
	k := keeper{store: r.Store, key: r.Key, value: r.Value, ttl: r.TTL, log: r.Logger, may: r.may, set: func(*Held) {}}
	if k.ttl == 0 {
		k.ttl = DefaultRegisterTTL
	}
	return k.run(ctx)
}

func (r *Registration) may(p etcd.Pair) error {
	if p.Key != "" && r.Superseded != nil && r.Superseded(p) {
		return ErrSuperseded
	}
	return nil
}
