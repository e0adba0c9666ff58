package lead

import (
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/overload"
)

// loadInterval is the shortest time between two computations of the load, whatever the
// number of daemons that ask for it.
const loadInterval = 200 * time.Millisecond

// poolLoad is the load of the pools that a term computed last.
type poolLoad struct {
	view *overload.View // nil: not known
	at   clock.BootTime
}

// Load returns the load of the pools and its age, or nil if it is not known yet. The
// bool reports whether this daemon leads.
func (l *Leader) Load() (*overload.View, bool) {
	t := l.current.Load()
	if t == nil {
		return nil, false
	}
	return t.loadView(clock.Now()), true
}

// loadView returns the load of the pools, which it computes if the last one is too old.
func (t *term) loadView(now clock.BootTime) *overload.View {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.poolLoad.at == 0 || now.Sub(t.poolLoad.at) >= loadInterval {
		t.poolLoad = poolLoad{view: t.state.Load(now), at: now}
	}
	if t.poolLoad.view == nil {
		return nil
	}
	v := *t.poolLoad.view
	v.Age = max(now.Sub(t.poolLoad.at), 0)
	return &v
}
