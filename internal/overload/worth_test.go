package overload

import (
	"flag"
	"fmt"
	"sync"
	"testing"
)

var seeds = flag.Uint64("seeds", 4, "number of replays of each load of TestReplayWorth")

// outcome is what the callers of replays got, from their first attempt.
type outcome struct {
	inTime, late, tooLate int // tooLate counts from the accepted attempt
	idle                  int // rejections while capacity was idle
	worth                 float64
}

func (o outcome) String() string {
	return fmt.Sprintf("in time %6d, late %5d, worth %8.0f, too late %5d", o.inTime, o.late, o.worth, o.tooLate)
}

// replayOutcome returns the sum of the outcomes of replays of a load.
func replayOutcome(surge map[int]float64, change func(r *replay)) outcome {
	const meanWork = 1.6 * 0.65 * tasks * taskCores
	var (
		sum outcome
		mu  sync.Mutex
		wg  sync.WaitGroup
	)
	for seed := range *seeds {
		wg.Go(func() {
			r := newReplay(seed)
			change(r)
			r.run(surge)
			_, _, tooLate := r.served(accepted)
			mu.Lock()
			defer mu.Unlock()
			sum.tooLate += tooLate
			sum.idle += r.idle
			for _, j := range r.completed {
				worth := min(0.3+0.7*j.Work/meanWork, 4)
				switch t := j.ended - j.first; {
				case t <= j.Objective:
					sum.inTime++
					sum.worth += worth
				case t <= ValueFactor*j.Objective:
					sum.late++
					sum.worth += 0.07 * worth
				}
			}
		})
	}
	wg.Wait()
	return sum
}

// TestReplayWorth guards against rejections that give callers 2% less than accepting
// everything, up to 1.5 times the capacity. Above it, where keeping accepted jobs in time
// costs more, it only logs the worth.
func TestReplayWorth(t *testing.T) {
	for _, c := range []struct {
		surge map[int]float64
		least float64 // worth without repeats, as a share of that without rejections
	}{{map[int]float64{0: 1.2}, 0.98}, {map[int]float64{0: 1.5}, 0.98}, {map[int]float64{0: 2.5}, 0}, {map[int]float64{0: 5}, 0}, {map[int]float64{0: 0.7, 1: 4.3}, 0}, {map[int]float64{0: 2.5, 1: 2.5}, 0}} {
		surge := c.surge
		all := replayOutcome(surge, func(r *replay) { r.noView = true })
		t.Logf("surge %v, no rejections: %v", surge, all)
		for _, repeats := range []int{0, 4} {
			o := replayOutcome(surge, func(r *replay) { r.repeats = repeats })
			t.Logf("surge %v, repeats %d:     %v (%+.1f%%)", surge, repeats, o, 100*(o.worth/all.worth-1))
			if o.idle > 0 {
				t.Errorf("surge %v: %d jobs rejected while capacity was idle", surge, o.idle)
			}
			if repeats == 0 && o.worth < c.least*all.worth {
				t.Errorf("surge %v: worth %.0f, want at least %.2f of %.0f", surge, o.worth, c.least, all.worth)
			}
		}
	}
}
