package peer

import (
	"context"
	"time"
)

// Sync waits until every seed and every daemon that this one keeps a link to
// has either answered a first exchange or proved unreachable. A restarted
// daemon that waits for it does not serve an older plan than its peers have.
// Run must be running.
func (m *Mesh) Sync(ctx context.Context) error {
	m.init()
	for {
		notified, changed := m.notified(), m.State.Changed()
		if m.settled() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-notified:
		case <-changed:
		}
	}
}

// settled tells whether every wanted link has finished its first exchange or
// cannot be opened.
func (m *Mesh) settled() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refresh(time.Now())
	v := m.State.View()
	for _, l := range m.links {
		if !l.Synced(v) {
			return false
		}
	}
	for _, w := range m.wants() {
		if m.links[w.name] != nil {
			continue
		}
		if a := m.dials[w.addr]; a == nil || !a.unreachable && !a.self {
			return false
		}
	}
	return true
}
