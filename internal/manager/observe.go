package manager

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/fleet"
	"gypsumtrestle.example/gypsumtrestle/internal/peer"
)

// observed holds the lists read from the platform and when they were read.
type observed struct {
	hosts   []etcd.Host
	workers map[string]*etcd.Host // of this zone, by name
	entries map[string]*etcd.Host // of all zones, by name
	tasks   map[string]etcd.Task  // by identifier
	usage   []etcd.Usage

	hostsAt, tasksAt, usageAt, renewedAt time.Time

	rebooted map[string]uint64 // by host, the map version that started its maintenance
}

// observe reads the lists whose interval has passed.
func (m *Manager) observe(ctx context.Context) error {
	now := time.Now()
	if now.Sub(m.seen.hostsAt) >= m.HostsInterval {
		if err := m.readHosts(ctx); err != nil {
			return err
		}
		if err := m.readDaemons(ctx); err != nil {
			return err
		}
		m.seen.hostsAt = now
	}
	interval := m.TasksInterval
	if m.inTransition() {
		interval = m.RoundInterval / 2
	}
	if now.Sub(m.seen.tasksAt) >= interval {
		tasks, err := m.Tasks.Tasks(ctx, m.Self.Zone)
		if err != nil {
			return errors.Wrap(err, "list tasks")
		}
		m.seen.tasks = make(map[string]etcd.Task, len(tasks))
		for _, t := range tasks {
			m.seen.tasks[t.ID] = t
		}
		m.seen.tasksAt = now
	}
	if now.Sub(m.seen.usageAt) >= m.UsageInterval {
		usage, err := m.Tasks.Usage(ctx, m.Self.Zone)
		if err != nil {
			return errors.Wrap(err, "list usage")
		}
		m.seen.usage, m.seen.usageAt = usage, now
	}
	return nil
}

func (m *Manager) inTransition() bool {
	for i := range m.store.m.Hosts {
		if s := m.store.m.Hosts[i].State; s == fleet.Starting || s == fleet.Stopping {
			return true
		}
	}
	return false
}

func (m *Manager) readHosts(ctx context.Context) error {
	hosts, err := m.Tasks.Hosts(ctx)
	if err != nil {
		return errors.Wrap(err, "list hosts")
	}
	m.seen.hosts = hosts
	if m.seen.rebooted == nil {
		m.seen.rebooted = make(map[string]uint64)
	}
	m.seen.workers, m.seen.entries = make(map[string]*etcd.Host), make(map[string]*etcd.Host)
	for i := range hosts {
		switch h := &hosts[i]; {
		case h.Role == "entry":
			m.seen.entries[h.Name] = h
		case h.Zone == m.Self.Zone:
			m.seen.workers[h.Name] = h
		}
	}
	return nil
}

// readDaemons reads the registered daemons of all zones.
func (m *Manager) readDaemons(ctx context.Context) error {
	pairs, _, err := m.Store.List(ctx, "/gt/daemon/")
	if err != nil {
		return errors.Wrap(err, "list daemons")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordDaemon(m.Self)
	for _, p := range pairs {
		var d peer.Daemon
		if err := json.Unmarshal(p.Value, &d); err != nil {
			return errors.Wrapf(err, "decode %s", p.Key)
		}
		m.recordDaemon(d)
	}
	return nil
}

// entryGone reports whether the host list shows a daemon's entry host as gone. A
// daemon has the name of its entry host.
func (m *Manager) entryGone(name string) bool {
	h := m.seen.entries[name]
	return h != nil && h.State == etcd.Gone
}
