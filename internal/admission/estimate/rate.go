package estimate

import (
	"math"
	"time"
)

// decayTime is the time constant of a Rate: the weight of an event decays by 63%
// in this time.
const decayTime = 200 * time.Millisecond

// Rate is the rate of recent events.
type Rate struct {
	weight  float64
	updated time.Time
}

// Add counts one event.
func (r *Rate) Add(now time.Time) {
	r.weight = r.decayed(now) + 1
	r.updated = now
}

// PerSecond returns the events per second.
func (r *Rate) PerSecond(now time.Time) float64 {
	return r.decayed(now) / decayTime.Seconds()
}

func (r *Rate) decayed(now time.Time) float64 {
	if r.weight == 0 {
		return 0
	}
	return r.weight * math.Exp(-max(0, now.Sub(r.updated).Seconds())/decayTime.Seconds())
}
