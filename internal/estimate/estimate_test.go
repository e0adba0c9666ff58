package estimate

import (
	"math/rand/v2"
	"testing"
	"time"
)

// observe lets a table learn from n steps of 8 tasks that take 0.6 s, 3% of them seven
// times as long, and whose declared estimates are off by up to the relative error.
func observe(t *Table, rng *rand.Rand, n int, off float64) (changes int) {
	k := Key{Queue: "q"}
	for range n {
		var s Siblings
		typical := 0.6 * (0.85 + 0.3*rng.Float64())
		for range 8 {
			ran := typical * (0.7 + 0.6*rng.Float64())
			if rng.Float64() < 0.03 {
				ran *= 7
			}
			s.Add(seconds(ran), 0)
		}
		if t.Observe(k, seconds(typical*(1+off*(2*rng.Float64()-1))), &s, 8) != nil {
			changes++
		}
	}
	return changes
}

// TestExpect guards against declared estimates that are replaced although they are right
// to within half, and against learned run times that a few long tasks or wrong estimates
// move.
func TestExpect(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		for _, off := range []float64{0, 0.2, 0.5} {
			var tb Table
			changes := observe(&tb, rng, 200, off)
			if got, learned := tb.Expect(Key{Queue: "q"}, 700*time.Millisecond); learned || got != 700*time.Millisecond || changes > 0 {
				t.Errorf("seed %d: %v expected after estimates that are off by %v, %d changes, want the declared 700 ms", seed, got, off, changes)
			}
		}
		var tb Table
		changes := observe(&tb, rng, 200, 0.9)
		for _, declared := range []time.Duration{60 * time.Millisecond, 1140 * time.Millisecond} {
			got, learned := tb.Expect(Key{Queue: "q"}, declared)
			if !learned || got < 420*time.Millisecond || got > 780*time.Millisecond || changes > 3 {
				t.Errorf("seed %d: %v expected for a declared %v, learned %v, %d changes, want 600 ms within 30%%", seed, got, declared, learned, changes)
			}
		}
		observe(&tb, rng, window, 0)
		if _, learned := tb.Expect(Key{Queue: "q"}, 700*time.Millisecond); learned {
			t.Errorf("seed %d: learned run time used although the declared estimates are right again", seed)
		}
	}
}

// TestLearnedFactor guards against one run time for all jobs of a queue whose sizes
// differ, although their estimates are off by the same factor.
func TestLearnedFactor(t *testing.T) {
	var tb Table
	for i := range 20 {
		var s Siblings
		ran := time.Duration(1+i%5) * time.Second
		s.Add(ran, 0)
		tb.Observe(Key{}, ran/4, &s, 1)
	}
	if got, _ := tb.Expect(Key{}, time.Second); got < 3500*time.Millisecond || got > 4500*time.Millisecond {
		t.Errorf("%v expected of 1 s declared where tasks take 4 times as long, want about 4 s", got)
	}
}

// TestRefine guards against a step whose other tasks are expected to take the declared
// time although its siblings did not, and against a single long task that changes it.
func TestRefine(t *testing.T) {
	ms := time.Millisecond
	for _, c := range []struct {
		name         string
		ended, run   []time.Duration
		n            int
		learned      bool
		least, atMax time.Duration
	}{
		{"none", nil, nil, 8, false, 600 * ms, 600 * ms},
		{"one long task", []time.Duration{4200 * ms}, nil, 8, false, 600 * ms, 600 * ms},
		{"only task", nil, []time.Duration{4200 * ms}, 1, false, 4200 * ms, 4200 * ms},
		{"right to within half", []time.Duration{900 * ms, 950 * ms}, nil, 8, false, 600 * ms, 600 * ms},
		{"shorter", []time.Duration{90 * ms, 100 * ms, 700 * ms}, nil, 8, false, 100 * ms, 100 * ms},
		{"overdue", nil, []time.Duration{1300 * ms, 1400 * ms, 1500 * ms}, 8, false, 1400 * ms, 1400 * ms},
		{"between learned and siblings", []time.Duration{800 * ms, 800 * ms}, nil, 8, true, 650 * ms, 750 * ms},
	} {
		var s Siblings
		for _, d := range c.ended {
			s.Add(d, 0)
		}
		if got := s.Refine(600*ms, c.learned, c.n, c.run); got < c.least || got > c.atMax {
			t.Errorf("%s: %v, want %v to %v", c.name, got, c.least, c.atMax)
		}
	}
}

// TestKeysBounded guards against memory that grows with the images of callers, and
// against the eviction of a key in use.
func TestKeysBounded(t *testing.T) {
	var tb Table
	for i := range 4 * maxKeys {
		for _, k := range []Key{{Queue: "used"}, {Step: i}} {
			var s Siblings
			s.Add(time.Second, 0)
			tb.Observe(k, time.Second/10, &s, 1)
		}
	}
	if _, learned := tb.Expect(Key{Queue: "used"}, time.Second); !learned || tb.Len() != maxKeys {
		t.Errorf("%d keys, the one in use known: %v, want %d, true", tb.Len(), learned, maxKeys)
	}
}
