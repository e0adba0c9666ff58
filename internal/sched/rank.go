package sched

import (
	"cmp"
	"slices"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
)

// bid is an occurrence that waits for room, with its rank.
type bid struct {
	occ      *occurrence
	lasting  bool
	priority int
	prospect prospect
	cores    float64 // work that remains, in core-seconds
}

// bids returns the occurrences that have tasks to start, best first.
func (s *State) bids(ws []*work, now clock.BootTime) []bid {
	var bs []bid
	for _, w := range ws {
		q := s.queue(w)
		for _, o := range w.occs {
			if !s.wants(o, now) {
				continue
			}
			b := bid{occ: o, lasting: w.job.LongRunning()}
			chain, cores := o.remaining()
			b.cores = cores
			if q != nil {
				b.priority = q.Priority
				b.prospect = s.prospect(w, chain, now)
			}
			bs = append(bs, b)
		}
	}
	slices.SortStableFunc(bs, func(a, b bid) int {
		return cmp.Or(
			-compareBool(a.lasting, b.lasting),
			cmp.Compare(a.priority, b.priority),
			cmp.Compare(a.prospect, b.prospect),
			cmp.Compare(a.cores, b.cores),
		)
	})
	return bs
}

// prospect is what the completion of a job can still be worth.
type prospect int

const (
	timely prospect = iota // it can meet its objective
	late                   // it is worth less
	lost                   // nobody waits for it any more
)

// lostFactor is how many times its objective a job may take before its
// completion is worth nothing.
const lostFactor = 3

// prospect judges a job with the given chain left.
func (s *State) prospect(w *work, chain time.Duration, now clock.BootTime) prospect {
	q := s.queue(w)
	if q == nil {
		return timely
	}
	o, t := q.Objective(w.chain), now.Sub(w.arrived)+chain
	switch {
	case t <= o:
		return timely
	case t <= lostFactor*o:
		return late
	}
	return lost
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// wants tells whether an occurrence has a task to start.
func (s *State) wants(o *occurrence, now clock.BootTime) bool {
	for _, st := range o.steps {
		if st.complete() || !o.ready(st) {
			continue
		}
		for _, t := range st.tasks {
			if s.startable(t, now) {
				return true
			}
		}
	}
	return false
}
