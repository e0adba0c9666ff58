package sched

import (
	"math"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
)

const (
	// shortTime and longTime are over how long arrivals are averaged. Some ten
	// jobs arrive in the short time in a surge at the smaller deployments.
	shortTime = 400 * time.Millisecond
	longTime  = 1500 * time.Millisecond
	// mostRise bounds how many times the present rate is expected soon.
	mostRise = 2
	// sizeJobs is over how many jobs their size is averaged.
	sizeJobs = 20
)

// arrival averages the jobs that arrive at a pool over a short and a long time.
// The difference tells where the rate is going. Jobs are counted, since few
// large ones would make an average of their work jump.
type arrival struct {
	short, long float64 // jobs a second
	size        float64 // core-seconds of a job
	at          clock.BootTime
}

// arrived counts a new job of a pool.
func (s *State) arrived(w *work, now clock.BootTime) {
	if w.job.LongRunning() {
		return
	}
	svc := s.service(w)
	s.arrivals[svc] = s.arrivals[svc].add(w.total, now)
}

// decay brings the averages up to now.
func (a arrival) decay(now clock.BootTime) arrival {
	d := float64(now.Sub(a.at))
	a.short *= math.Exp(-d / float64(shortTime))
	a.long *= math.Exp(-d / float64(longTime))
	a.at = now
	return a
}

// add counts a job of the given work.
func (a arrival) add(cores float64, now clock.BootTime) arrival {
	a = a.decay(now)
	a.short += 1 / shortTime.Seconds()
	a.long += 1 / longTime.Seconds()
	if a.size == 0 {
		a.size = cores
	}
	a.size += (cores - a.size) / sizeJobs
	return a
}

// present is the work that arrives a second, as of the last second.
func (a arrival) present(now clock.BootTime) float64 {
	a = a.decay(now)
	return a.size * (a.short + a.long) / 2
}

// ahead is the work to expect a second when a machine that is ordered now can
// take it. An average over a time lags behind a steady rise by that time. A rise
// within the deviation of random arrivals is none.
func (a arrival) ahead(now clock.BootTime, lead time.Duration) float64 {
	a = a.decay(now)
	deviation := math.Sqrt(max(a.short, a.long) / (2 * shortTime.Seconds()))
	rise := max(a.short-a.long-deviation, 0) / (longTime - shortTime).Seconds()
	soon := min(a.short+rise*(shortTime+lead).Seconds(), mostRise*a.short)
	if rise == 0 {
		soon = 0
	}
	return a.size * max((a.short+a.long)/2, soon)
}
