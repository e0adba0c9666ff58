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

// register keeps this daemon's addresses in the key-value store. When a newer
// incarnation has registered under the same name, this one makes its planned
// stop: the roster can only prove that a daemon sends no more requests if one
// process at a time uses a name.
func (d *Daemon) register(ctx context.Context) error {
	value, err := json.Marshal(d.self)
	if err != nil {
		return errors.Wrap(err, "encode registration")
	}
	r := &lease.Registration{
		Store: d.platform, Key: operator.DaemonPrefix + d.self.Zone + "/" + d.self.Name, Value: value,
		Superseded: d.superseded, Logger: d.daemonLogger(),
	}
	if err := r.Run(ctx); !errors.Is(err, lease.ErrSuperseded) {
		return err
	}
	d.partLogger("register").Log("msg", "superseded by newer incarnation, stopping")
	d.requestStop()
	<-ctx.Done()
	return nil
}

// superseded reports whether a stored registration belongs to a newer
// incarnation.
func (d *Daemon) superseded(p etcd.Pair) bool {
	var other peer.Daemon
	if err := json.Unmarshal(p.Value, &other); err != nil {
		return false
	}
	return fleet.Newer(other.Incarnation, d.self.Incarnation)
}
