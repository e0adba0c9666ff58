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

// Reports lists a zone's tasks and the usage of its hosts.
type Reports interface {
	Tasks(ctx context.Context, zone string) ([]etcd.Task, error)
	Usage(ctx context.Context, zone string) ([]etcd.Usage, error)
}

// Tasks is what the manager needs of the platform besides its Store.
type Tasks interface {
	Runners
	Machines
	Reports
}

// Manager runs the manager's role for the zone of Self.
type Manager struct {
	Self   peer.Daemon
	Store  etcd.Store
	Tasks  Tasks
	State  *state.Tracker
	Logger log.Logger
	// ExhaustedBudgets returns the services that have used up today's availability
	// budget; nil means that no service has.
	ExhaustedBudgets func() map[string]bool
	// Tick is the time between rounds; HostsEvery, TasksEvery and UsageEvery
	// that between readings. Tasks are read in each round while a host starts
	// or stops.
	Tick, HostsEvery, TasksEvery, UsageEvery, RenewEvery time.Duration
	// StartLimit is how long a task may take to start.
	StartLimit time.Duration
	// MaxCalls is the most task calls of one round.
	MaxCalls int

	init sync.Once
	lock *lease.Lock
	wake chan struct{}
	done chan struct{}

	mu       sync.Mutex
	confirms fleet.Confirmations   // guarded by mu
	known    map[string]fleet.Join // daemons by incarnation, guarded by mu
	status   Status                // guarded by mu
	// stopped holds the tasks whose stop was asked for, and true for those whose
	// stop the platform acknowledged; guarded by mu.
	stopped map[string]bool
	stops   sync.WaitGroup

	// The rest belongs to the goroutine of Run.
	created  int64 // create revision of the manager key, zero when not held
	store    stored
	seen     observed
	reported map[string]string
	plan     uint64 // version of the text that reported is about
	// Texts of the last error and refused event, which are logged once.
	lastErr, refused string
}

// Status is what the operators' page shows of the manager.
type Status struct {
	Zone string
	// IsManager is set while this daemon is the zone's manager.
	IsManager bool
	// Version is the version of the map in force.
	Version uint64
	// Waits names the daemons that each drain waits for.
	Waits []fleet.Wait
	// Findings are what the planner reported, by subject.
	Findings map[string]string
	// Err is why the last round stopped early.
	Err string
}

func (m *Manager) spent() map[string]bool {
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

// Receive records a Confirm or Shutdown of a daemon. The daemon's own are passed
// like those of others. Daemons repeat their Confirm while hosts drain, so that
// a manager that takes over learns of it.
func (m *Manager) Receive(from peer.Daemon, msg peer.Message) {
	m.defaults()
	m.mu.Lock()
	defer m.mu.Unlock()
	switch msg := msg.(type) {
	case peer.Confirm:
		if msg.Zone != m.Self.Zone {
			return
		}
		m.meet(from)
		m.confirms.Confirm(from.Incarnation, msg.Version, msg.Outstanding)
	case peer.Shutdown:
		if msg.Incarnation != from.Incarnation {
			return
		}
		m.meet(from)
		m.confirms.RecordShutdown(from.Incarnation)
	default:
		return
	}
	select {
	case m.wake <- struct{}{}:
	default: // a round is due already
	}
}

// meet records that a daemon exists; mu is held.
func (m *Manager) meet(d peer.Daemon) {
	if d.Incarnation == "" {
		return
	}
	m.confirms.RecordIncarnation(d.Name, d.Incarnation)
	m.known[d.Incarnation] = fleet.Join{Name: d.Name, Zone: d.Zone, Incarnation: d.Incarnation}
}

// Run takes part in the manager's role until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	m.defaults()
	defer close(m.done)
	var lock sync.WaitGroup
	lock.Go(func() {
		if err := m.lock.Run(ctx); ctx.Err() == nil {
			m.log("msg", "cannot become the manager", "err", err)
		}
	})
	defer lock.Wait()
	defer m.stops.Wait()
	t := time.NewTicker(m.Tick)
	defer t.Stop()
	for {
		m.report(m.round(ctx))
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case <-m.wake:
		}
	}
}

// round brings the zone one step closer to what is wanted.
func (m *Manager) round(ctx context.Context) error {
	if !m.term() {
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

// report logs an error once and brings the status up to date.
func (m *Manager) report(err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	if text != m.lastErr && text != "" {
		m.log("msg", "round stopped", "err", text)
	}
	m.lastErr = text
	m.mu.Lock()
	defer m.mu.Unlock()
	_, holds := m.held()
	m.status = Status{Zone: m.Self.Zone, IsManager: holds, Findings: maps.Clone(m.reported), Err: text}
	if v := m.State.View().Maps[m.Self.Zone]; v != nil {
		m.status.Version = v.Version
		m.status.Waits = m.waits(v)
	}
}

// waits returns what the drains of a map wait for; mu is held.
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
		m.wake, m.done = make(chan struct{}, 1), make(chan struct{})
		m.known = make(map[string]fleet.Join)
		m.reported = make(map[string]string)
		for _, d := range []struct {
			field *time.Duration
			value time.Duration
		}{
			{&m.Tick, time.Second},
			{&m.HostsEvery, 10 * time.Second},
			{&m.TasksEvery, 5 * time.Second},
			{&m.UsageEvery, 30 * time.Second},
			{&m.RenewEvery, 3 * time.Second},
			{&m.StartLimit, 5 * time.Minute},
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
