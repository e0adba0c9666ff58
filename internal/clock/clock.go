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

// BootTime is an instant on the host's boot clock in nanoseconds. The zero value
// is long past.
type BootTime int64

// Now reads the boot clock.
func Now() BootTime {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: no boot clock: " + err.Error())
	}
	return BootTime(ts.Nano())
}

// Add returns the instant d after b.
func (b BootTime) Add(d time.Duration) BootTime { return b + BootTime(d) }

// Sub returns the time from c to b.
func (b BootTime) Sub(c BootTime) time.Duration { return time.Duration(b - c) }

// After tells whether b is later than c.
func (b BootTime) After(c BootTime) bool { return b > c }

// RunnerTime is an instant on a runner's own steady clock in milliseconds. It
// starts anew with each life of the runner.
type RunnerTime int64

// Add returns the instant d after r.
func (r RunnerTime) Add(d time.Duration) RunnerTime { return r + RunnerTime(d.Milliseconds()) }

// Reading is what a runner's clock showed, and when the reading arrived. The
// runner's clock was at or past Shown at the instant At.
type Reading struct {
	RunnerTime RunnerTime
	ReceivedAt BootTime
}

// slowest is how slow a runner's clock may be: 2%, by the platform's contract.
const slowest = 0.98

// LowerBound returns what the runner's clock has surely reached at now.
func (r Reading) LowerBound(now BootTime) RunnerTime {
	d := now.Sub(r.ReceivedAt)
	if d < 0 {
		return r.RunnerTime
	}
	return r.RunnerTime + RunnerTime(float64(d.Milliseconds())*slowest)
}
