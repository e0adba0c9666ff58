package daemon

import (
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/peer"
)

// Receive hands a message of another daemon to the part that it is for.
func (d *Daemon) Receive(from peer.Daemon, m peer.Message) {
	now := time.Now()
	switch m := m.(type) {
	case peer.Load:
		d.pools.SetRemoteLoad(from, &m, now)
	case peer.FreeSlots:
		if from.Zone != d.self.Zone {
			rank, of := rank(d.self, d.mesh.Peers(), from.Zone)
			d.pools.SetRemoteFreeSlots(from.Zone, m, rank, of, now)
		}
	case peer.Claim, peer.Grant, peer.Report:
		d.claims.Receive(from, m)
	case peer.Confirm, peer.Shutdown:
		d.manager.Receive(from, m)
	}
}

// confirm tells a zone by which map this daemon routes. All daemons of its own
// zone hear it, because any of them may become the manager, and this one may be
// cut off from the platform or stopped when that happens.
func (d *Daemon) confirm(zone string, m peer.Confirm) {
	if zone == d.self.Zone {
		d.manager.Receive(d.self, m)
		d.mesh.Broadcast(peer.OwnZone, m)
		return
	}
	to := d.follower.Manager(zone)
	if to == "" {
		if mp := d.keeper.View().Maps[zone]; mp != nil {
			to = mp.Writer
		}
	}
	if err := d.mesh.Send(to, m); err != nil {
		d.part("confirm").Log("msg", "map is not confirmed yet", "zone", zone, "version", m.Version, "err", err)
	}
}
