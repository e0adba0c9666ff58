package sched

import (
	"math/rand/v2"
	"testing"
	"time"
)

// lead is how long it takes to move a machine in these tests.
const lead = 1700 * time.Millisecond

// TestArrivalsSteady guards against machines that are requested because of
// random rises of a steady rate, which includes a few large jobs.
func TestArrivalsSteady(t *testing.T) {
	for _, rate := range []float64{2, 10, 50} {
		r := rand.New(rand.NewPCG(1, uint64(rate)))
		var a arrival
		next, sum, n := 1000*second, 0.0, 0
		for now := 1000 * second; now < 1120*second; now += second / 20 {
			for ; next < now; next = next.Add(time.Duration(r.ExpFloat64() / rate * float64(time.Second))) {
				a = a.add(20*r.Float64(), next)
			}
			if now > 1010*second {
				sum += a.expectedLoad(now, lead)
				n++
			}
		}
		// The mean work of a job is 10 core-seconds; a third more is reserve
		// that costs little.
		if mean := sum / float64(n); mean > rate*10*4/3 || mean < rate*10*0.9 {
			t.Errorf("at %v jobs per second: mean expected load %v core-seconds per second, want about %v", rate, mean, rate*10)
		}
	}
}

// TestArrivalsRise guards against machines that arrive too late for a surge,
// because the averages of a steady rise lag behind it.
func TestArrivalsRise(t *testing.T) {
	var a arrival
	now := 1000 * second
	for now < 1003*second {
		now = now.Add(time.Duration(float64(time.Second) / (20 + 60*time.Duration(now-1000*second).Seconds())))
		a = a.add(10, now)
	}
	// The rate starts at 20 jobs per second and rises by 60 per second each
	// second.
	present := 10 * (20 + 60*3.0)
	if got := a.expectedLoad(now, lead); got < present || got > 2*present {
		t.Errorf("expected load %v core-seconds per second, want between %v and %v", got, present, 2*present)
	}
	now += 10 * second
	if got := a.expectedLoad(now, lead); got > present/100 {
		t.Errorf("expected load %v core-seconds per second 10 s after the last job", got)
	}
}

// TestArrivalsFirstSize guards against machines that are missing, or moved in vain, for as
// long as the first job of a pool, which may be small or large, decides the average size.
func TestArrivalsFirstSize(t *testing.T) {
	for _, first := range []float64{0.1, 100} {
		a := arrival{}.add(first, 1000*second)
		for range 19 {
			a = a.add(10, 1000*second)
		}
		if want := (first + 19*10) / 20; a.size < want*0.999 || a.size > want*1.001 {
			t.Errorf("average size %v core-seconds after a first job of %v, want %v", a.size, first, want)
		}
	}
}
