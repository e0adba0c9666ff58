package link

import (
	"context"
	"maps"

	"gypsumtrestle.example/gypsumtrestle/internal/fleet"
	"gypsumtrestle.example/gypsumtrestle/internal/peer/message"
	"gypsumtrestle.example/gypsumtrestle/internal/state"
)

// sendChanges sends changes of the local state: new leaving hosts and new
// versions. Once, after the first Heartbeat of the peer, it also sends the
// newer versions that the peer lacks.
func (l *Link) sendChanges(ctx context.Context) error {
	v := l.tracker.View()
	for _, m := range l.newLeaving(v) {
		if err := l.Write(ctx, m); err != nil {
			return err
		}
	}
	now := versionsOf(v)
	if now.plan != l.announced.plan || !maps.Equal(now.maps, l.announced.maps) {
		if err := l.sendHeartbeat(ctx, l.sentPeers); err != nil {
			return err
		}
	}
	if l.exchanged || !l.hasHeartbeat() {
		return nil
	}
	l.exchanged = true
	return l.sendNewer(ctx)
}

func (l *Link) hasHeartbeat() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.lastHeartbeat.IsZero()
}

// newLeaving returns the leaving hosts that the peer has not reported or been
// sent, and records them as sent. A host that is no longer leaving may leave
// again.
func (l *Link) newLeaving(v *state.View) []message.Leaving {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ms []message.Leaving
	for host, at := range v.Leaving {
		if !l.leaving[host] {
			l.leaving[host] = true
			ms = append(ms, message.Leaving{Host: host, At: at})
		}
	}
	maps.DeleteFunc(l.leaving, func(host string, _ bool) bool {
		_, ok := v.Leaving[host]
		return !ok
	})
	return ms
}

// peerOutdated reports whether the peer lacks the active plan or a map of this
// daemon.
func (l *Link) peerOutdated(v *state.View) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v.PlanVersion > l.peerVersions.plan {
		return true
	}
	for zone, m := range v.Maps {
		if m.Version > l.peerVersions.maps[zone] {
			return true
		}
	}
	return false
}

// sendNewer sends the plan and the maps that are newer than the peer's. One
// that cannot be encoded is logged once per link and version.
func (l *Link) sendNewer(ctx context.Context) error {
	v := l.tracker.View()
	for _, m := range l.takeNewer(v) {
		b, err := message.Encode(m)
		if err != nil {
			l.logger.Log("msg", "state not sent", "to", l.Peer.Name, "err", err)
			continue
		}
		if err := l.WriteFrame(ctx, b); err != nil {
			return err
		}
	}
	return nil
}

func (l *Link) takeNewer(v *state.View) []message.Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ms []message.Message
	if v.PlanVersion > l.peerVersions.plan {
		l.peerVersions.plan = v.PlanVersion
		ms = append(ms, message.Plan{Version: v.PlanVersion, Text: v.Source})
	}
	for zone, m := range v.Maps {
		if m.Version > l.peerVersions.maps[zone] {
			l.peerVersions.maps[zone] = m.Version
			ms = append(ms, message.Map{Map: *m})
		}
	}
	return ms
}

func (l *Link) receivePlan(p message.Plan) {
	l.mu.Lock()
	l.peerVersions.plan = max(l.peerVersions.plan, p.Version)
	l.missing.plan = 0
	l.mu.Unlock()
	applied, err := l.tracker.UpdatePlan(p.Version, p.Text)
	if err != nil {
		l.logger.Log("msg", "plan rejected", "from", l.Peer.Name, "version", p.Version, "err", err)
	} else if applied {
		l.logger.Log("msg", "plan activated", "from", l.Peer.Name, "version", p.Version)
	}
	l.owner.Notify()
}

func (l *Link) receiveMap(p message.Map) {
	zone := p.Map.Zone
	l.mu.Lock()
	l.peerVersions.maps[zone] = max(l.peerVersions.maps[zone], p.Map.Version)
	delete(l.missing.maps, zone)
	l.mu.Unlock()
	if l.tracker.UpdateMap(&p.Map) {
		l.logger.Log("msg", "map activated", "from", l.Peer.Name, "zone", zone, "version", p.Map.Version)
	}
	l.owner.Notify()
}

// receiveLeaving reports whether the host was not yet recorded as leaving.
func (l *Link) receiveLeaving(p message.Leaving) bool {
	l.mu.Lock()
	l.leaving[p.Host] = true
	l.mu.Unlock()
	if restartedSince(l.tracker.View(), p) || !l.tracker.MarkLeaving(p.Host, p.At) {
		return false
	}
	l.logger.Log("msg", "host leaving", "host", p.Host, "from", l.Peer.Name)
	return true
}

// restartedSince reports whether an active map has a runner on the host that
// started after the mark: a peer with an older map repeats obsolete marks.
func restartedSince(v *state.View, p message.Leaving) bool {
	for _, m := range v.Maps {
		for i := range m.Hosts {
			h := &m.Hosts[i]
			if h.Name == p.Host && h.State == fleet.Serving && h.Since.After(p.At) {
				return true
			}
		}
	}
	return false
}

// Synced reports whether the peer's first Heartbeat was received, and all newer
// versions that it advertised.
func (l *Link) Synced(v *state.View) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lastHeartbeat.IsZero() || l.missing.plan > v.PlanVersion {
		return false
	}
	for zone, version := range l.missing.maps {
		if m := v.Maps[zone]; m == nil || version > m.Version {
			return false
		}
	}
	return true
}
