package sched

import (
	"slices"

	"github.com/pkg/errors"
)

// checkIndexes compares what the state keeps incrementally with the same figures
// computed from scratch. A difference would leave a task unstarted, a runner
// unused or progress unstored.
func checkIndexes(s *State) error {
	for _, js := range s.jobs {
		if js.dirty != slices.Contains(s.dirty, js) || js.dirty != (js.storedVersion != js.version) {
			return errors.Errorf("job %s: dirty %t, version %d, stored %d", js.def.ID, js.dirty, js.version, js.storedVersion)
		}
		for _, o := range js.occs {
			for _, st := range o.steps {
				idle, done := 0, 0
				for _, t := range st.tasks {
					if t.done {
						done++
					} else if !t.live() {
						idle++
					}
				}
				if idle != st.idle || done != st.done {
					return errors.Errorf("step %d of job %s: %d idle and %d done, recorded %d and %d", st.index, js.def.ID, idle, done, st.idle, st.done)
				}
			}
		}
	}
	n := 0
	for pool, l := range s.byPool {
		for i, rs := range l {
			if s.runners[rs.ID] != rs || rs.Service != pool || i > 0 && l[i-1].ID >= rs.ID {
				return errors.Errorf("runner %s is listed in pool %s at %d", rs.ID, pool, i)
			}
			n++
		}
	}
	if n != len(s.runners) {
		return errors.Errorf("%d runners listed in pools, %d known", n, len(s.runners))
	}
	return nil
}
