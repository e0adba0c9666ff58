package backend

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Fault is the name of a fault of runners.
type Fault string

// Faults of a host's runners.
const (
	// Late delays the response after the run.
	Late Fault = "late"
	// Lost closes the connection after the run, without a response.
	Lost Fault = "lost"
	// Refuse closes the listeners, so that new connections are refused. Any
	// nonzero number enables it; established connections remain open.
	Refuse Fault = "refuse"
	// Reset resets a connection after it is accepted.
	Reset Fault = "reset"
	// Freeze blocks a request before its run until the faults are changed.
	Freeze Fault = "freeze"
	// Crossed sends the ID and the body of another request's response.
	Crossed Fault = "crossed"
	// Truncated closes the connection after half of the response body.
	Truncated Fault = "truncated"
	// Fail returns status 500 immediately, without a run.
	Fail Fault = "fail"
)

// allFaults lists the names that Faults accepts.
var allFaults = []Fault{Late, Lost, Refuse, Reset, Freeze, Crossed, Truncated, Fail}

// Faults sets and reports which faults act.
type Faults struct {
	// Remaining is how often each fault still acts: 0 or no entry means never, a
	// positive number that many times, -1 until the next change.
	Remaining map[Fault]int `json:"left"`
	// Delay is the delay of Late as a Go duration; 1 s if empty.
	Delay string `json:"delay,omitempty"`
	// Applied counts how often each fault has acted; it is ignored as input.
	Applied map[Fault]int `json:"seen,omitempty"`
}

const defaultDelay = time.Second

// errUnknownFault means that Faults names a fault that does not exist.
var errUnknownFault = errors.New("unknown fault")

// injector decides which faults act. The zero value injects none.
type injector struct {
	mu        sync.Mutex
	remaining map[Fault]int
	applied   map[Fault]int
	delay     time.Duration
	changed   chan struct{} // closed at the next change
}

// set replaces the faults and releases frozen requests.
func (i *injector) set(f Faults) error {
	delay := defaultDelay
	if f.Delay != "" {
		d, err := time.ParseDuration(f.Delay)
		if err != nil {
			return errors.Wrap(err, "parse fault delay")
		}
		delay = d
	}
	left := make(map[Fault]int)
	for name, n := range f.Remaining {
		if !slices.Contains(allFaults, name) {
			return errors.Wrapf(errUnknownFault, "%q", name)
		}
		left[name] = n
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.remaining, i.delay = left, delay
	if i.changed != nil {
		close(i.changed)
		i.changed = nil
	}
	return nil
}

// enabled reports whether a fault is enabled, without counting a use of it.
func (i *injector) enabled(name Fault) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.remaining[name] != 0
}

// trigger reports whether a fault acts now; if so, it counts a use of it.
func (i *injector) trigger(name Fault) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.triggerLocked(name)
}

// freeze returns a channel that is closed at the next change of the faults if
// Freeze acts now, and nil otherwise.
func (i *injector) freeze() <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.triggerLocked(Freeze) {
		return nil
	}
	if i.changed == nil {
		i.changed = make(chan struct{})
	}
	return i.changed
}

// triggerLocked is like trigger; the caller holds mu.
func (i *injector) triggerLocked(name Fault) bool {
	n := i.remaining[name]
	if n == 0 {
		return false
	}
	if n > 0 {
		i.remaining[name] = n - 1
	}
	if i.applied == nil {
		i.applied = make(map[Fault]int)
	}
	i.applied[name]++
	return true
}

// lateDelay returns the delay of the fault Late.
func (i *injector) lateDelay() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.delay
}

// MarshalJSON encodes the current faults and counts as Faults.
func (i *injector) MarshalJSON() ([]byte, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return json.Marshal(Faults{Remaining: i.remaining, Delay: i.delay.String(), Applied: i.applied})
}
