package interference

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
)

const second = clock.BootTime(time.Second)

// replay observes 20 images for a time: 64 steps of 4 tasks a second, which have others
// beside them for a part of the time. Jobs differ by 20%, and so do the tasks of a step,
// of which 3% take seven times as long. It returns the changes.
func replay(t *Table, rng *rand.Rand, from clock.BootTime, d time.Duration) []Change {
	var changes []Change
	for now := from; now < from.Add(d); now += second / 64 {
		image, others := rng.IntN(20), make(map[int]float64)
		for range 4 {
			others[rng.IntN(20)] = rng.Float64()
		}
		job := 0.8 + 0.4*rng.Float64()
		for range 4 {
			slow, beside := job*(0.8+0.4*rng.Float64()), []Neighbor(nil)
			if rng.Float64() < 0.03 {
				slow *= 7
			}
			for o, amount := range others {
				beside = append(beside, Neighbor{fmt.Sprint("i", o), amount})
			}
			t.Observe(RunTime, fmt.Sprint("i", image), slow, 0.25, beside, now)
		}
		if now%(second/2) == 0 {
			changes = append(changes, t.Update(now)...)
		}
	}
	return changes
}

// TestHarmless guards against harmless images that are kept apart because of noise, and
// the tasks of one job because its estimate was wrong.
func TestHarmless(t *testing.T) {
	for seed := range uint64(5) {
		var tb Table
		if got := replay(&tb, rand.New(rand.NewPCG(seed, 5)), 1000*second, time.Minute); len(got) > 0 {
			t.Errorf("seed %d: %v, want no known pair", seed, got)
		}
	}
}

// TestLatency guards against an effect on tail latencies that is taken for the load of the
// tasks, which rises and falls for all of them, or for that of another image that is beside
// them when the load is high; and against one that is kept for long after it has gone.
func TestLatency(t *testing.T) {
	for seed := range uint64(20) {
		var tb Table
		rng := rand.New(rand.NewPCG(seed, 6))
		const begin, end = 1010 * second, 1025 * second
		var beside [24][]Neighbor
		for now := 1000 * second; now < 1040*second; now += second / 2 {
			load := 20 * (1.5 + math.Sin(float64(now)/float64(2*second)))
			for k := range beside {
				if rng.IntN(4) == 0 {
					beside[k] = nil
					if rng.IntN(2) == 0 {
						beside[k] = []Neighbor{{"slow", 0.3 + 0.7*rng.Float64()}}
					}
					if rng.Float64()*50 < load {
						beside[k] = append(beside[k], Neighbor{"harmless", 1})
					}
				}
				latency := load * math.Exp(0.2*rng.NormFloat64())
				if len(beside[k]) > 0 && now >= begin && now < end && beside[k][0].Image == "slow" {
					latency *= math.Pow(2, beside[k][0].Amount)
				}
				tb.Observe(Latency, "served", latency, 0.25, beside[k], now)
			}
			for _, c := range tb.Update(now) {
				if c.By != "slow" || c.Expired == "" && (now < begin || now > end) || c.Expired != "" && now < end {
					t.Errorf("seed %d: %v at %v, want the slow image alone known, between 10 s and 25 s", seed, c, now.Sub(1000*second))
				}
			}
			known := tb.Effects("slow")["served"] > 0
			if now == begin+10*second && !known || now == end+10*second && known {
				t.Errorf("seed %d: pair known %v 10 s after it changed", seed, known)
			}
		}
	}
}

// TestBounded guards against memory that grows with the images of callers.
func TestBounded(t *testing.T) {
	var tb Table
	for i := range 1000 {
		now := 1000*second + clock.BootTime(i)
		for _, image := range []string{"used", fmt.Sprint("i", i)} {
			tb.Observe(RunTime, image, 1, 1, []Neighbor{{fmt.Sprint("i", i), 1}}, now)
		}
		tb.Observe(RunTime, string(make([]byte, MaxImage)), 1, 1, nil, now)
	}
	if im := tb.images[key{"used", RunTime}]; len(tb.images) > maxImages || im == nil || len(im.pairs) > maxBeside {
		t.Errorf("%d images, want at most %d with the one in use, and %d others beside it", len(tb.images), maxImages, maxBeside)
	}
}

// TestEqualEvidence guards against decisions that depend on the order of a map: of two
// images that were always beside a third one together, the same one must be named in each
// run of a replay.
func TestEqualEvidence(t *testing.T) {
	for range 50 {
		var tab Table
		now := clock.BootTime(time.Second)
		for i := range 40 {
			now = now.Add(50 * time.Millisecond)
			slow, beside := 1., []Neighbor(nil)
			if i%2 == 0 {
				slow, beside = 1.5, []Neighbor{{"c", 1}, {"b", 1}, {"d", 1}}
			}
			tab.Observe(RunTime, "a", slow, 1, beside, now)
		}
		changes := tab.Update(now)
		if len(changes) != 1 || changes[0].By != "b" {
			t.Fatalf("learned %+v, want the first of the equal images, b", changes)
		}
	}
}
