package manager

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd/lease"
)

// margin is kept free at the end of the lease, for the platform's clock to run
// faster and for a call to reach it.
const margin = time.Second

func (m *Manager) key() string { return "/gt/manager/" + m.Self.Zone }

// held returns the manager key's hold if it is certainly held now.
func (m *Manager) held() (lease.Held, bool) {
	return m.lock.Held(time.Now().Add(margin))
}

// term notices the begin and the end of a span in which this daemon holds the
// manager key. What an earlier term knew is forgotten.
func (m *Manager) term() bool {
	h, ok := m.held()
	switch {
	case !ok && m.created != 0:
		m.created = 0
		m.log("msg", "is not the manager any more")
	case ok && h.Created != m.created:
		m.created = h.Created
		m.store, m.seen = stored{}, observed{}
		m.mu.Lock()
		m.stopped = make(map[string]bool)
		m.mu.Unlock()
		m.log("msg", "is the manager", "revision", h.Created)
	}
	return ok
}

// call makes one call of the task service if the manager key is still held. The
// call is abandoned when the lease ends.
func (m *Manager) call(ctx context.Context, f func(context.Context) error) error {
	h, ok := m.held()
	if !ok {
		return errors.New("the manager lease has ended")
	}
	ctx, cancel := context.WithDeadline(ctx, h.Deadline.Add(-margin))
	defer cancel()
	return f(ctx)
}
