package sched

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/interference"
)

const (
	// latencyInterval is the time between two observations of a long-running task, and
	// what the latency that its runner reports covers.
	latencyInterval = 500 * time.Millisecond
	// latencyWeight is the weight of an observation, so that those of a task within the
	// window of the table, which have its load in common, count together as 1.5.
	latencyWeight = 0.25
	// maxPastRuns is how many of the last runs that ended on a runner are remembered,
	// since they were beside those that go on.
	maxPastRuns = 16
	// pairsInterval is the time between two looks for pairs that have become known or
	// have expired.
	pairsInterval = 500 * time.Millisecond
)

// interferences is what is known of interference in a term.
type interferences struct {
	// Together is set if tasks are placed without regard to interference, which is then
	// not observed either.
	Together    bool
	pairs       interference.Table
	pairsAt     clock.BootTime          // when pairs was last updated
	placedApart int                     // placements that interference has changed
	neighbors   []interference.Neighbor // see beside
}

// pastRun is a run that has ended on a runner.
type pastRun struct {
	image    string
	amount   float64
	from, to clock.BootTime
}

// hasImage reports whether interference is observed for a run.
func (s *State) hasImage(r *run) bool {
	im := r.task.step.spec.Image
	return im != "" && len(im) < interference.MaxImage && !s.Together
}

// amount is how much a run disturbs others, relative to full speed.
func (r *run) amount() float64 {
	if r.task.step.spec.BestEffort {
		return float64(min(max(r.percent, 0), 100)) / 100
	}
	return 1
}

// observeRunTime records how long a whole run took, relative to the expected run time, and
// what was beside it.
func (s *State) observeRunTime(r *run, ran time.Duration, now clock.BootTime) {
	st := r.task.step
	expected, _ := s.runTimes.Expect(runTimeKey(st), st.spec.Estimate)
	if !s.hasImage(r) || expected <= 0 {
		return
	}
	s.pairs.Observe(interference.RunTime, st.spec.Image, ran.Seconds()/expected.Seconds(), 1/float64(len(st.tasks)), s.beside(r, r.confirmedAt, now), now)
}

// observeLatency records the tail latency that a runner reports for a run, and what was
// beside it in the time that it covers.
func (s *State) observeLatency(r *run, now clock.BootTime) {
	sp := r.task.step.spec
	if sp.TargetLatency == 0 || r.load <= 0 || r.percent < 100 || r.phase != running || !s.hasImage(r) || now.Sub(r.latencyAt) < latencyInterval {
		return
	}
	r.latencyAt = now
	s.pairs.Observe(interference.Latency, sp.Image, float64(r.load), latencyWeight, s.beside(r, now.Add(-latencyInterval), now), now)
}

// beside returns the images that were beside a run between two times, by name. The result
// is valid until the next call. The amounts are summed in order, since the order of a map
// would change the sums, and with them decisions, from replay to replay.
func (s *State) beside(r *run, from, to clock.BootTime) []interference.Neighbor {
	s.neighbors = s.neighbors[:0]
	add := func(image string, amount float64, begin, end clock.BootTime) {
		d := min(end, to).Sub(max(begin, from))
		if d <= 0 || amount == 0 {
			return
		}
		s.neighbors = append(s.neighbors, interference.Neighbor{Image: image, Amount: amount * float64(d) / float64(to.Sub(from))})
	}
	for _, x := range r.runner.runs {
		if x != r && x.confirmedAt != 0 && s.hasImage(x) {
			add(x.task.step.spec.Image, x.amount(), x.confirmedAt, to)
		}
	}
	for _, p := range r.runner.past {
		add(p.image, p.amount, p.from, p.to)
	}
	slices.SortFunc(s.neighbors, func(a, b interference.Neighbor) int {
		return cmp.Or(cmp.Compare(a.Image, b.Image), cmp.Compare(a.Amount, b.Amount))
	})
	n := 0
	for _, nb := range s.neighbors {
		if n > 0 && s.neighbors[n-1].Image == nb.Image {
			s.neighbors[n-1].Amount = min(s.neighbors[n-1].Amount+nb.Amount, 1)
			continue
		}
		s.neighbors[n] = nb
		n++
	}
	s.neighbors = s.neighbors[:n]
	return s.neighbors
}

// recordPast records a run that has ended.
func (s *State) recordPast(r *run, now clock.BootTime) {
	if !s.hasImage(r) || r.confirmedAt == 0 {
		return
	}
	rs := r.runner
	p := pastRun{image: r.task.step.spec.Image, amount: r.amount(), from: r.confirmedAt, to: now}
	if len(rs.past) < maxPastRuns {
		rs.past = append(rs.past, p)
		return
	}
	rs.past[rs.nextPast] = p
	rs.nextPast = (rs.nextPast + 1) % maxPastRuns
}

// countImage adds d to the number of runs of an image.
func (rs *runnerState) countImage(image string, d int) {
	if image == "" {
		return
	}
	if rs.images == nil {
		rs.images = make(map[string]int)
	}
	if rs.images[image] += d; rs.images[image] == 0 {
		delete(rs.images, image)
	}
}

// disturbance returns how much a task and the runs on a runner slow each other down, in
// thousandths of the logarithm of a factor, given the effects of its image.
func (rs *runnerState) disturbance(effects map[string]float64) int {
	sum := 0.
	for image, effect := range effects {
		if rs.images[image] > 0 {
			sum += effect
		}
	}
	return int(math.Round(1000 * sum))
}

// effects returns the effects that images and that of a task have on each other.
func (s *State) effects(t *task) map[string]float64 {
	if s.Together {
		return nil
	}
	return s.pairs.Effects(t.step.spec.Image)
}

// updatePairs looks for pairs of images that have become known or have expired.
func (s *State) updatePairs(now clock.BootTime) {
	if s.Together || now.Sub(s.pairsAt) < pairsInterval {
		return
	}
	s.pairsAt = now
	for _, c := range s.pairs.Update(now) {
		kv := []any{"msg", "interference learned", "image", c.Image, "by", c.By, "kind", c.Kind, "factor", c.Factor, "error", c.Error, "observed", c.Observed, "pairs", s.pairs.Known()}
		if c.Expired != "" {
			kv[1] = "interference expired"
			kv = append(kv, "why", c.Expired)
		}
		s.Logger.Log(kv...)
	}
}

// logApart records a start on a runner that was chosen in place of another because of
// interference.
func (s *State) logApart(t *task, rs, other *runnerState) {
	s.placedApart++
	s.Logger.Log("msg", "placement changed by interference", "task", t.name, "image", t.step.spec.Image, "runner", rs.ID, "instead", other.ID,
		"disturbance", rs.disturbance(s.effects(t)), "there", other.disturbance(s.effects(t)))
}
