package sched

import (
	"cmp"
	"slices"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
)

// candidate is an occurrence with tasks to start, and what it is ranked by.
type candidate struct {
	occ           *occurrence
	tier          tier
	priority      int
	deadlineClass deadlineClass
	coreSeconds   float64 // remaining work in core-seconds
}

// candidates returns the occurrences that have tasks to start which fit into
// maxFree, best first.
func (s *State) candidates(jobs []*jobState, maxFree job.Resources, now clock.BootTime) []candidate {
	var cs []candidate
	for _, js := range jobs {
		for _, o := range js.occs {
			if !s.hasStartable(o, maxFree, now) {
				continue
			}
			c := candidate{occ: o, tier: s.tier(js, now)}
			chain, coreSeconds := s.remaining(o, now)
			c.coreSeconds = coreSeconds
			if js.terms != nil {
				c.priority = js.terms.Priority
				c.deadlineClass = s.deadlineClass(js, chain, now)
			}
			cs = append(cs, c)
		}
	}
	slices.SortStableFunc(cs, candidate.compare)
	return cs
}

// compare is negative if a is placed before c.
func (a candidate) compare(c candidate) int {
	return cmp.Or(
		cmp.Compare(a.tier, c.tier),
		cmp.Compare(a.priority, c.priority),
		cmp.Compare(a.deadlineClass, c.deadlineClass),
		cmp.Compare(a.coreSeconds, c.coreSeconds),
	)
}

// deadlineClass is the urgency class of a job.
type deadlineClass int

const (
	timely      deadlineClass = iota // can meet its objective
	late                             // misses its objective; its completion is worth less
	longOverdue                      // no caller waits for it any more
)

// longOverdueFactor is how many times its objective a job may take before its
// completion has no value.
const longOverdueFactor = 3

// deadlineClass returns the class of a job whose remaining chain of tasks takes
// the given time.
func (s *State) deadlineClass(js *jobState, chain time.Duration, now clock.BootTime) deadlineClass {
	if js.terms == nil {
		return timely
	}
	o, t := js.terms.Objective(js.chain), now.Sub(js.acceptedAt)+chain
	switch {
	case t <= o:
		return timely
	case t <= longOverdueFactor*o:
		return late
	}
	return longOverdue
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

// hasStartable reports whether an occurrence has a task to start that fits into
// maxFree.
func (s *State) hasStartable(o *occurrence, maxFree job.Resources, now clock.BootTime) bool {
	for _, st := range o.steps {
		if st.idle == 0 || !st.spec.Demand().Fits(maxFree) || !o.ready(st) || o.job.account != nil && capped(st) {
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
