package admission_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/pkg/text"
)

// Guards against lent slots that are not returned. Requests of one class at one
// daemon occupy all slots when requests of a second class arrive at another
// daemon. After the maximum age of a report and one mean run time, the second
// class must have 90% of its share, on average over the seeds.
func TestLentSlotsReturn(t *testing.T) {
	const start, seeds = 3 * time.Second, 10
	for _, pair := range [][2]text.Class{
		{text.Background, text.Urgent}, {text.Background, text.Normal}, {text.Urgent, text.Background}, {text.Normal, text.Urgent},
	} {
		holder, owner := pair[0], pair[1]
		at := start + reportInterval + reportDelay + runMean[holder]
		running := 0
		for seed := range uint64(seeds) {
			s := shape{runners: 3, traffic: []float64{0.5, 0.5}, declared: 1, seed: seed}
			reqs := append(overload(s, holder, 0, 0), overload(s, owner, 1, start)...)
			slices.SortStableFunc(reqs, func(a, b request) int { return int(a.at - b.at) })
			replay(s, newFair(s), reqs)
			for _, q := range reqs {
				if q.class == owner && q.state == answered && q.done > at && q.done-q.run <= at {
					running++
				}
			}
		}
		share := float64(slotsPerRunner*3*shares[owner]) / float64(shares[owner]+shares[holder])
		got := float64(running) / seeds
		t.Logf("%v runs on %.1f of its %.1f slots after %v occupied all", owner, got, share, holder)
		if got < 0.9*share {
			t.Errorf("%v runs on %.1f of its %.1f slots after %v occupied all", owner, got, share, holder)
		}
	}
}

// divisionRange records the smallest and largest number of slots that the first
// daemon had.
type divisionRange struct {
	*fair
	least, most int
}

func (r *divisionRange) receiveReport(z *zone, to, from int, demand [text.Classes]int) {
	r.fair.receiveReport(z, to, from, demand)
	if z.now > time.Second && z.now < 5*time.Second {
		r.least, r.most = min(r.least, r.daemons[0].Slots), max(r.most, r.daemons[0].Slots)
	}
}

// Guards against slots that oscillate between two daemons because their reports
// are 100 to 200 ms old. Both daemons have more demand than the pool has slots;
// the slots of each must stay within a quarter of its half.
func TestDivisionStable(t *testing.T) {
	for seed := range uint64(10) {
		s := shape{runners: 3, traffic: []float64{0.5, 0.5}, declared: 1, seed: seed}
		reqs := append(overload(s, text.Normal, 0, 0), overload(s, text.Normal, 1, 0)...)
		slices.SortStableFunc(reqs, func(a, b request) int { return int(a.at - b.at) })
		w := &divisionRange{newFair(s).(*fair), 100, 0}
		replay(s, w, reqs)
		if w.least < 9 || w.most > 15 {
			t.Errorf("seed %d: slots of the first daemon range from %d to %d of 24", seed, w.least, w.most)
		}
	}
}

// overload returns requests at one daemon at three times the rate that the pool
// can serve.
func overload(s shape, c text.Class, daemon int, from time.Duration) (all []request) {
	r := rand.New(rand.NewPCG(s.seed, uint64(c)+uint64(daemon)<<8))
	gap := runMean[c].Seconds() / float64(s.slots()) / 3
	for at := from.Seconds(); at < 5; at += r.ExpFloat64() * gap {
		q := request{at: seconds(at), class: c, daemon: daemon, run: s.runTime(r, c)}
		q.deadline = q.at + deadlineFactor*runMean[c]
		all = append(all, q)
	}
	return all
}
