package daemon

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/etcd/lease"
	"gypsumtrestle.example/gypsumtrestle/internal/fleet"
	"gypsumtrestle.example/gypsumtrestle/internal/operator"
	"gypsumtrestle.example/gypsumtrestle/internal/peer"
)

// register keeps this daemon's addresses in the platform's service. When a
// newer incarnation has the name, this one makes its planned stop: two
// processes with one name would break the roster's proofs.
func (d *Daemon) register(ctx context.Context) error {
	value, err := json.Marshal(d.self)
	if err != nil {
		return errors.Wrap(err, "encode registration")
	}
	r := &lease.Registration{
		Store: d.platform, Key: operator.DaemonPrefix + d.self.Zone + "/" + d.self.Name, Value: value,
		Superseded: d.superseded, Logger: d.named(),
	}
	if err := r.Run(ctx); !errors.Is(err, lease.ErrSuperseded) {
		return err
	}
	d.part("register").Log("msg", "a newer daemon has this name, stopping")
	d.superseder()
	<-ctx.Done()
	return nil
}

// superseded reports whether a stored registration is a newer incarnation's.
func (d *Daemon) superseded(p etcd.Pair) bool {
	var other peer.Daemon
	if err := json.Unmarshal(p.Value, &other); err != nil {
		return false
	}
	return fleet.Newer(other.Incarnation, d.self.Incarnation)
}
