package manager

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/go-kit/log"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/etcd/lease"
	"gypsumtrestle.example/gypsumtrestle/internal/fleet"
	"gypsumtrestle.example/gypsumtrestle/internal/peer"
	"gypsumtrestle.example/gypsumtrestle/internal/state"
)

// Runners starts and stops the runners' tasks. StartTask and StopTask are
// idempotent by identifier, and a stopped identifier does not start again.
type Runners interface {
	StartTask(ctx context.Context, id, host, service string, slots int) (etcd.Task, error)
	StopTask(ctx context.Context, id string) error
	RenewTasks(ctx context.Context, ids []string) error
}

// Machines lists hosts and reboots them.
type Machines interface {
	Hosts(ctx context.Context) ([]etcd.Host, error)
	Reboot(ctx context.Context, host string) error
}

// Reports lists the tasks of a zone and the usage of its hosts.
type Reports interface {
	Tasks(ctx context.Context, zone string) ([]etcd.Task, error)
	Usage(ctx context.Context, zone string) ([]etcd.Usage, error)
}

// Tasks is the part of the platform API that the manager uses, besides the Store.
type Tasks interface {
	Runners
	Machines
	Reports
}

// Manager competes for the manager role of the zone of Self, and performs it while
// it holds the manager key. A zero interval, timeout or limit is set to its default
// value.
type Manager struct {
	Self   peer.Daemon
	Store  etcd.Store
	Tasks  Tasks
	State  *state.Tracker
	Logger log.Logger
	// ExhaustedBudgets returns the services that have exhausted today's
	// availability budget; if nil, no service has.
	ExhaustedBudgets func() map[string]bool
	// RoundInterval is the interval between rounds. HostsInterval, TasksInterval
	// and UsageInterval are the intervals of reading these lists, RenewInterval
	// that of renewing task leases. Tasks are read in each round while a host
	// starts or stops.
	RoundInterval, HostsInterval, TasksInterval, UsageInterval, RenewInterval time.Duration
	// StartTimeout is the time limit for the start of a task.
	StartTimeout time.Duration
	// MaxCalls bounds the task service calls of one round.
	MaxCalls int

	init   sync.Once
	lock   *lease.Lock
	wakeup chan struct{}
	done   chan struct{}

	mu       sync.Mutex
	confirms fleet.Confirmations   // guarded by mu
	daemons  map[string]fleet.Join // daemons by incarnation, guarded by mu
	status   Status                // guarded by mu
	// stopRequests holds the tasks whose stop was requested; the value is true if
	// the platform acknowledged it. Guarded by mu.
	stopRequests map[string]bool
	stops        sync.WaitGroup

	// The following fields are used only by the goroutine of Run.
	created  int64 // create revision of the manager key, zero if not held
	store    storeState
	seen     observed
	reported map[string]string // logged findings of the planner, by subject
	plan     uint64            // version of the text that reported belongs to
	// Texts of the last error and of the last rejected event, so that each is
	// logged once.
	lastErr, lastRejected string
}

// Status is the state of the manager for the operators' status page.
type Status struct {
	Zone string
	// IsManager is set if this daemon is the zone's manager.
	IsManager bool
	// MapVersion is the version of the active map.
	MapVersion uint64
	// Waits lists the daemons that each drain waits for.
	Waits []fleet.Wait
	// Findings holds the planner's findings by subject.
	Findings map[string]string
	// Err is the error that ended the last round; empty if there was none.
	Err string
}

func (m *Manager) exhaustedBudgets() map[string]bool {
	if m.ExhaustedBudgets == nil {
		return nil
	}
	return m.ExhaustedBudgets()
}

// Done returns a channel that is closed when Run has returned.
func (m *Manager) Done() <-chan struct{} {
	m.defaults()
	return m.done
}

// Status returns the state after the last round.
func (m *Manager) Status() Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.status
}

// Receive records a Confirm or Shutdown message of a daemon, including this one.
// Daemons repeat their Confirm while hosts drain, so that a manager that takes
// over receives it.
func (m *Manager) Receive(from peer.Daemon, msg peer.Message) {
	m.defaults()
	m.mu.Lock()
	defer m.mu.Unlock()
	switch msg := msg.(type) {
	case peer.Confirm:
		if msg.Zone != m.Self.Zone {
			return
		}
		m.recordDaemon(from)
		m.confirms.Confirm(from.Incarnation, msg.Version, msg.Outstanding)
	case peer.Shutdown:
		if msg.Incarnation != from.Incarnation {
			return
		}
		m.recordDaemon(from)
		m.confirms.RecordShutdown(from.Incarnation)
	default:
		return
	}
	select {
	case m.wakeup <- struct{}{}:
	default: // a wakeup is already pending
	}
}

// recordDaemon records that a daemon exists. The caller must hold mu.
func (m *Manager) recordDaemon(d peer.Daemon) {
	if d.Incarnation == "" {
		return
	}
	m.confirms.RecordIncarnation(d.Name, d.Incarnation)
	m.daemons[d.Incarnation] = fleet.Join{Name: d.Name, Zone: d.Zone, Incarnation: d.Incarnation}
}

// Run competes for the manager role and performs it until ctx is done.
func (m *Manager) Run(ctx context.Context) error {
	m.defaults()
	defer close(m.done)
	var lock sync.WaitGroup
	lock.Go(func() {
		if err := m.lock.Run(ctx); ctx.Err() == nil {
			m.log("msg", "manager lock failed", "err", err)
		}
	})
	defer lock.Wait()
	defer m.stops.Wait()
	t := time.NewTicker(m.RoundInterval)
	defer t.Stop()
	for {
		m.report(m.round(ctx))
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case <-m.wakeup:
		}
	}
}

// round brings the zone one step closer to the desired state.
func (m *Manager) round(ctx context.Context) error {
	if !m.updateTerm() {
		return nil
	}
	if err := m.load(ctx); err != nil {
		return err
	}
	if err := m.renew(ctx); err != nil {
		return err
	}
	if err := m.observe(ctx); err != nil {
		return err
	}
	if err := m.edit(ctx); err != nil {
		return err
	}
	return m.act(ctx)
}

// report logs an error once and updates the status.
func (m *Manager) report(err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	if text != m.lastErr && text != "" {
		m.log("msg", "round failed", "err", text)
	}
	m.lastErr = text
	m.mu.Lock()
	defer m.mu.Unlock()
	_, isManager := m.held()
	m.status = Status{Zone: m.Self.Zone, IsManager: isManager, Findings: maps.Clone(m.reported), Err: text}
	if v := m.State.View().Maps[m.Self.Zone]; v != nil {
		m.status.MapVersion = v.Version
		m.status.Waits = m.waits(v)
	}
}

// waits returns the daemons that the drains of a map wait for. The caller must
// hold mu.
func (m *Manager) waits(v *fleet.Map) []fleet.Wait {
	var waits []fleet.Wait
	for i := range v.Hosts {
		if v.Hosts[i].State == fleet.Draining {
			waits = append(waits, m.confirms.Waits(v, &v.Hosts[i])...)
		}
	}
	return waits
}

func (m *Manager) log(keyvals ...any) {
	m.Logger.Log(append([]any{"zone", m.Self.Zone}, keyvals...)...)
}

func (m *Manager) defaults() {
	m.init.Do(func() {
		m.wakeup, m.done = make(chan struct{}, 1), make(chan struct{})
		m.daemons = make(map[string]fleet.Join)
		m.reported = make(map[string]string)
		for _, d := range []struct {
			field *time.Duration
			value time.Duration
		}{
			{&m.RoundInterval, time.Second},
			{&m.HostsInterval, 10 * time.Second},
			{&m.TasksInterval, 5 * time.Second},
			{&m.UsageInterval, 30 * time.Second},
			{&m.RenewInterval, 3 * time.Second},
			{&m.StartTimeout, 5 * time.Minute},
		} {
			if *d.field == 0 {
				*d.field = d.value
			}
		}
		if m.MaxCalls == 0 {
			m.MaxCalls = 32
		}
		if m.Logger == nil {
			m.Logger = log.NewNopLogger()
		}
		m.lock = &lease.Lock{Store: m.Store, Key: m.key(), Value: []byte(m.Self.Incarnation), Logger: m.Logger}
	})
}
