package estimate

import (
	"math"
	"slices"
	"time"
)

const (
	// window is how many samples an entry keeps.
	window = 32
	// minSamples is the number of samples from which an entry is used.
	minSamples = 3
	// usualShare is the share of estimates that are off by up to 50% which appears to be
	// off by more, since the tasks of a step differ by 15 to 30%; of those that are off
	// by up to 90%, 4 in 9 are. Estimates count as wrong from wrongDeviations standard
	// deviations above it, which is 3 of 3 samples, 5 of 8 and 12 of 32, and no longer
	// below rightShare.
	usualShare      = 0.15
	wrongDeviations = 3.5
	rightShare      = 1. / 6
	// minError is the least error that a value is taken to have, so that few equal
	// samples do not count as certain.
	minError = 0.05
	// factorGain is how much smaller the error of a learned factor of the declared
	// estimates must be than that of a learned run time to be used in its place.
	factorGain = 0.8
)

// sample is a step that has ended. Both numbers are natural logarithms.
type sample struct {
	ran    float64 // run time in seconds
	factor float64 // run time by declared estimate; 0 if none was declared
	wrong  bool    // the declared estimate was off by more than half
}

// entry is what is known of a key. All errors are typical absolute differences of
// natural logarithms.
type entry struct {
	key     Key
	samples [window]sample
	n       int // number of samples
	next    int // index of the next sample

	wrong         bool    // the declared estimates are wrong
	median        float64 // of ran
	factor        float64 // median of factor
	byFactor      bool    // the learned value is a factor of the declared estimate
	learnedError  float64
	declaredError float64
}

// add records a sample.
func (e *entry) add(ran, declared, deviation time.Duration) {
	s := sample{ran: math.Log(ran.Seconds()), wrong: !right(declared, ran, deviation)}
	if declared > 0 {
		s.factor = s.ran - math.Log(declared.Seconds())
	}
	e.samples[e.next] = s
	e.next = (e.next + 1) % window
	e.n = min(e.n+1, window)
	e.summarize()
}

func (e *entry) summarize() {
	var buf [3][window]float64
	ran, factor, declared := buf[0][:e.n], buf[1][:e.n], buf[2][:e.n]
	wrong := 0
	for i, s := range e.samples[:e.n] {
		ran[i], factor[i], declared[i] = s.ran, s.factor, math.Abs(s.factor)
		if s.wrong {
			wrong++
		}
	}
	e.declaredError = median(declared)
	e.median, e.learnedError = typical(ran)
	var factorError float64
	e.factor, factorError = typical(factor)
	if e.byFactor = factorError < factorGain*e.learnedError; e.byFactor {
		e.learnedError = factorError
	}
	n, w := float64(e.n), float64(wrong)
	switch {
	case e.n < minSamples:
	case w > usualShare*n+wrongDeviations*math.Sqrt(usualShare*(1-usualShare)*n):
		e.wrong = true
	case w < rightShare*n:
		e.wrong = false
	}
}

// learns reports whether the learned value is used for declared estimates.
func (e *entry) learns() bool { return e.wrong && e.learnedError < e.declaredError }

// expect returns the run time to expect, and whether it is learned.
func (e *entry) expect(declared time.Duration) (ran time.Duration, learned bool) {
	switch {
	case declared <= 0 && e.n >= minSamples:
		return seconds(math.Exp(e.median)), true
	case declared <= 0 || !e.learns():
		return declared, false
	}
	d := math.Log(declared.Seconds())
	l := e.median
	if e.byFactor {
		l = d + e.factor
	}
	wd, wl := weight(e.declaredError), weight(e.learnedError)
	return seconds(math.Exp((wd*d + wl*l) / (wd + wl))), true
}

func weight(err float64) float64 { return 1 / (err*err + minError*minError) }

// typical returns the median of the values and the median of their distance to it. It
// changes the order of the values.
func typical(values []float64) (mid, deviation float64) {
	mid = median(values)
	for i, v := range values {
		values[i] = math.Abs(v - mid)
	}
	return mid, median(values)
}

// median returns the median of the values, which it sorts.
func median(values []float64) float64 {
	slices.Sort(values)
	n := len(values)
	return (values[(n-1)/2] + values[n/2]) / 2
}
