package soak

import (
	"slices"
	"time"
)

// maxExplainedJobs is the maximum number of jobs with violated guarantees whose
// log lines are printed.
const maxExplainedJobs = 6

// explain prints, in order of time, the log lines of the daemons about terms,
// unreachable runners and jobs with violated guarantees.
func (r *rig) explain() {
	r.ledger.mu.Lock()
	jobs := r.ledger.violatedJobs[:min(len(r.ledger.violatedJobs), maxExplainedJobs)]
	lines := slices.Clone(r.ledger.events)
	r.ledger.mu.Unlock()
	for _, d := range r.daemons {
		lines = append(lines, d.logLines("msg=\"term ")...)
		lines = append(lines, d.logLines("msg=\"runner unreachable\"")...)
		lines = append(lines, d.logLines("msg=\"runner re")...)
		lines = append(lines, d.logLines("msg=\"runner deregistered\"")...)
		for _, id := range jobs {
			lines = append(lines, d.logLines(string(id))...)
		}
	}
	slices.Sort(lines)
	for _, line := range lines {
		r.t.Log(line)
	}
}

// awaitOutcomes waits, without faults, until every accepted job has an outcome.
func (r *rig) awaitOutcomes(seed uint64) {
	c := newCaller(seed, r.ledger, r.daemons)
	defer c.client.CloseIdleConnections()
	deadline := time.Now().Add(settleTimeout)
	ids := r.ledger.unfinished()
	for len(ids) > 0 && time.Now().Before(deadline) {
		for _, id := range ids {
			c.state(r.ctx, id)
		}
		sleep(r.ctx, 200*time.Millisecond)
		ids = r.ledger.unfinished()
	}
	for _, id := range ids {
		r.ledger.mu.Lock()
		r.ledger.violation(id, "job %s was accepted, but has no outcome", id)
		r.ledger.mu.Unlock()
	}
}
