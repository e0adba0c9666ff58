package route

import (
	"sync"
	"sync/atomic"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/backend"
)

// Defaults of an Ejector.
const (
	defaultFailures     = 5
	defaultEjection     = time.Second
	defaultLongEjection = time.Minute
)

// Ejector takes runners that fail requests out of the choice for a growing
// time. At most half of a pool's runners in a zone are out at once. Further
// ones that fail are avoided: they get requests when no other runner can, and
// probes. Otherwise they would have the fewest outstanding requests and
// attract all work. The zero value is ready.
type Ejector struct {
	// Failures is how many failures in a row eject a runner, 5 if zero.
	Failures int
	// First is the first ejection's time, 1 s if zero; each further one is
	// twice as long.
	First time.Duration
	// Longest bounds an ejection's time, 1 min if zero.
	Longest time.Duration

	mu sync.Mutex // serializes ejections and readmissions
}

// ejection is an Ejector's state of one runner. The zero value is in service.
type ejection struct {
	// until is when an ejected or avoided runner may be probed, in Unix
	// nanoseconds; zero while the runner is in service.
	until atomic.Int64
	// avoided tells that a runner with until set is not ejected, as half of
	// the pool must stay.
	avoided atomic.Bool
	// probing is set while the one probe request is under way.
	probing atomic.Bool
	// failures counts failures in a row.
	failures atomic.Int32

	level  int       // guarded by Ejector.mu; ejections in a series
	forget time.Time // guarded by Ejector.mu; when the series ends
}

// Change is what a finished request changed about its runner.
type Change uint8

// Changes of a runner.
const (
	Unchanged Change = iota
	// Ejected means that the runner takes no requests for a time.
	Ejected
	// Avoided means that the runner takes requests only when no other can.
	Avoided
	// Readmitted means that the runner takes requests again.
	Readmitted
)

var changeNames = [...]string{"unchanged", "ejected", "avoided", "readmitted"}

// String returns the change as logs print it.
func (c Change) String() string {
	if int(c) < len(changeNames) {
		return changeNames[c]
	}
	return "invalid"
}

// signal is what a result says about the health of a runner.
type signal uint8

const (
	neutral signal = iota
	healthy
	failing
)

// signalOf judges a result. Refusals, cancellations and the daemon's own
// limits say nothing about the runner's health.
func signalOf(res backend.Result) signal {
	switch res.Outcome {
	case backend.Answered:
		if res.Response != nil && res.Response.Status >= 500 {
			return failing
		}
		return healthy
	case backend.NotRun:
		if res.Reason == backend.ReasonRefused || res.Reason == backend.ReasonConnectionLost {
			return failing
		}
		return neutral
	default:
		if res.Reason == backend.ReasonCancelled || res.Reason == backend.ReasonTooLarge {
			return neutral
		}
		return failing
	}
}

// observe takes in one result of a member of g. probe tells that the request
// was the member's probe.
func (e *Ejector) observe(g *group, m *Member, probe bool, s signal, now time.Time) Change {
	if probe {
		defer m.probing.Store(false)
		return e.probed(m, s, now)
	}
	switch s {
	case healthy:
		if m.avoided.Load() {
			return e.probed(m, s, now)
		}
		if m.failures.Load() != 0 {
			m.failures.Store(0)
		}
	case failing:
		limit := e.Failures
		if limit == 0 {
			limit = defaultFailures
		}
		if int(m.failures.Add(1)) >= limit && m.until.Load() == 0 {
			return e.eject(g, m, now)
		}
	}
	return Unchanged
}

// probed readmits a member or ejects it for longer.
func (e *Ejector) probed(m *Member, s signal, now time.Time) Change {
	e.mu.Lock()
	defer e.mu.Unlock()
	if m.until.Load() == 0 {
		return Unchanged // readmitted meanwhile
	}
	switch s {
	case healthy:
		m.readmit()
		// The series ends when the runner stays healthy as long as it was out.
		m.forget = now.Add(e.period(m.level))
		return Readmitted
	case failing:
		m.level++
		m.until.Store(now.Add(e.period(m.level)).UnixNano())
		return m.change()
	default:
		return Unchanged
	}
}

// change names the state of a runner that is out.
func (e *ejection) change() Change {
	if e.avoided.Load() {
		return Avoided
	}
	return Ejected
}

// eject takes a member out, or has it avoided if too few would remain.
func (e *Ejector) eject(g *group, m *Member, now time.Time) Change {
	e.mu.Lock()
	defer e.mu.Unlock()
	out, staying := g.ejected()
	if m.until.Load() != 0 || m.gone() {
		return Unchanged
	}
	if m.level > 0 && now.After(m.forget) {
		m.level = 0
	}
	m.level++
	m.avoided.Store((out+1)*2 > staying)
	m.until.Store(now.Add(e.period(m.level)).UnixNano())
	return m.change()
}

// keepHalf has ejected members of a group avoided instead when its other
// members have become fewer.
func (e *Ejector) keepHalf(g *group) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for out, staying := g.ejected(); out*2 > staying; out-- {
		var first *Member
		for i := range g.members {
			m := &g.members[i]
			if m.gone() || !m.ejected() {
				continue
			}
			if first == nil || m.until.Load() < first.until.Load() {
				first = m
			}
		}
		if first == nil {
			return // the rest said meanwhile that they are leaving
		}
		first.avoided.Store(true)
	}
}

// ejected tells whether the runner takes no requests.
func (e *ejection) ejected() bool { return e.until.Load() != 0 && !e.avoided.Load() }

// readmit puts a member back in service.
func (e *ejection) readmit() {
	e.failures.Store(0)
	e.until.Store(0)
	e.avoided.Store(false)
}

// ejected counts the ejected members and all, leaving ones apart.
func (g *group) ejected() (out, staying int) {
	for i := range g.members {
		m := &g.members[i]
		if m.gone() {
			continue
		}
		staying++
		if m.ejected() {
			out++
		}
	}
	return out, staying
}

// period returns the time of the ejection at a level from 1.
func (e *Ejector) period(level int) time.Duration {
	first, longest := e.First, e.Longest
	if first == 0 {
		first = defaultEjection
	}
	if longest == 0 {
		longest = defaultLongEjection
	}
	d := first
	for range level - 1 {
		if d >= longest {
			break
		}
		d *= 2
	}
	return min(d, longest)
}
