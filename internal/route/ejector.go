package route

import (
	"sync"
	"sync/atomic"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/backend"
)

// Defaults of Ejector fields.
const (
	defaultFailures        = 5
	defaultFirstEjection   = time.Second
	defaultLongestEjection = time.Minute
)

// Ejector ejects runners that fail requests, for a time that grows with each
// ejection. At most half of the runners of a pool in a zone are ejected at once.
// Further runners that fail are avoided: they get requests only if no other runner
// can be used, and probes. Otherwise, having the fewest outstanding requests, they
// would attract all requests. The zero value is ready to use.
type Ejector struct {
	// Failures is the number of consecutive failures after which a runner is
	// ejected; 0 means 5.
	Failures int
	// FirstEjection is the duration of the first ejection; 0 means 1 s. Each
	// further ejection is twice as long.
	FirstEjection time.Duration
	// MaxEjection is the maximum duration of an ejection; 0 means 1 min.
	MaxEjection time.Duration

	mu sync.Mutex // serializes ejections and readmissions
}

// ejection is the ejection state of one runner. The zero value is that of a runner
// in service.
type ejection struct {
	// probeAfter is the time from which an ejected or avoided runner may be
	// probed, in Unix nanoseconds; 0 while the runner is in service.
	probeAfter atomic.Int64
	// avoided is set if a runner with probeAfter set is not ejected, since half
	// of the pool must remain in service.
	avoided atomic.Bool
	// probing is set while a probe request is in flight.
	probing atomic.Bool
	// failures is the number of consecutive failures.
	failures atomic.Int32

	level     int       // guarded by Ejector.mu; number of ejections in the current series
	seriesEnd time.Time // guarded by Ejector.mu; end of the current series
}

// Change is the change of a runner's ejection state after a request.
type Change uint8

// Changes of a runner.
const (
	Unchanged Change = iota
	// Ejected means that the runner gets no requests until its ejection time has
	// passed.
	Ejected
	// Avoided means that the runner gets requests only if no other can be used.
	Avoided
	// Readmitted means that the runner is back in service.
	Readmitted
)

var changeNames = [...]string{"unchanged", "ejected", "avoided", "readmitted"}

// String returns the name that logs use.
func (c Change) String() string {
	if int(c) < len(changeNames) {
		return changeNames[c]
	}
	return "invalid"
}

// signal is the effect of a result on the health of a runner.
type signal uint8

const (
	neutral signal = iota
	healthy
	failing
)

// classify returns the signal of a result. Busy rejections, cancellations and the
// daemon's own limits do not affect the health of a runner.
func classify(res backend.Result) signal {
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

// observe processes one result of a member of g. The argument probe is set if the
// request was a probe of the member.
func (e *Ejector) observe(g *group, m *Member, probe bool, s signal, now time.Time) Change {
	if probe {
		defer m.probing.Store(false)
		return e.updateEjection(m, s, now)
	}
	switch s {
	case healthy:
		if m.avoided.Load() {
			return e.updateEjection(m, s, now)
		}
		if m.failures.Load() != 0 {
			m.failures.Store(0)
		}
	case failing:
		limit := e.Failures
		if limit == 0 {
			limit = defaultFailures
		}
		if int(m.failures.Add(1)) >= limit && m.probeAfter.Load() == 0 {
			return e.eject(g, m, now)
		}
	}
	return Unchanged
}

// updateEjection readmits a member that is ejected or avoided, or extends its
// ejection.
func (e *Ejector) updateEjection(m *Member, s signal, now time.Time) Change {
	e.mu.Lock()
	defer e.mu.Unlock()
	if m.probeAfter.Load() == 0 {
		return Unchanged // already readmitted by another request
	}
	switch s {
	case healthy:
		m.readmit()
		// The series ends if the runner stays healthy for as long as it was
		// ejected.
		m.seriesEnd = now.Add(e.ejectionTime(m.level))
		return Readmitted
	case failing:
		m.level++
		m.probeAfter.Store(now.Add(e.ejectionTime(m.level)).UnixNano())
		return m.change()
	default:
		return Unchanged
	}
}

// change returns the state of an ejected or avoided runner.
func (e *ejection) change() Change {
	if e.avoided.Load() {
		return Avoided
	}
	return Ejected
}

// eject ejects a member, or marks it as avoided if too few members would remain in
// service.
func (e *Ejector) eject(g *group, m *Member, now time.Time) Change {
	e.mu.Lock()
	defer e.mu.Unlock()
	out, total := g.ejected()
	if m.probeAfter.Load() != 0 || m.isLeaving() {
		return Unchanged
	}
	if m.level > 0 && now.After(m.seriesEnd) {
		m.level = 0
	}
	m.level++
	m.avoided.Store((out+1)*2 > total)
	m.probeAfter.Store(now.Add(e.ejectionTime(m.level)).UnixNano())
	return m.change()
}

// limitEjections marks ejected members of a group as avoided if more than half of
// its members are ejected, after others have left.
func (e *Ejector) limitEjections(g *group) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for out, total := g.ejected(); out*2 > total; out-- {
		var earliest *Member
		for i := range g.members {
			m := &g.members[i]
			if m.isLeaving() || !m.ejected() {
				continue
			}
			if earliest == nil || m.probeAfter.Load() < earliest.probeAfter.Load() {
				earliest = m
			}
		}
		if earliest == nil {
			return // the ejected members reported concurrently that they are leaving
		}
		earliest.avoided.Store(true)
	}
}

// ejected reports whether the runner gets no requests.
func (e *ejection) ejected() bool { return e.probeAfter.Load() != 0 && !e.avoided.Load() }

// readmit returns a member to service.
func (e *ejection) readmit() {
	e.failures.Store(0)
	e.probeAfter.Store(0)
	e.avoided.Store(false)
}

// ejected returns the number of ejected members and the number of all members,
// both without leaving ones.
func (g *group) ejected() (out, total int) {
	for i := range g.members {
		m := &g.members[i]
		if m.isLeaving() {
			continue
		}
		total++
		if m.ejected() {
			out++
		}
	}
	return out, total
}

// ejectionTime returns the duration of an ejection by its level, which starts at 1.
func (e *Ejector) ejectionTime(level int) time.Duration {
	first, longest := e.FirstEjection, e.MaxEjection
	if first == 0 {
		first = defaultFirstEjection
	}
	if longest == 0 {
		longest = defaultLongestEjection
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
