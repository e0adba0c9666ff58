package estimate

import (
	"math"
	"time"
)

// Run times are counted in buckets whose bounds grow exponentially.
const (
	buckets            = 96
	minSeconds         = 100e-6 // upper bound of the first bucket
	bucketsPerDoubling = 4

	// halveAfter is the number of completions after which the counts are halved,
	// so that the weight of old run times decays.
	halveAfter = 1024
	// tailInterval is the number of completions between updates of the tail.
	tailInterval = 32
	// tailFraction is the fraction of runs that take longer than Tail.
	tailFraction = 0.01

	// meanWindow is the number of recent completions that dominate the mean.
	meanWindow = 64
)

// Mean is the mean of recent run times.
type Mean struct {
	Seconds float64
	n       int
}

// SetDeclared sets the declared run time, which the first observation replaces.
func (m *Mean) SetDeclared(declared time.Duration) { m.Seconds = declared.Seconds() }

// Observe updates the mean with the run time of one completed run.
func (m *Mean) Observe(seconds float64) {
	if m.n < meanWindow {
		m.n++
	}
	m.Seconds += (seconds - m.Seconds) / float64(m.n)
}

// RunTime is an estimate of the run time of a class.
type RunTime struct {
	Mean
	// Tail is the run time, in seconds, that only a small fraction of runs
	// exceeds; 0 while unknown.
	Tail   float64
	counts [buckets]uint16
	total  int
}

// Observe updates the estimate with the run time of one completed run.
func (r *RunTime) Observe(seconds float64) {
	seconds = max(seconds, minSeconds)
	r.Mean.Observe(seconds)
	b := int(math.Ceil(math.Log2(seconds/minSeconds) * bucketsPerDoubling))
	r.counts[min(max(b, 0), buckets-1)]++
	if r.total++; r.total >= halveAfter {
		r.halve()
	}
	if r.total%tailInterval == 0 {
		r.Tail = r.quantile(tailFraction)
	}
}

// halve halves the counts.
func (r *RunTime) halve() {
	r.total = 0
	for b := range r.counts {
		r.counts[b] /= 2
		r.total += int(r.counts[b])
	}
}

// quantile returns a bound that at most the given fraction of runs exceeds: the
// upper bound of a bucket.
func (r *RunTime) quantile(fraction float64) float64 {
	exceeding := int(fraction * float64(r.total))
	b := buckets - 1
	for n := int(r.counts[b]); n <= exceeding && b > 0; {
		b--
		n += int(r.counts[b])
	}
	return minSeconds * math.Exp2(float64(b)/bucketsPerDoubling)
}
