package admission_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"gypsumtrestle.example/gypsumtrestle/pkg/text"
)

// Workload of a pool in a zone. The load of a class is the mean fraction of the
// pool's slots that it uses. Every surge, together with the mean load of the
// other classes, exceeds the slots of the pool.
var (
	runMean = [text.Classes]time.Duration{50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond}
	load    = [text.Classes]float64{0.25, 0.20, 0.15}
	shares  = [text.Classes]int{6, 4, 3}
	surges  = []surge{
		{text.Background, 5 * time.Second}, {text.Urgent, 25 * time.Second}, {text.Normal, 45 * time.Second},
	}
)

const (
	slotsPerRunner = 8
	deadlineFactor = 10 // deadline, in mean run times
	surgeFactor    = 5
	surgeTime      = 8 * time.Second
	troughFactor   = 0.05
	troughTime     = 8 * time.Second
	traceTime      = 65 * time.Second
)

// surge is a rise of the arrival rate of a class to 5 times its mean, followed by
// a fall to 1/20 of it.
type surge struct {
	class text.Class
	at    time.Duration
}

// factor returns the arrival rate of class c at the given time, relative to its
// mean.
func (s surge) factor(c text.Class, at time.Duration) float64 {
	switch {
	case c != s.class || at < s.at || at >= s.at+surgeTime+troughTime:
		return 1
	case at < s.at+surgeTime:
		return surgeFactor
	default:
		return troughFactor
	}
}

// shape is a configuration of a zone and its workload.
type shape struct {
	runners  int
	traffic  []float64 // fraction of the requests at each daemon
	skewed   bool      // the whole surge arrives at the first daemon
	heavy    bool      // Pareto run times with index 2 instead of exponential
	declared float64   // declared run time, relative to the actual mean
	seed     uint64
}

func (s shape) slots() int { return s.runners * slotsPerRunner }

// request is one arrival of a trace and its outcome in a replay.
type request struct {
	at, deadline, run, cancel time.Duration // cancel is 0 if the request is not cancelled
	class                     text.Class
	daemon                    int
	extra                     bool // part of the surge

	state     outcome
	tries     int  // runners to try before the request is requeued
	waitEnded bool // no longer counted as unserved
	done      time.Duration
}

// trace generates the arrivals of a shape. The requests at the mean rate are the
// same with and without surges, so that replays compare equal work.
func trace(s shape, surging bool) []request {
	var all []request
	for c := range text.Class(text.Classes) {
		r := rand.New(rand.NewPCG(s.seed, uint64(c)))
		gap := runMean[c].Seconds() / (load[c] * float64(s.slots()) * surgeFactor)
		for t := r.ExpFloat64() * gap; t < traceTime.Seconds(); t += r.ExpFloat64() * gap {
			q := request{at: seconds(t), class: c}
			q.run = s.runTime(r, c)
			q.deadline = q.at + deadlineFactor*runMean[c]
			q.daemon = pick(r, s.traffic)
			level, cancelDraw := r.Float64()*surgeFactor, r.Float64()
			f := 1.0
			for _, g := range surges {
				f *= g.factor(c, q.at)
				if surging && c == g.class && cancelDraw < 0.5 {
					q.cancelBy(g.at + surgeTime/2)
				}
			}
			if q.extra = level >= 1; q.extra && s.skewed {
				q.daemon = 0
			}
			if level < f && surging || level < 1 && !surging {
				all = append(all, q)
			}
		}
	}
	slices.SortStableFunc(all, func(a, b request) int { return int(a.at - b.at) })
	return all
}

// waitLimit returns the longest time for which the caller waits for a runner.
func (q *request) waitLimit() time.Duration {
	if q.cancel > 0 {
		return min(q.deadline, q.cancel) - q.at
	}
	return q.deadline - q.at
}

// cancelBy cancels the request at the given time if it arrived less than 1 s
// before.
func (q *request) cancelBy(at time.Duration) {
	if q.at < at && q.at > at-time.Second {
		q.cancel = at
	}
}

func (s shape) runTime(r *rand.Rand, c text.Class) time.Duration {
	if s.heavy {
		return seconds(runMean[c].Seconds() / 2 / math.Sqrt(1-r.Float64()))
	}
	return seconds(r.ExpFloat64() * runMean[c].Seconds())
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// pick returns a random index with the given probabilities.
func pick(r *rand.Rand, parts []float64) int {
	x := r.Float64()
	for i, p := range parts {
		if x -= p; x < 0 {
			return i
		}
	}
	return len(parts) - 1
}
