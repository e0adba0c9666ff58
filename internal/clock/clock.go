// Package clock provides the clocks that decisions depend on. Each clock has its
// own type, so that times of different clocks cannot be compared.
//
// The host's boot clock includes the time for which the host was suspended; the
// runtime's monotonic clock does not. A process that was suspended past the end
// of a lease therefore finds the lease expired by the boot clock.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime is a time of the host's boot clock in nanoseconds. The zero value,
// the boot of the host, is treated as long past.
type BootTime int64

// Now returns the present time of the boot clock.
func Now() BootTime {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: read boot clock: " + err.Error())
	}
	return BootTime(ts.Nano())
}

// Add returns the time d after b.
func (b BootTime) Add(d time.Duration) BootTime { return b + BootTime(d) }

// Sub returns the duration from c to b.
func (b BootTime) Sub(c BootTime) time.Duration { return time.Duration(b - c) }

// After reports whether b is later than c.
func (b BootTime) After(c BootTime) bool { return b > c }

// RunnerTime is a time of a runner's own monotonic clock in milliseconds. The
// clock starts anew with each incarnation of the runner.
type RunnerTime int64

// Add returns the time d after r.
func (r RunnerTime) Add(d time.Duration) RunnerTime { return r + RunnerTime(d.Milliseconds()) }

// Reading is a reading of a runner's clock with the time of its receipt: at
// ReceivedAt, the runner's clock was at RunnerTime or later.
type Reading struct {
	RunnerTime RunnerTime
	ReceivedAt BootTime
}

// minClockRate is the minimum rate of a runner's clock: it may be 2% slow by the
// platform's contract.
const minClockRate = 0.98

// LowerBound returns the earliest time that the runner's clock can have at now.
func (r Reading) LowerBound(now BootTime) RunnerTime {
	d := now.Sub(r.ReceivedAt)
	if d < 0 {
		return r.RunnerTime
	}
	return r.RunnerTime + RunnerTime(float64(d.Milliseconds())*minClockRate)
}
