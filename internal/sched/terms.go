package sched

import (
	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
)

// configure applies a configuration.
func (js *jobState) configure(c *job.Config) {
	js.queue = c.Queues[js.def.Queue]
	if js.queue != nil {
		t := js.queue.Terms()
		js.terms = &t
	}
	if w := c.Workspaces[js.def.Workspace]; w != nil {
		l := w.Limits()
		js.limits = &l
		js.account.Configure(l.Cap)
	}
}

// progressTerms returns the terms that the progress must hold for later terms of
// leadership, or nil.
func (js *jobState) progressTerms() *job.Terms {
	if js.queue != nil || js.terms == nil || js.def.Terms != nil && *js.def.Terms == *js.terms {
		return nil
	}
	return js.terms
}

// hasPolicy reports whether the starts of a job need permits.
func (js *jobState) hasPolicy() bool { return js.terms != nil && js.terms.Permits }

// failures returns how many runs of a task have failed. Those of a gang are counted on
// its first task.
func (t *task) failures() int {
	if t.step.spec.Gang {
		t = t.step.tasks[0]
	}
	return len(t.failed)
}

// failedTooOften reports whether the failed runs of a task make its job fail. They do not
// while the terms of its queue are not known.
func (s *State) failedTooOften(t *task) bool {
	return t.job.terms != nil && t.failures() >= t.job.terms.MaxAttempts
}

// awaitsTerms reports whether a task that has failed is not started again until the terms
// of its queue are known: they may not allow it. As many attempts are taken as allowed as
// any configured queue allows.
func (s *State) awaitsTerms(t *task) bool {
	if t.job.terms != nil || t.step.spec.LongRunning || t.failures() == 0 {
		return false
	}
	limit := 1
	for _, q := range s.cfg.Queues {
		limit = max(limit, q.MaxAttempts)
	}
	return t.failures() >= limit
}

// closeFailed closes the jobs whose terms have just become known and of which a task has
// failed too often by them.
func (s *State) closeFailed(now clock.BootTime) {
	for _, js := range s.termsLearned {
		for _, o := range js.occs {
			for _, st := range o.steps {
				for _, t := range st.tasks {
					if js.open() && !t.done && !st.spec.LongRunning && s.failedTooOften(t) {
						s.close(js, job.Failed, "task "+t.name.String()+" failed too often", now)
					}
				}
			}
		}
	}
	s.termsLearned = nil
}
