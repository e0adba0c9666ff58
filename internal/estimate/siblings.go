package estimate

import (
	"math"
	"slices"
	"time"
)

const (
	// maxSiblings bounds the tasks of a step that are recorded.
	maxSiblings = 64
	// minSiblings is how many tasks of a step must have ended, or run longer than
	// expected, to change what is expected of the others. One in thirty tasks takes many
	// times as long as the others.
	minSiblings = 2
	// priorWeight is the weight of a learned run time beside that of the siblings, of
	// which each has 1. Those that end first are the shortest.
	priorWeight = 2
)

// Siblings are the run times of tasks of one step. The zero value has none.
type Siblings struct {
	ran        []time.Duration // sorted
	deviations time.Duration   // sum
	observed   bool
}

// Add records the run time of a task that has ended, which is known to within the given
// deviation.
func (s *Siblings) Add(ran, deviation time.Duration) {
	if len(s.ran) >= maxSiblings {
		return
	}
	i, _ := slices.BinarySearch(s.ran, ran)
	s.ran = slices.Insert(s.ran, i, ran)
	s.deviations += deviation
}

// Complete reports, once, whether most of the n tasks of the step have been recorded:
// three quarters, since waiting for the last ones would delay every fifth step of eight
// tasks by several run times.
func (s *Siblings) Complete(n int) bool {
	if s.observed || len(s.ran) < min((3*n+3)/4, maxSiblings) {
		return false
	}
	s.observed = true
	return true
}

// Refine returns the run time to expect of a task of a step of n tasks, given what was
// expected so far and whether that was learned. Overdue are the times for which tasks
// that run longer than that have run: they need at least that time. A declared estimate
// that the others show to be right within half is returned unchanged.
func (s *Siblings) Refine(expected time.Duration, learned bool, n int, overdue []time.Duration) time.Duration {
	ran, seen := s.median(overdue)
	switch {
	case seen < min(n, minSiblings):
		return expected
	case right(expected, ran, s.deviation()) && !learned:
		return expected
	case !learned || !right(expected, ran, s.deviation()):
		return ran
	}
	w := float64(seen)
	return seconds(math.Exp((priorWeight*math.Log(expected.Seconds()) + w*math.Log(ran.Seconds())) / (priorWeight + w)))
}

// typical returns the median run time of a step of n tasks of which most have ended, and
// 0 if none has. Those that end first are the shortest: the median of six out of eight
// would be too low by 7% if tasks differ by 20%.
func (s *Siblings) typical(n int) time.Duration {
	if len(s.ran) == 0 {
		return 0
	}
	return s.ran[min((n-1)/2, len(s.ran)-1)]
}

// deviation returns to within how much the run times are known.
func (s *Siblings) deviation() time.Duration {
	return s.deviations / time.Duration(max(len(s.ran), 1))
}

// median returns the lower median of the run times, with those of overdue tasks, and
// their number.
func (s *Siblings) median(overdue []time.Duration) (ran time.Duration, n int) {
	all := s.ran
	if len(overdue) > 0 {
		all = slices.Concat(s.ran, overdue)
		slices.Sort(all)
	}
	if len(all) == 0 {
		return 0, 0
	}
	return all[(len(all)-1)/2], len(all)
}
