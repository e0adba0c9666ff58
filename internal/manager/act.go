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

// renew extends the leases of the tasks that are to run.
func (m *Manager) renew(ctx context.Context) error {
	now := time.Now()
	if now.Sub(m.seen.renewedAt) < m.RenewEvery {
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

// act makes the calls that the map in force asks for. It does nothing while the
// outcome of a write is unknown.
func (m *Manager) act(ctx context.Context) error {
	if !m.store.current {
		return nil
	}
	left := m.MaxCalls
	for i := range m.store.m.Hosts {
		h := &m.store.m.Hosts[i]
		f := m.needed(ctx, h)
		if f == nil {
			continue
		}
		if left--; left < 0 {
			return nil
		}
		if err := m.call(ctx, f); err != nil {
			return errors.Wrapf(err, "host %s, %s", h.Name, h.State)
		}
	}
	m.stopOrphans(ctx)
	return nil
}

// needed returns the call that a host needs, or nil. Stops run in the
// background.
func (m *Manager) needed(ctx context.Context, h *fleet.Host) func(context.Context) error {
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

// stop asks for the stop of a task in the background, because the platform
// answers when the runner's requests have finished. It is asked again after a
// failure, and after the lease ended in which it was asked.
func (m *Manager) stop(ctx context.Context, id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.stopped[id]; ok {
		return
	}
	m.stopped[id] = false
	m.stops.Go(func() {
		err := m.call(ctx, func(ctx context.Context) error { return m.Tasks.StopTask(ctx, id) })
		var status *gateway.StatusError
		absent := errors.As(err, &status) && status.HTTP == http.StatusNotFound
		m.mu.Lock()
		defer m.mu.Unlock()
		if err == nil || absent {
			m.stopped[id] = true
			return
		}
		delete(m.stopped, id)
		m.log("msg", "task is not stopped yet", "subject", id, "err", err)
	})
}

// acknowledged reports whether the platform acknowledged the stop of a task.
func (m *Manager) acknowledged(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stopped[id]
}

// stopOrphans stops tasks that the map does not name. Tasks that a later
// version of the map granted are another manager's.
func (m *Manager) stopOrphans(ctx context.Context) {
	named := make(map[string]bool, len(m.store.m.Hosts))
	for i := range m.store.m.Hosts {
		named[m.store.m.Hosts[i].Task] = true
	}
	for id, t := range m.seen.tasks {
		if t.State == failed || t.State == stopped || named[id] || granted(id) > m.store.m.Version {
			continue
		}
		m.stop(ctx, id)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.stopped, func(id string, done bool) bool {
		_, listed := m.seen.tasks[id]
		return done && !listed && !named[id]
	})
}

// granted returns the map version in a task's identifier.
func granted(id string) uint64 {
	v, err := strconv.ParseUint(id[strings.LastIndexByte(id, '.')+1:], 10, 64)
	if err != nil {
		return 0
	}
	return v
}
