package peer

import (
	"context"
	"time"
)

// Sync waits until every seed, and every daemon to which the link rule wants a
// link, has completed a first exchange or proved unreachable. A restarted
// daemon that waits for Sync does not serve an older plan than its peers have.
// Run must be running.
func (m *Mesh) Sync(ctx context.Context) error {
	m.init()
	for {
		notified, changed := m.notified(), m.State.Changed()
		if m.synced() {
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

// synced reports whether every wanted link has completed its first exchange or
// cannot be opened.
func (m *Mesh) synced() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refresh(time.Now())
	v := m.State.View()
	for _, l := range m.links {
		if !l.Synced(v) {
			return false
		}
	}
	for _, t := range m.targets() {
		if m.links[t.name] != nil {
			continue
		}
		if s := m.dials[t.addr]; s == nil || !s.unreachable && !s.self {
			return false
		}
	}
	return true
}
