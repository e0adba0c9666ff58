package daemon

import (
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/peer"
)

// Receive passes a message of another daemon to the part that handles it.
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

// confirm reports which map version this daemon routes by to the manager of a
// zone. In its own zone it sends the confirmation to all daemons, because any
// of them may become the manager, at a time when this daemon may have no
// connection to the key-value store or have stopped.
func (d *Daemon) confirm(zone string, m peer.Confirm) {
	if zone == d.self.Zone {
		d.manager.Receive(d.self, m)
		d.mesh.Broadcast(peer.OwnZone, m)
		return
	}
	to := d.watcher.Manager(zone)
	if to == "" {
		if mp := d.tracker.View().Maps[zone]; mp != nil {
			to = mp.Writer
		}
	}
	if err := d.mesh.Send(to, m); err != nil {
		d.partLogger("confirm").Log("msg", "map confirmation not sent", "zone", zone, "version", m.Version, "err", err)
	}
}
