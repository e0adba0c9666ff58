package link

import (
	"context"
	"maps"

	"gypsumtrestle.example/gypsumtrestle/internal/fleet"
	"gypsumtrestle.example/gypsumtrestle/internal/peer/message"
	"gypsumtrestle.example/gypsumtrestle/internal/state"
)

// sendChanges announces a change of the local state: new leaving hosts, new
// versions, and, once after the first Heartbeat of the remote, what it lacks.
func (l *Link) sendChanges(ctx context.Context) error {
	v := l.keeper.View()
	for _, m := range l.newLeaving(v) {
		if err := l.Write(ctx, m); err != nil {
			return err
		}
	}
	now := versionsOf(v)
	if now.plan != l.announced.plan || !maps.Equal(now.maps, l.announced.maps) {
		if err := l.sendBeat(ctx, l.peersSent); err != nil {
			return err
		}
	}
	if l.exchanged || !l.heardBeat() {
		return nil
	}
	l.exchanged = true
	return l.sendNewer(ctx)
}

func (l *Link) heardBeat() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.beat.IsZero()
}

// newLeaving returns the leaving hosts that the remote does not know, and
// counts them as known. A host that is no longer leaving may leave again.
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

// behind tells whether the remote lacks something that is in force here.
func (l *Link) behind(v *state.View) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v.Plan > l.theirs.plan {
		return true
	}
	for zone, m := range v.Maps {
		if m.Version > l.theirs.maps[zone] {
			return true
		}
	}
	return false
}

// sendNewer sends the plan and the maps that are newer than the remote's. What
// cannot be encoded is logged once per link and version.
func (l *Link) sendNewer(ctx context.Context) error {
	v := l.keeper.View()
	for _, m := range l.takeNewer(v) {
		b, err := message.Encode(m)
		if err != nil {
			l.logger.Log("msg", "state is not sent", "to", l.Remote.Name, "err", err)
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
	if v.Plan > l.theirs.plan {
		l.theirs.plan = v.Plan
		ms = append(ms, message.Plan{Version: v.Plan, Text: v.Source})
	}
	for zone, m := range v.Maps {
		if m.Version > l.theirs.maps[zone] {
			l.theirs.maps[zone] = m.Version
			ms = append(ms, message.Map{Map: *m})
		}
	}
	return ms
}

func (l *Link) receivePlan(p message.Plan) {
	l.mu.Lock()
	l.theirs.plan = max(l.theirs.plan, p.Version)
	l.missing.plan = 0
	l.mu.Unlock()
	applied, err := l.keeper.UpdatePlan(p.Version, p.Text)
	if err != nil {
		l.logger.Log("msg", "plan is refused", "from", l.Remote.Name, "version", p.Version, "err", err)
	} else if applied {
		l.logger.Log("msg", "plan is in force", "from", l.Remote.Name, "version", p.Version)
	}
	l.owner.Notify()
}

func (l *Link) receiveMap(p message.Map) {
	zone := p.Map.Zone
	l.mu.Lock()
	l.theirs.maps[zone] = max(l.theirs.maps[zone], p.Map.Version)
	delete(l.missing.maps, zone)
	l.mu.Unlock()
	if l.keeper.UpdateMap(&p.Map) {
		l.logger.Log("msg", "map is in force", "from", l.Remote.Name, "zone", zone, "version", p.Map.Version)
	}
	l.owner.Notify()
}

// receiveLeaving tells whether the host was not known to be leaving.
func (l *Link) receiveLeaving(p message.Leaving) bool {
	l.mu.Lock()
	l.leaving[p.Host] = true
	l.mu.Unlock()
	if restarted(l.keeper.View(), p) || !l.keeper.MarkLeaving(p.Host, p.At) {
		return false
	}
	l.logger.Log("msg", "host is leaving", "host", p.Host, "from", l.Remote.Name)
	return true
}

// restarted tells whether a map in force has a runner on the host that started
// after the mark: a peer with an older map repeats marks that are obsolete.
func restarted(v *state.View, p message.Leaving) bool {
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

// Synced tells whether the remote's first Heartbeat has arrived, and everything
// newer that it offered.
func (l *Link) Synced(v *state.View) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.beat.IsZero() || l.missing.plan > v.Plan {
		return false
	}
	for zone, version := range l.missing.maps {
		if m := v.Maps[zone]; m == nil || version > m.Version {
			return false
		}
	}
	return true
}
