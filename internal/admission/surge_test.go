package admission_test

import (
	"flag"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/pkg/text"
)

// Targets of docs/design.md, section 2.
const (
	minGoodputKept = 0.95
	maxP99         = 1.5
	maxWasted      = 0.01
	minLent        = 0.95
)

var policies = []struct {
	name  string
	build func(shape) policy
}{{"fair", newFair}, {"single", newSingle}, {"fixed", newFixed}}

// classResult compares one class during the surge of another one with the same
// traffic without surges.
type classResult struct {
	calm, surged        int // requests answered within the deadline
	calmTime, surgeTime []time.Duration
}

func (r *classResult) goodputKept() float64 { return float64(r.surged) / float64(r.calm) }
func (r *classResult) p99() float64         { return p99(r.surgeTime).Seconds() / p99(r.calmTime).Seconds() }

func p99(d []time.Duration) time.Duration {
	slices.Sort(d)
	return d[len(d)*99/100]
}

// tally holds the sums over the replays of one policy.
type tally struct {
	result
	classResults            [text.Classes][text.Classes]classResult // by surging and other class
	arrived, early, dropped int
}

// add replays one shape with and without surges.
func (t *tally) add(s shape, build func(shape) policy) {
	calm, surging := trace(s, false), trace(s, true)
	replay(s, build(s), calm)
	r := replay(s, build(s), surging)
	t.result = r
	t.visitAnswered(calm, func(k *classResult, q *request, onTime int) {
		k.calm += onTime
		k.calmTime = append(k.calmTime, q.done-q.at)
	})
	t.visitAnswered(surging, func(k *classResult, q *request, onTime int) {
		k.surged += onTime
		k.surgeTime = append(k.surgeTime, q.done-q.at)
	})
	for i := range surging {
		t.arrived++
		switch surging[i].state {
		case early:
			t.early++
		case dropped:
			t.dropped++
		case pending, started:
			panic("request neither answered, rejected nor cancelled at the end of the replay")
		}
	}
}

// merge adds the sums of another tally.
func (t *tally) merge(o *tally) {
	t.rejections += o.rejections
	t.runs += o.runs
	t.late += o.late
	for c := range t.lent {
		t.lent[c] += o.lent[c]
		t.usable[c] += o.usable[c]
		for d := range t.classResults[c] {
			k, p := &t.classResults[c][d], &o.classResults[c][d]
			k.calm += p.calm
			k.surged += p.surged
			k.calmTime = append(k.calmTime, p.calmTime...)
			k.surgeTime = append(k.surgeTime, p.surgeTime...)
		}
	}
	t.arrived += o.arrived
	t.early += o.early
	t.dropped += o.dropped
}

// visitAnswered visits the answered requests that arrived during a surge of
// another class or within 1 s after it.
func (t *tally) visitAnswered(reqs []request, visit func(k *classResult, q *request, onTime int)) {
	for i := range reqs {
		q := &reqs[i]
		for _, g := range surges {
			if q.state != answered || q.class == g.class || q.at < g.at || q.at > g.at+surgeTime+time.Second {
				continue
			}
			onTime := 0
			if q.done <= q.deadline {
				onTime = 1
			}
			visit(&t.classResults[g.class][q.class], q, onTime)
		}
	}
}

func (t *tally) wasted() float64 { return float64(t.late) / float64(t.runs) }

// String returns a table row: for each surge, the fraction of goodput kept and
// the p99 ratio of each other class; for each surge, the fraction of lent
// capacity used; then the fraction of wasted runs, the fractions of requests
// rejected on arrival and dropped later, and the rejections by runners per run.
func (t *tally) String() string {
	var b strings.Builder
	for _, g := range surges {
		for c := range text.Class(text.Classes) {
			if k := &t.classResults[g.class][c]; c != g.class {
				fmt.Fprintf(&b, "| %.3f %.2f ", k.goodputKept(), k.p99())
			}
		}
	}
	for _, g := range surges {
		fmt.Fprintf(&b, "| %.3f ", t.lent[g.class]/t.usable[g.class])
	}
	fmt.Fprintf(&b, "| %.4f | %.3f | %.3f | %.3f |", t.wasted(),
		float64(t.early)/float64(t.arrived), float64(t.dropped)/float64(t.arrived), float64(t.rejections)/float64(t.runs))
	return b.String()
}

// shapes returns the zones of both users: 3 or 4 runners, 2 or 3 daemons. The
// declared run time is 4 times too short with even seeds and 4 times too long
// with odd ones.
func shapes(seeds uint64, heavy, skewed bool) (all []shape) {
	for _, runners := range []int{3, 4} {
		for _, traffic := range [][]float64{{0.65, 0.35}, {0.5, 0.3, 0.2}} {
			for seed := range seeds {
				all = append(all, shape{runners, traffic, skewed, heavy, []float64{0.25, 4}[seed%2], seed})
			}
		}
	}
	return all
}

// seeds is the number of seeds for each zone shape.
var seeds = flag.Uint64("seeds", 2, "seeds of each zone shape in TestSurge")

// Checks the targets for surges of one class. The baseline policies are logged for
// comparison only.
func TestSurge(t *testing.T) {
	for _, heavy := range []bool{false, true} {
		for _, skewed := range []bool{false, true} {
			for _, p := range policies {
				sum := measure(shapes(*seeds, heavy, skewed), p.build)
				t.Logf("heavy=%-5v skewed=%-5v %-6s %v", heavy, skewed, p.name, sum)
				if p.name == "fair" {
					check(t, sum)
				}
			}
		}
	}
}

// measure replays the shapes in parallel and returns the sum of the tallies, merged
// in a fixed order.
func measure(shapes []shape, build func(shape) policy) *tally {
	var wg sync.WaitGroup
	parts := slices.Repeat([]tally{{}}, len(shapes))
	free := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i, s := range shapes {
		wg.Go(func() {
			free <- struct{}{}
			parts[i].add(s, build)
			<-free
		})
	}
	wg.Wait()
	sum := parts[0]
	for i := range parts[1:] {
		sum.merge(&parts[i+1])
	}
	return &sum
}

func check(t *testing.T, sum *tally) {
	for _, g := range surges {
		for c := range text.Class(text.Classes) {
			k := &sum.classResults[g.class][c]
			if c == g.class {
				continue
			}
			if k.goodputKept() < minGoodputKept {
				t.Errorf("%v keeps %.3f of its goodput during a surge of %v", c, k.goodputKept(), g.class)
			}
			if k.p99() > maxP99 {
				t.Errorf("p99 of %v is %.2f times that without a surge during a surge of %v", c, k.p99(), g.class)
			}
		}
	}
	if sum.wasted() >= maxWasted {
		t.Errorf("fraction of wasted runs is %.4f", sum.wasted())
	}
	for _, g := range surges {
		if used := sum.lent[g.class] / sum.usable[g.class]; used < minLent {
			t.Errorf("fraction of lent capacity used by %v is %.3f", g.class, used)
		}
	}
}
