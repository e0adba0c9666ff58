package sched

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// colocated is a replay of jobs of 4 tasks on 10 runners with room for 10 each. The images
// a and b are those of half of the jobs; twenty others are harmless.
type colocated struct {
	*fixture
	rng   *rand.Rand
	left  map[runner.ID]map[job.Task]float64 // seconds of work that the runs need
	jobs  int
	slow  float64 // how many times as long a and b take beside each other
	lines []string
	// beside are the passes in which a run of a had b beside it, of all of its passes.
	beside, passes int
	most           int // runs at once
}

func newColocated(t *testing.T, seed uint64) *colocated {
	f := &colocated{fixture: newFixture(t, 1), rng: rand.New(rand.NewPCG(seed, 3)), slow: 1.5, left: make(map[runner.ID]map[job.Task]float64)}
	f.s.Logger = log.LoggerFunc(func(kv ...any) error {
		if msg := fmt.Sprint(kv[1]); strings.HasPrefix(msg, "interference") {
			f.lines = append(f.lines, fmt.Sprintf("%v %v beside %v", msg, kv[3], kv[5]))
		}
		return nil
	})
	for i := range 10 {
		in := info(runner.ID(fmt.Sprint("r", i)), "pool")
		in.Capacity = job.Resources{CPU: 32000, Mem: 64000}
		f.s.SetRunner(in, f.now)
		f.left[in.ID] = make(map[job.Task]float64)
		f.report(in.ID)
	}
	f.s.RosterStored(f.s.Roster(f.now, false))
	return f
}

func (f *colocated) image(t job.Task) string { return f.s.jobs[t.Job].def.Steps[0].Image }

// run replays a time with jobs that arrive at a rate per second, and returns the log lines
// and the share of the time of a that it had b beside it.
func (f *colocated) run(d time.Duration, rate float64) (lines []string, beside float64) {
	f.lines, f.beside, f.passes, f.most = nil, 0, 0, 0
	for end := f.now.Add(d); f.now < end; {
		if f.rng.Float64() < rate*fullPlanInterval.Seconds() {
			image := fmt.Sprint("other", f.rng.IntN(20))
			if f.rng.IntN(2) == 0 {
				image = []string{"a", "b"}[f.rng.IntN(2)]
			}
			f.jobs++
			f.job(f.jobs, job.Step{Count: 4, Image: image, Resources: job.Resources{CPU: 3100, Mem: 100}, Estimate: 600 * time.Millisecond})
		}
		for _, c := range f.plan() {
			f.left[c.To.ID][c.Task] = 0.6 * (0.8 + 0.4*f.rng.Float64())
			if f.rng.Float64() < 0.03 {
				f.left[c.To.ID][c.Task] *= 7
			}
			f.accept([]Command{c})
		}
		f.work()
		f.flush()
	}
	return f.lines, float64(f.beside) / float64(max(f.passes, 1))
}

// work lets the runs go on until the next pass.
func (f *colocated) work() {
	total := 0
	for i := range 10 {
		id := runner.ID(fmt.Sprint("r", i))
		here := make(map[string]bool)
		for t := range f.left[id] {
			here[f.image(t)] = true
		}
		var runs []runner.Run
		f.results[id] = slices.DeleteFunc(f.results[id], func(r runner.RunResult) bool { return r.Seq <= f.s.runners[id].acked })
		for _, t := range sortedTasks(f.left[id]) {
			speed := 1.
			if im := f.image(t); im == "a" && here["b"] || im == "b" && here["a"] {
				speed /= f.slow
			}
			if f.image(t) == "a" {
				f.passes++
				if here["b"] {
					f.beside++
				}
			}
			f.left[id][t] -= speed * fullPlanInterval.Seconds()
			if f.left[id][t] <= 0 {
				f.results[id] = append(f.results[id], runner.RunResult{Seq: f.s.runners[id].applied + 1 + len(f.results[id]), Task: t, Attempt: 1})
				delete(f.left[id], t)
				continue
			}
			total++
			runs = append(runs, runner.Run{Task: t, Attempt: 1, Percent: 100})
		}
		f.report(id, runs...)
		f.results[id] = nil
	}
	f.most = max(f.most, total)
}

// TestInterference guards against a pair of images that is not found or not kept apart, a
// harmless one that is, capacity that is left idle to keep images apart, and a pair that
// is kept apart after it has changed.
func TestInterference(t *testing.T) {
	for seed := range uint64(3) {
		f := newColocated(t, seed)
		f.s.Together = true
		_, together := f.run(20*time.Second, 15)
		f.s.Together = false
		learned, _ := f.run(10*time.Second, 15)
		_, apart := f.run(8*time.Second, 15)
		_, full := f.run(8*time.Second, 40)
		t.Logf("seed %d: a beside b for %.2f of its time together, %.2f apart, %.2f at full capacity; %q", seed, together, apart, full, learned)
		slices.Sort(learned)
		if want := []string{"interference learned a beside b", "interference learned b beside a"}; !slices.Equal(learned, want) {
			t.Errorf("seed %d: log lines %q, want %q", seed, learned, want)
		}
		if together < 0.25 || apart > 0.05 {
			t.Errorf("seed %d: a had b beside it for %.2f of its time while the pair was not known, and for %.2f afterwards", seed, together, apart)
		}
		if full < 0.25 || f.most < 100 {
			t.Errorf("seed %d: a had b beside it for %.2f of its time, with up to %d runs, want both together and all 100 slots in use", seed, full, f.most)
		}
		f.slow = 1
		lines, _ := f.run(60*time.Second, 15)
		if f.s.Stats().KnownPairs != 0 || !slices.Contains(lines, "interference expired a beside b") {
			t.Errorf("seed %d: %d pairs known a minute after they have changed, log lines %q", seed, f.s.Stats().KnownPairs, lines)
		}
	}
}
