package estimate

import (
	"math"
	"time"
)

// Run times are counted in buckets of equal ratio.
const (
	buckets      = 96
	shortest     = 100e-6 // seconds, upper bound of the first bucket
	bucketsPer2x = 4

	// recent is the number of completions after which the counts are halved,
	// so that old run times fade.
	recent = 1024
	// enough is the number of completions after which the tail is updated.
	enough = 32
	// tailPart of the runs take longer than Tail.
	tailPart = 0.01

	// memory is the number of recent completions that dominate the mean.
	memory = 64
)

// Mean is a mean over recent run times.
type Mean struct {
	Seconds float64
	n       int
}

// SetDeclared sets the declared run time, which the first observation replaces.
func (m *Mean) SetDeclared(declared time.Duration) { m.Seconds = declared.Seconds() }

// Observe corrects the mean by one completed run.
func (m *Mean) Observe(seconds float64) {
	if m.n < memory {
		m.n++
	}
	m.Seconds += (seconds - m.Seconds) / float64(m.n)
}

// RunTime is the run time of a class.
type RunTime struct {
	Mean
	// Tail is exceeded by few runs, in seconds; 0 while unknown.
	Tail   float64
	counts [buckets]uint16
	total  int
}

// Observe corrects the estimate by one completed run.
func (e *RunTime) Observe(seconds float64) {
	seconds = max(seconds, shortest)
	e.Mean.Observe(seconds)
	b := int(math.Ceil(math.Log2(seconds/shortest) * bucketsPer2x))
	e.counts[min(max(b, 0), buckets-1)]++
	if e.total++; e.total >= recent {
		e.fade()
	}
	if e.total%enough == 0 {
		e.Tail = e.quantile(tailPart)
	}
}

// fade halves the counts.
func (e *RunTime) fade() {
	e.total = 0
	for b := range e.counts {
		e.counts[b] /= 2
		e.total += int(e.counts[b])
	}
}

// quantile returns the upper bound of the bucket that the given part of the
// longest runs reaches.
func (e *RunTime) quantile(part float64) float64 {
	over := int(part * float64(e.total))
	b := buckets - 1
	for n := int(e.counts[b]); n <= over && b > 0; {
		b--
		n += int(e.counts[b])
	}
	return shortest * math.Exp2(float64(b)/bucketsPer2x)
}
