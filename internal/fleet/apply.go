package fleet

import (
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Apply returns a copy of the map, one version later, with all events applied
// in order. If an event is not allowed it returns an error and no map.
func (m *Map) Apply(now time.Time, writer string, events ...Event) (*Map, error) {
	next := *m
	next.Version, next.Writer = m.Version+1, writer
	next.Hosts, next.Roster = slices.Clone(m.Hosts), slices.Clone(m.Roster)
	for _, e := range events {
		if err := e.apply(&next, now); err != nil {
			return nil, errors.Wrapf(err, "map %s version %d: %T", m.Zone, next.Version, e)
		}
	}
	if err := next.Validate(); err != nil {
		return nil, err
	}
	return &next, nil
}

// TaskID returns the ID of the task that a host starts by a map version. A
// manager that resumes with an old map can therefore only refer to tasks of
// that map.
func TaskID(host string, version uint64) string {
	return host + "." + strconv.FormatUint(version, 10)
}

// hostInState returns the named host, or an error unless it is in one of the
// states from.
func (m *Map) hostInState(name string, from ...State) (*Host, error) {
	h := m.Host(name)
	if h == nil {
		return nil, errors.Errorf("host %s is not in the map", name)
	}
	if !slices.Contains(from, h.State) {
		return nil, errors.Errorf("host %s is in state %s", name, h.State)
	}
	return h, nil
}

// hostWithTask returns the named host, like hostInState, for events that report
// on its task. It returns an error if the host has another task.
func (m *Map) hostWithTask(name, task string, from ...State) (*Host, error) {
	h, err := m.hostInState(name, from...)
	if err != nil {
		return nil, err
	}
	if h.Task != task {
		return nil, errors.Errorf("host %s has task %s, not %s", name, h.Task, task)
	}
	return h, nil
}

func (m *Map) setState(h *Host, s State, now time.Time) {
	h.State, h.Changed, h.Since = s, m.Version, now
}

// clear removes the task from the host's record.
func (h *Host) clear() {
	var none Host
	h.Task, h.Addr, h.Slots, h.Next = "", none.Addr, 0, ""
}

// resetFailures clears the failures once a runner has served for
// FailureResetAfter. A successful start is not enough: some hosts lose each
// runner soon after it starts.
func (h *Host) resetFailures(now time.Time) {
	if h.State == Serving && now.Sub(h.Since) >= FailureResetAfter {
		h.Failures, h.FailedPools = 0, nil
	}
}

// recordFailure records a failed start. FailedPools is copied because older
// maps share it.
func (h *Host) recordFailure() {
	h.Failures++
	if !slices.Contains(h.FailedPools, h.Pool) {
		h.FailedPools = append(slices.Clone(h.FailedPools), h.Pool)
	}
}

func (e Grant) apply(m *Map, now time.Time) error {
	h, err := m.hostInState(e.Host, Free)
	if err != nil {
		return err
	}
	h.Pool, h.Slots, h.Task = e.Pool, e.Slots, TaskID(h.Name, m.Version)
	m.setState(h, Starting, now)
	return nil
}

func (e Started) apply(m *Map, now time.Time) error {
	h, err := m.hostWithTask(e.Host, e.Task, Starting)
	if err != nil {
		return err
	}
	h.Addr = e.Addr
	m.setState(h, Serving, now)
	return nil
}

func (e StartFailed) apply(m *Map, now time.Time) error {
	if e.Spare == "" {
		return errors.New("no spare pool")
	}
	h, err := m.hostWithTask(e.Host, e.Task, Starting)
	if err != nil {
		return err
	}
	h.recordFailure()
	h.Next = e.Spare
	m.setState(h, Draining, now)
	return nil
}

func (e Lost) apply(m *Map, now time.Time) error {
	h, err := m.hostWithTask(e.Host, e.Task, Starting, Serving)
	if err != nil {
		return err
	}
	slots := h.Slots
	h.resetFailures(now)
	if e.Failed {
		h.recordFailure()
	}
	h.clear()
	h.Slots, h.Task = slots, TaskID(h.Name, m.Version)
	m.setState(h, Starting, now)
	return nil
}

func (e Drain) apply(m *Map, now time.Time) error {
	h, err := m.hostInState(e.Host, Starting, Serving)
	if err != nil {
		return err
	}
	h.resetFailures(now)
	h.Next = e.Next
	m.setState(h, Draining, now)
	return nil
}

func (e Resume) apply(m *Map, now time.Time) error {
	h, err := m.hostInState(e.Host, Draining)
	if err != nil {
		return err
	}
	if h.Gone {
		return errors.Errorf("host %s no longer exists", e.Host)
	}
	h.Next = ""
	m.setState(h, Serving, now)
	return nil
}

func (e Drained) apply(m *Map, now time.Time) error {
	h, err := m.hostInState(e.Host, Draining)
	if err != nil {
		return err
	}
	if h.Changed != e.Changed {
		return errors.Errorf("host %s has been draining since version %d, not %d", e.Host, h.Changed, e.Changed)
	}
	if h.Gone {
		i, _ := m.find(e.Host)
		m.Hosts = slices.Delete(m.Hosts, i, i+1)
		return nil
	}
	m.setState(h, Stopping, now)
	return nil
}

func (e Stopped) apply(m *Map, now time.Time) error {
	h, err := m.hostWithTask(e.Host, e.Task, Stopping)
	if err != nil {
		return err
	}
	toMaintenance := h.Next == ""
	h.clear()
	if toMaintenance { // the host still belongs to its pool
		h.Booted = e.Booted
		m.setState(h, Maintenance, now)
		return nil
	}
	h.Pool = e.Spare
	m.setState(h, Free, now)
	return nil
}

func (e Maintain) apply(m *Map, now time.Time) error {
	h, err := m.hostInState(e.Host, Free, Failed)
	if err != nil {
		return err
	}
	h.Booted = e.Booted
	m.setState(h, Maintenance, now)
	return nil
}

func (e Maintained) apply(m *Map, now time.Time) error {
	h, err := m.hostInState(e.Host, Maintenance)
	if err != nil {
		return err
	}
	h.Pool, h.Maintained, h.Failures, h.FailedPools = e.Spare, now, 0, nil
	m.setState(h, Free, now)
	return nil
}

func (e Quarantine) apply(m *Map, now time.Time) error {
	h, err := m.hostInState(e.Host, Free)
	if err != nil {
		return err
	}
	m.setState(h, Failed, now)
	return nil
}

func (e HostAdded) apply(m *Map, now time.Time) error {
	i, ok := m.find(e.Host)
	if ok {
		return errors.Errorf("host %s is already in the map", e.Host)
	}
	m.Hosts = slices.Insert(m.Hosts, i, Host{Name: e.Host, Rack: e.Rack, Pool: e.Spare, Maintained: e.Maintained})
	m.setState(&m.Hosts[i], Free, now)
	return nil
}

func (e HostGone) apply(m *Map, now time.Time) error {
	i, ok := m.find(e.Host)
	if !ok {
		return errors.Errorf("host %s is not in the map", e.Host)
	}
	h := &m.Hosts[i]
	switch h.State {
	case Starting, Serving:
		m.setState(h, Draining, now)
		h.Gone = true
	case Draining:
		h.Gone = true
	default:
		m.Hosts = slices.Delete(m.Hosts, i, i+1)
	}
	return nil
}
