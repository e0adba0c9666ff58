// Package clock reads the clocks that decisions depend on. Each clock has a
// type of its own, so that an instant on one cannot be compared with an
// instant on another.
//
// The host's boot clock counts the time that the host was suspended, which the
// runtime's monotonic clock does not. A lease that is checked against the boot
// clock has therefore ended for a process that was suspended past its end.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is an instant on the host's boot clock in nanoseconds. The zero value
// is long past.
type Boot int64

// Now reads the boot clock.
func Now() Boot {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: no boot clock: " + err.Error())
	}
	return Boot(ts.Nano())
}

// Add returns the instant d after b.
func (b Boot) Add(d time.Duration) Boot { return b + Boot(d) }

// Sub returns the time from c to b.
func (b Boot) Sub(c Boot) time.Duration { return time.Duration(b - c) }

// After tells whether b is later than c.
func (b Boot) After(c Boot) bool { return b > c }

// Runner is an instant on a runner's own steady clock in milliseconds. It
// starts anew with each life of the runner.
type Runner int64

// Add returns the instant d after r.
func (r Runner) Add(d time.Duration) Runner { return r + Runner(d.Milliseconds()) }

// Reading is what a runner's clock showed, and when the reading arrived. The
// runner's clock was at or past Shown at the instant At.
type Reading struct {
	Shown Runner
	At    Boot
}

// slowest is how slow a runner's clock may be: 2%, by the platform's contract.
const slowest = 0.98

// AtLeast returns what the runner's clock has surely reached at now.
func (r Reading) AtLeast(now Boot) Runner {
	d := now.Sub(r.At)
	if d < 0 {
		return r.Shown
	}
	return r.Shown + Runner(float64(d.Milliseconds())*slowest)
}
