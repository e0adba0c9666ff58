package estimate_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/admission/estimate"
)

// Guards against estimates that stay at a wrong declared run time, or that do not
// follow changes of the run times.
func TestRunTimeFollows(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	var e estimate.RunTime
	e.SetDeclared(4 * time.Second)
	for _, mean := range []float64{1, 0.01, 30} {
		for range 5000 {
			e.Observe(r.ExpFloat64() * mean)
		}
		if q := e.Seconds / mean; q < 0.6 || q > 1.6 {
			t.Errorf("estimated mean is %.3f s for runs with mean %.2f s", e.Seconds, mean)
		}
		if q := e.Tail / (mean * math.Log(100)); q < 0.7 || q > 1.6 {
			t.Errorf("estimated tail is %.3f s for runs of which 1%% exceed %.3f s", e.Tail, mean*math.Log(100))
		}
	}
}
