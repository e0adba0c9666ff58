package sched

// Stats are sizes of the state, for metrics.
type Stats struct {
	Open, Jobs, Runners, Reachable, Runs int
	// Waiting is how many long-running tasks were without a run for a while when
	// they were last logged.
	Waiting int
	// Capped is how many workspaces have waiting work that their cap keeps from starting.
	Capped int
}

// Stats returns the sizes of the state.
func (s *State) Stats() Stats {
	c := Stats{Jobs: len(s.jobs), Runners: len(s.runners), Waiting: s.waiting, Capped: s.ledger.Held()}
	for _, jobs := range s.open {
		c.Open += len(jobs)
	}
	for _, rs := range s.runners {
		c.Runs += len(rs.runs)
		if rs.replied && !rs.unreachable {
			c.Reachable++
		}
	}
	return c
}

// Pending returns the number of open jobs of a queue of which no task is known to
// have begun.
func (s *State) Pending(queue string) int {
	n := 0
	for _, jobs := range s.open {
		for _, js := range jobs {
			if js.def.Queue == queue && !js.begun {
				n++
			}
		}
	}
	return n
}
