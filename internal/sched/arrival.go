package sched

import (
	"math"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
)

const (
	// shortWindow and longWindow are the time constants of the two averages of
	// arrivals. In a surge, about ten jobs arrive within the short window at
	// the smaller deployments.
	shortWindow = 400 * time.Millisecond
	longWindow  = 1500 * time.Millisecond
	// maxRise limits the expected rate to a multiple of the current one.
	maxRise = 2
	// sizeWindow is the number of jobs over which their size is averaged. The sizes of
	// jobs of one queue differ by more than their mean: over 20 jobs, the error of the
	// average moved machines that no pool needed.
	sizeWindow = 100
)

// maxJobAge limits the age derived from a job's acceptance time, because the
// clocks of the hosts may jump.
const maxJobAge = time.Minute

// arrival averages the rate of jobs that arrive at a pool over a short and a
// long window. The difference shows the trend of the rate. Jobs are counted
// instead of their work, because a few large jobs would make an average of the
// work jump.
type arrival struct {
	short, long float64 // jobs per second
	size        float64 // core-seconds per job
	sized       int     // jobs in size, at most sizeWindow
	at          clock.BootTime
}

// recordArrival counts a new job of a pool. The work that the pool expects does not
// include jobs beyond a share.
func (s *State) recordArrival(js *jobState, now clock.BootTime) {
	if js.def.LongRunning() {
		return
	}
	s.recordRankArrival(js, now)
	if !s.arrivesWithinShare(js, now) {
		return
	}
	svc := s.service(js)
	s.arrivals[svc] = s.arrivals[svc].add(js.total, now)
}

// decay updates the averages to now.
func (a arrival) decay(now clock.BootTime) arrival {
	d := float64(now.Sub(a.at))
	a.short *= math.Exp(-d / float64(shortWindow))
	a.long *= math.Exp(-d / float64(longWindow))
	a.at = now
	return a
}

// add counts a job with the given work in core-seconds.
func (a arrival) add(coreSeconds float64, now clock.BootTime) arrival {
	a = a.decay(now)
	a.short += 1 / shortWindow.Seconds()
	a.long += 1 / longWindow.Seconds()
	a.sized = min(a.sized+1, sizeWindow)
	a.size += (coreSeconds - a.size) / float64(a.sized)
	return a
}

// currentLoad returns the work that arrives per second, averaged over about the
// last second.
func (a arrival) currentLoad(now clock.BootTime) float64 {
	a = a.decay(now)
	return a.size * (a.short + a.long) / 2
}

// expectedLoad returns the work per second to expect by the time that a machine
// requested now can run it, which is lead from now. A windowed average lags
// behind a steady rise by the length of its window. A rise within the standard
// deviation of random arrivals is ignored.
func (a arrival) expectedLoad(now clock.BootTime, lead time.Duration) float64 {
	a = a.decay(now)
	deviation := math.Sqrt(max(a.short, a.long) / (2 * shortWindow.Seconds()))
	rise := max(a.short-a.long-deviation, 0) / (longWindow - shortWindow).Seconds()
	soon := min(a.short+rise*(shortWindow+lead).Seconds(), maxRise*a.short)
	if rise == 0 {
		soon = 0
	}
	return a.size * max((a.short+a.long)/2, soon)
}
