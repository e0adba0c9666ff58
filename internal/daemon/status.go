package daemon

import (
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/fleet"
	"gypsumtrestle.example/gypsumtrestle/internal/operator"
	"gypsumtrestle.example/gypsumtrestle/internal/peer"
	"gypsumtrestle.example/gypsumtrestle/internal/state"
	"gypsumtrestle.example/gypsumtrestle/pkg/text"
)

// status returns the contents of the page at /status.
func (d *Daemon) status() *operator.Status {
	v := d.tracker.View()
	s := &operator.Status{
		Daemon: d.self, At: time.Now(), Ready: d.server.Ready(), PlanVersion: v.PlanVersion,
		MapVersions: make(map[string]uint64), Manager: d.watcher.Manager(d.self.Zone),
	}
	for zone, m := range v.Maps {
		s.MapVersions[zone] = m.Version
	}
	for _, p := range d.mesh.Peers() {
		if p.Daemon.Incarnation != d.self.Incarnation {
			s.Peers = append(s.Peers, operatorPeer(p))
		}
	}
	if v.Text != nil {
		for i := range v.Text.Services {
			s.Pools = append(s.Pools, d.pool(v, &v.Text.Services[i]))
		}
	}
	s.Drains = d.drains(v)
	return s
}

func operatorPeer(p peer.Status) operator.Peer {
	return operator.Peer{Daemon: p.Daemon, Linked: p.Connected, LastHeartbeat: p.LastHeartbeat, PlanVersion: p.PlanVersion}
}

// pool describes a service's pool in the daemon's zone.
func (d *Daemon) pool(v *state.View, s *text.Service) operator.Pool {
	out := operator.Pool{Service: s.Name, Wanted: s.Runners[d.self.Zone]}
	out.Running, out.Queued = d.pools.InUse(s.Name)
	m := v.Maps[d.self.Zone]
	if m == nil {
		return out
	}
	for i := range m.Hosts {
		h := &m.Hosts[i]
		switch {
		case h.Pool != s.Name:
		case h.State == fleet.Serving:
			out.Serving++
			out.Slots += h.Slots
		default:
			out.Other++
		}
	}
	return out
}

// drains returns the draining hosts of the zone. The manager adds the reasons
// for which they wait.
func (d *Daemon) drains(v *state.View) []operator.Drain {
	m := v.Maps[d.self.Zone]
	if m == nil {
		return nil
	}
	waits := d.drainReasons()
	var out []operator.Drain
	for i := range m.Hosts {
		h := &m.Hosts[i]
		if h.State != fleet.Draining && h.State != fleet.Stopping {
			continue
		}
		next := h.Next
		if next == "" {
			next = fleet.Maintenance.String()
		}
		out = append(out, operator.Drain{Host: h.Name, Zone: m.Zone, Pool: h.Pool, Next: next, Since: h.Since, Reason: waits[h.Name]})
	}
	return out
}

// drainReasons returns, by host, the joined reasons for which drains wait, as
// the manager reports them.
func (d *Daemon) drainReasons() map[string]string {
	out := make(map[string]string)
	for _, w := range d.manager.Status().Waits {
		reason := "daemon " + w.Daemon + " " + w.Reason
		if out[w.Host] != "" {
			reason = out[w.Host] + "; " + reason
		}
		out[w.Host] = reason
	}
	return out
}
