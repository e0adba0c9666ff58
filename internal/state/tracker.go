package state

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/fleet"
	"gypsumtrestle.example/gypsumtrestle/pkg/text"
)

// View is an immutable snapshot of the active state.
type View struct {
	// PlanVersion is the version of the configuration text; zero if there is
	// none yet.
	PlanVersion uint64
	// Source is the text as written by the operators.
	Source []byte
	// Text is the parsed text; nil if there is none yet.
	Text *text.Text
	// Maps holds the newest map by zone.
	Maps map[string]*fleet.Map
	// Leaving holds the hosts that accept no new work, with the time at which
	// each was marked.
	Leaving map[string]time.Time
}

// Tracker replaces the View when newer state is received. The zero value is ready
// to use.
type Tracker struct {
	// OnMap is called with each map that is activated, in the order of versions.
	// It must not call UpdatePlan, UpdateMap, MarkLeaving or ClearLeaving, which
	// would deadlock.
	OnMap func(*fleet.Map)

	view    atomic.Pointer[View]
	mu      sync.Mutex
	changed chan struct{} // guarded by mu; closed at the next change
}

var emptyView = &View{}

// View returns the active state.
func (t *Tracker) View() *View {
	if v := t.view.Load(); v != nil {
		return v
	}
	return emptyView
}

// Changed returns a channel that is closed at the next change. Call Changed before
// View, so that no change is missed.
func (t *Tracker) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.changed == nil {
		t.changed = make(chan struct{})
	}
	return t.changed
}

// UpdatePlan activates a text if its version is newer, and reports whether it did.
// A text that does not parse is rejected with an error.
func (t *Tracker) UpdatePlan(version uint64, src []byte) (bool, error) {
	if version <= t.View().PlanVersion {
		return false, nil
	}
	parsed, err := text.Parse(src)
	if err != nil {
		return false, errors.Wrapf(err, "parse text version %d", version)
	}
	return t.replace(func(v *View) bool {
		if version <= v.PlanVersion {
			return false
		}
		v.PlanVersion, v.Source, v.Text = version, src, parsed
		return true
	}), nil
}

// UpdateMap activates the map of a zone if its version is newer, and reports
// whether it did.
func (t *Tracker) UpdateMap(m *fleet.Map) bool {
	return t.replace(func(v *View) bool {
		if old := v.Maps[m.Zone]; old != nil && m.Version <= old.Version {
			return false
		}
		v.Maps = maps.Clone(v.Maps)
		if v.Maps == nil {
			v.Maps = make(map[string]*fleet.Map)
		}
		v.Maps[m.Zone] = m
		v.Leaving = stillLeaving(v.Leaving, m)
		if t.OnMap != nil {
			t.OnMap(m)
		}
		return true
	})
}

// MarkLeaving adds a host to the leaving set, and reports whether it was not yet
// in the set.
func (t *Tracker) MarkLeaving(host string, at time.Time) bool {
	return t.replace(func(v *View) bool {
		if _, ok := v.Leaving[host]; ok {
			return false
		}
		v.Leaving = maps.Clone(v.Leaving)
		if v.Leaving == nil {
			v.Leaving = make(map[string]time.Time)
		}
		v.Leaving[host] = at
		return true
	})
}

// ClearLeaving removes hosts from the leaving set, and reports whether the set
// changed.
func (t *Tracker) ClearLeaving(hosts ...string) bool {
	return t.replace(func(v *View) bool {
		n := len(v.Leaving)
		v.Leaving = maps.Clone(v.Leaving)
		for _, h := range hosts {
			delete(v.Leaving, h)
		}
		return len(v.Leaving) < n
	})
}

// replace calls f with a copy of the View and publishes the copy if f returns true.
func (t *Tracker) replace(f func(*View) bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := *t.View()
	if !f(&next) {
		return false
	}
	t.view.Store(&next)
	if t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
	return true
}

// stillLeaving removes the hosts whose runner started after they were marked, since
// the mark applied to the previous runner.
func stillLeaving(old map[string]time.Time, m *fleet.Map) map[string]time.Time {
	var next map[string]time.Time
	for i := range m.Hosts {
		h := &m.Hosts[i]
		at, ok := old[h.Name]
		if !ok || h.State != fleet.Serving || !h.Since.After(at) {
			continue
		}
		if next == nil {
			next = maps.Clone(old)
		}
		delete(next, h.Name)
	}
	if next == nil {
		return old
	}
	return next
}
