package sched

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/interference"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// colocated is a replay of jobs of 4 tasks on 10 runners with room for 10 each. The images
// a and b are those of half of the jobs; twenty others are harmless.
type colocated struct {
	*replay
	rng   *rand.Rand
	slow  float64 // how many times as long a and b take beside each other
	lines []string
	most  int // runs at once
	// beside are the passes of runs of the pair in which it was together, of all of them.
	beside, all float64
}

func newColocated(t *testing.T, seed uint64) *colocated {
	f := &colocated{replay: newReplay(t, 10, 1), rng: rand.New(rand.NewPCG(seed, 3)), slow: 1.5}
	f.s.Logger = log.LoggerFunc(func(kv ...any) error {
		if msg := fmt.Sprint(kv[1]); strings.HasPrefix(msg, "interference") {
			f.lines = append(f.lines, fmt.Sprintf("%v %v beside %v", msg, kv[3], kv[5]))
		}
		return nil
	})
	f.work = func(job.Task) float64 {
		if w := 0.6 * (0.8 + 0.4*f.rng.Float64()); f.rng.Float64() >= 0.03 {
			return w
		}
		return 7 * 0.6
	}
	image := func(t job.Task) string { return f.s.jobs[t.Job].def.Steps[0].Image }
	f.speed = func(t job.Task, on map[job.Task]float64) float64 {
		other := map[string]string{"a": "b", "b": "a"}[image(t)]
		if other == "" {
			return 1
		}
		f.all++
		for x := range on {
			if image(x) == other {
				f.beside++
				return 1 / f.slow
			}
		}
		return 1
	}
	return f
}

// run replays a time with jobs that arrive at a rate per second, and returns the log lines
// and the share of the time of runs of the pair in which it was together.
func (f *colocated) run(d time.Duration, rate float64) (lines []string, beside float64) {
	f.lines, f.beside, f.all, f.most = nil, 0, 0, 0
	for end := f.now.Add(d); f.now < end; {
		if f.rng.Float64() < rate*fullPlanInterval.Seconds() {
			image := fmt.Sprint("other", f.rng.IntN(20))
			if f.rng.IntN(2) == 0 {
				image = []string{"a", "b"}[f.rng.IntN(2)]
			}
			f.job(len(f.s.jobs)+1, job.Step{Count: 4, Image: image, Resources: job.Resources{CPU: 3100, Mem: 100}, Estimate: 600 * time.Millisecond})
		}
		f.most = max(f.most, f.pass())
	}
	return f.lines, f.beside / max(f.all, 1)
}

// TestInterference guards against a pair of images that is not found or not kept apart, a
// harmless one that is, capacity that is left idle to keep images apart, and a pair that
// is kept apart after it has changed.
func TestInterference(t *testing.T) {
	for seed := range uint64(3) {
		f := newColocated(t, seed)
		f.s.Together = true
		off, together := f.run(20*time.Second, 15)
		f.s.Together = false
		learned, _ := f.run(10*time.Second, 15)
		_, apart := f.run(8*time.Second, 15)
		_, full := f.run(8*time.Second, 40)
		t.Logf("seed %d: pair together for %.2f of its time before it was known, %.2f afterwards, %.2f at full capacity; %q", seed, together, apart, full, learned)
		if len(off) > 0 {
			t.Errorf("seed %d: log lines %q while it was turned off", seed, off)
		}
		slices.Sort(learned)
		if want := []string{"interference learned a beside b", "interference learned b beside a"}; !slices.Equal(learned, want) {
			t.Errorf("seed %d: log lines %q, want %q", seed, learned, want)
		}
		if together < 0.25 || apart > 0.05 || full < 0.25 || f.most < 100 {
			t.Errorf("seed %d: up to %d runs, want the pair together at first, apart once known, and together with all 100 slots in use", seed, f.most)
		}
		f.slow = 1
		lines, _ := f.run(60*time.Second, 15)
		if f.s.Stats().KnownPairs != 0 || !slices.Contains(lines, "interference expired a beside b") {
			t.Errorf("seed %d: %d pairs known a minute after they have changed, log lines %q", seed, f.s.Stats().KnownPairs, lines)
		}
	}
}

// TestBeside guards against an effect that is attributed to a task which ended before, to
// one that is throttled as if it ran at full speed, or to the task itself.
func TestBeside(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a")
	id := f.job(1, job.Step{Image: "served", LongRunning: true, TargetLatency: time.Second})
	f.job(2, job.Step{Image: "best-effort", BestEffort: true}, job.Step{Image: "short"})
	f.accept(f.plan())
	f.now += second
	for _, r := range f.s.runners["a"].runs {
		r.percent = 40
	}
	short := job.Task{Job: "0000000000000002", Step: 1}
	f.end("a", short, 1, runner.Done)
	f.s.applyResults(f.s.runners["a"], f.results["a"], f.now)
	f.now += second / 4
	for from, want := range map[clock.BootTime]map[string]float64{
		f.now - second/2: {"best-effort": 0.4, "short": 0.5},
		f.now - second/8: {"best-effort": 0.4},
	} {
		got := make(map[string]float64)
		for _, nb := range f.s.beside(f.s.jobs[id].occs[0].steps[0].tasks[0].runs[0], from, f.now) {
			got[nb.Image] = nb.Amount
		}
		if !maps.Equal(got, want) {
			t.Errorf("%v beside the task in the last %v, want %v", got, f.now.Sub(from), want)
		}
	}
}

// TestApartYields guards against interference that takes precedence over data locality, or
// keeps a task from running where there is no other room.
func TestApartYields(t *testing.T) {
	for name, c := range map[string]struct {
		rack  string // of the data; that of the runner with the other image is near
		full  bool   // the other runner
		start runner.ID
	}{
		"apart": {start: "b"}, "data": {rack: "near", start: "a"}, "no room": {full: true, start: "a"},
	} {
		f := newFixture(t, 1)
		f.runner("a", "b")
		f.s.runners["a"].Rack = "near"
		for i := range 40 {
			beside := []interference.Neighbor{{Image: "other", Amount: float64(i % 2)}}
			f.s.pairs.Observe(interference.RunTime, "task", 1+float64(i%2), 1, beside, f.now)
		}
		f.job(1, job.Step{Image: "other", Rack: "near"})
		f.accept(f.plan())
		if c.full {
			f.s.runners["b"].Capacity = job.Resources{}
		}
		f.now += second
		f.job(2, job.Step{Image: "task", Rack: c.rack})
		if starts := ofKind(f.plan(), StartRun); len(starts) != 1 || starts[0].To.ID != c.start || f.s.Stats().KnownPairs != 1 {
			t.Errorf("%s: starts %v with %d known pairs, want one on %s", name, starts, f.s.Stats().KnownPairs, c.start)
		}
	}
}
