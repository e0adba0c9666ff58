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

// View is an immutable picture of what is in force.
type View struct {
	// Plan is the version of the operators' text; zero means none yet.
	Plan uint64
	// Source is the text as the operators wrote it.
	Source []byte
	// Text is nil until the first plan.
	Text *text.Text
	// Maps holds the newest map by zone.
	Maps map[string]*fleet.Map
	// Leaving holds the hosts that take no new work, with the instant at
	// which that was learned.
	Leaving map[string]time.Time
}

// Tracker replaces the View as newer state arrives. The zero value is ready.
type Tracker struct {
	// OnMap is called with each map that comes in force, in the order of the
	// versions. It must not call UpdatePlan, UpdateMap or MarkLeaving.
	OnMap func(*fleet.Map)

	view    atomic.Pointer[View]
	mu      sync.Mutex
	changed chan struct{} // guarded by mu; closed at the next change
}

var empty = &View{}

// View returns what is in force now.
func (k *Tracker) View() *View {
	if v := k.view.Load(); v != nil {
		return v
	}
	return empty
}

// Changed returns a channel that closes at the next change. Take it before
// reading the View, so that no change is missed.
func (k *Tracker) Changed() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.changed == nil {
		k.changed = make(chan struct{})
	}
	return k.changed
}

// UpdatePlan puts a text in force if its version is newer. It reports whether
// it did. A text that does not parse is refused with an error.
func (k *Tracker) UpdatePlan(version uint64, src []byte) (bool, error) {
	if version <= k.View().Plan {
		return false, nil
	}
	t, err := text.Parse(src)
	if err != nil {
		return false, errors.Wrapf(err, "plan %d", version)
	}
	return k.replace(func(v *View) bool {
		if version <= v.Plan {
			return false
		}
		v.Plan, v.Source, v.Text = version, src, t
		return true
	}), nil
}

// UpdateMap puts a zone's map in force if its version is newer.
func (k *Tracker) UpdateMap(m *fleet.Map) bool {
	return k.replace(func(v *View) bool {
		if old := v.Maps[m.Zone]; old != nil && m.Version <= old.Version {
			return false
		}
		v.Maps = maps.Clone(v.Maps)
		if v.Maps == nil {
			v.Maps = make(map[string]*fleet.Map)
		}
		v.Maps[m.Zone] = m
		v.Leaving = stillLeaving(v.Leaving, m)
		if k.OnMap != nil {
			k.OnMap(m)
		}
		return true
	})
}

// MarkLeaving adds a host to the leaving set. It reports whether the host is
// new there.
func (k *Tracker) MarkLeaving(host string, at time.Time) bool {
	return k.replace(func(v *View) bool {
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

// ClearLeaving removes hosts from the leaving set.
func (k *Tracker) ClearLeaving(hosts ...string) bool {
	return k.replace(func(v *View) bool {
		n := len(v.Leaving)
		v.Leaving = maps.Clone(v.Leaving)
		for _, h := range hosts {
			delete(v.Leaving, h)
		}
		return len(v.Leaving) < n
	})
}

// replace applies f to a copy of the View and publishes it if f says so.
func (k *Tracker) replace(f func(*View) bool) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	next := *k.View()
	if !f(&next) {
		return false
	}
	k.view.Store(&next)
	if k.changed != nil {
		close(k.changed)
		k.changed = nil
	}
	return true
}

// stillLeaving drops the hosts that started a new runner after they were
// marked: the mark was about the runner that has gone.
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
