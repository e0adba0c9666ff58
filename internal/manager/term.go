package manager

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd/lease"
)

// leaseMargin is the part at the end of the lease that is not used, because the
// platform's clock may run faster and calls take time to arrive.
const leaseMargin = time.Second

func (m *Manager) key() string { return "/gt/manager/" + m.Self.Zone }

// held returns the lock state of the manager key if the key is certainly held.
func (m *Manager) held() (lease.Held, bool) {
	return m.lock.Held(time.Now().Add(leaseMargin))
}

// updateTerm detects the start and the end of a term, the period in which this
// daemon holds the manager key, and reports whether a term is in progress. State of
// earlier terms is discarded.
func (m *Manager) updateTerm() bool {
	h, ok := m.held()
	switch {
	case !ok && m.created != 0:
		m.created = 0
		m.log("msg", "manager role lost")
	case ok && h.Created != m.created:
		m.created = h.Created
		m.store, m.seen = storeState{}, observed{}
		m.mu.Lock()
		m.stopRequests = make(map[string]bool)
		m.mu.Unlock()
		m.log("msg", "manager role acquired", "revision", h.Created)
	}
	return ok
}

// call makes one call to the task service if the manager key is still held. The
// call is abandoned when the lease expires.
func (m *Manager) call(ctx context.Context, f func(context.Context) error) error {
	h, ok := m.held()
	if !ok {
		return errors.New("manager lease expired")
	}
	ctx, cancel := context.WithDeadline(ctx, h.Deadline.Add(-leaseMargin))
	defer cancel()
	return f(ctx)
}
