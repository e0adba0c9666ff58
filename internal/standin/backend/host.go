package backend

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Errors of Start.
var (
	// ErrStopping means that a task with this ID is being stopped.
	ErrStopping = errors.New("task is stopping")
	// ErrDiffers means that a task with this ID runs with other settings.
	ErrDiffers = errors.New("task exists with other settings")
	// ErrClosed means that the host is closed.
	ErrClosed = errors.New("host closed")
)

// maxFrozenEvents is the maximum number of unread events of the channel Frozen.
const maxFrozenEvents = 64

// Host is the agent of one host with the runners that it started. It needs a
// Name; the zero values of the other fields are usable.
type Host struct {
	Name string
	// Work is the run time of a request without the header Work.
	Work time.Duration

	faults injector
	record record
	frozen chan struct{} // guarded by mu; receives an event for each frozen request

	mu     sync.Mutex
	tasks  map[string]*runner // guarded by mu
	ctx    context.Context    // guarded by mu; ends when the host closes
	cancel context.CancelFunc // guarded by mu
}

// Start starts a task's runner and returns its address. It is idempotent: a
// second call with the same ID and settings returns the same address.
func (h *Host) Start(id, service string, slots int) (netip.AddrPort, error) {
	ctx := h.context()
	h.mu.Lock()
	defer h.mu.Unlock()
	if ctx.Err() != nil {
		return netip.AddrPort{}, errors.Wrapf(ErrClosed, "start %s", id)
	}
	if r := h.tasks[id]; r != nil {
		return checkRepeatedStart(r, id, service, slots)
	}
	r, err := startRunner(h, service, slots)
	if err != nil {
		return netip.AddrPort{}, errors.Wrapf(err, "start %s", id)
	}
	if h.tasks == nil {
		h.tasks = make(map[string]*runner)
	}
	h.tasks[id] = r
	return r.addr, nil
}

// checkRepeatedStart returns the result of a repeated Start.
func checkRepeatedStart(r *runner, id, service string, slots int) (netip.AddrPort, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving {
		return netip.AddrPort{}, errors.Wrapf(ErrStopping, "start %s", id)
	}
	if r.service != service || r.slots != slots {
		return netip.AddrPort{}, errors.Wrapf(ErrDiffers, "start %s", id)
	}
	return r.addr, nil
}

// Stop rejects new requests to a task and returns when its running requests
// have finished. If ctx ends first, the task continues to stop. Stop of a task
// that does not exist does nothing.
func (h *Host) Stop(ctx context.Context, id string) error {
	h.mu.Lock()
	r := h.tasks[id]
	h.mu.Unlock()
	if r == nil {
		return nil
	}
	r.stop(ctx)
	select {
	case <-r.stopped:
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "stop %s", id)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.tasks[id] == r {
		delete(h.tasks, id)
	}
	return nil
}

// SetFaults replaces the faults of the host.
func (h *Host) SetFaults(f Faults) error {
	if err := h.faults.set(f); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, r := range h.tasks {
		if err := r.setRefuse(h.faults.enabled(Refuse)); err != nil {
			return errors.Wrapf(err, "apply fault %s to task %s", Refuse, id)
		}
	}
	return nil
}

// Runs returns how often each request and key was run.
func (h *Host) Runs() Runs { return h.record.copy() }

// Frozen returns a channel that receives an event when the fault Freeze blocks a
// request. At most 64 unread events are kept.
func (h *Host) Frozen() <-chan struct{} { return h.frozenEvents() }

func (h *Host) frozenEvents() chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.frozen == nil {
		h.frozen = make(chan struct{}, maxFrozenEvents)
	}
	return h.frozen
}

// Close stops all runners immediately and interrupts their requests.
func (h *Host) Close() {
	h.context()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cancel()
	for id, r := range h.tasks {
		_ = r.server.Close()
		delete(h.tasks, id)
	}
}

// context returns the context that ends when the host closes.
func (h *Host) context() context.Context {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ctx == nil {
		h.ctx, h.cancel = context.WithCancel(context.Background())
	}
	return h.ctx
}

// wait waits until the channel is closed, or for d if the channel is nil, but
// not longer than until the host closes.
func (h *Host) wait(until <-chan struct{}, d time.Duration) {
	var expired <-chan time.Time
	if until == nil {
		if d <= 0 {
			return
		}
		t := time.NewTimer(d)
		defer t.Stop()
		expired = t.C
	}
	select {
	case <-until:
	case <-expired:
	case <-h.context().Done():
	}
}
