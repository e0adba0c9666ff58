package manager

import (
	"context"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/etcd/gateway"
	"gypsumtrestle.example/gypsumtrestle/internal/fleet"
)

// renew extends the leases of the tasks that must keep running.
func (m *Manager) renew(ctx context.Context) error {
	now := time.Now()
	if now.Sub(m.seen.renewedAt) < m.RenewInterval {
		return nil
	}
	var ids []string
	for i := range m.store.m.Hosts {
		switch h := &m.store.m.Hosts[i]; h.State {
		case fleet.Starting, fleet.Serving, fleet.Draining:
			if !h.Gone {
				ids = append(ids, h.Task)
			}
		}
	}
	if len(ids) > 0 {
		if err := m.call(ctx, func(ctx context.Context) error { return m.Tasks.RenewTasks(ctx, ids) }); err != nil {
			return errors.Wrap(err, "renew tasks")
		}
	}
	m.seen.renewedAt = now
	return nil
}

// act makes the task service calls that the active map requires. It does nothing
// while the outcome of a write is unknown.
func (m *Manager) act(ctx context.Context) error {
	if !m.store.current {
		return nil
	}
	callsLeft := m.MaxCalls
	for i := range m.store.m.Hosts {
		h := &m.store.m.Hosts[i]
		f := m.nextCall(ctx, h)
		if f == nil {
			continue
		}
		if callsLeft--; callsLeft < 0 {
			return nil
		}
		if err := m.call(ctx, f); err != nil {
			return errors.Wrapf(err, "task service call for host %s in state %s", h.Name, h.State)
		}
	}
	m.stopOrphans(ctx)
	return nil
}

// nextCall returns the call that a host needs, or nil. Stops run in the
// background.
func (m *Manager) nextCall(ctx context.Context, h *fleet.Host) func(context.Context) error {
	t, listed := m.seen.tasks[h.Task]
	switch h.State {
	case fleet.Starting:
		if listed {
			return nil
		}
		return func(ctx context.Context) error {
			t, err := m.Tasks.StartTask(ctx, h.Task, h.Name, h.Pool, h.Slots)
			if err == nil {
				m.seen.tasks[h.Task] = t
			}
			return err
		}
	case fleet.Stopping:
		if t.State != failed && t.State != stopped {
			m.stop(ctx, h.Task)
		}
	case fleet.Maintenance:
		l := m.seen.workers[h.Name]
		if m.seen.rebooted[h.Name] == h.Changed || l == nil || l.State != etcd.Live || !l.Booted.Equal(h.Booted) {
			return nil
		}
		return func(ctx context.Context) error {
			err := m.Tasks.Reboot(ctx, h.Name)
			if err == nil {
				m.seen.rebooted[h.Name] = h.Changed
			}
			return err
		}
	}
	return nil
}

// stop requests the stop of a task in the background, because the platform
// responds only when the runner's requests have finished. The request is repeated
// after a failure, and in the next term if the lease expired meanwhile.
func (m *Manager) stop(ctx context.Context, id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.stopRequests[id]; ok {
		return
	}
	m.stopRequests[id] = false
	m.stops.Go(func() {
		err := m.call(ctx, func(ctx context.Context) error { return m.Tasks.StopTask(ctx, id) })
		var status *gateway.StatusError
		absent := errors.As(err, &status) && status.HTTP == http.StatusNotFound
		m.mu.Lock()
		defer m.mu.Unlock()
		if err == nil || absent {
			m.stopRequests[id] = true
			return
		}
		delete(m.stopRequests, id)
		m.log("msg", "task stop failed", "subject", id, "err", err)
	})
}

// stopAcknowledged reports whether the platform acknowledged the stop of a task.
func (m *Manager) stopAcknowledged(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stopRequests[id]
}

// stopOrphans stops tasks that are not in the map. It skips tasks granted by a
// later version of the map, since those belong to another manager.
func (m *Manager) stopOrphans(ctx context.Context) {
	named := make(map[string]bool, len(m.store.m.Hosts))
	for i := range m.store.m.Hosts {
		named[m.store.m.Hosts[i].Task] = true
	}
	for id, t := range m.seen.tasks {
		if t.State == failed || t.State == stopped || named[id] || taskMapVersion(id) > m.store.m.Version {
			continue
		}
		m.stop(ctx, id)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.stopRequests, func(id string, done bool) bool {
		_, listed := m.seen.tasks[id]
		return done && !listed && !named[id]
	})
}

// taskMapVersion returns the map version in the identifier of a task, or 0.
func taskMapVersion(id string) uint64 {
	v, err := strconv.ParseUint(id[strings.LastIndexByte(id, '.')+1:], 10, 64)
	if err != nil {
		return 0
	}
	return v
}
