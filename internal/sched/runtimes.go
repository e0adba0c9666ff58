package sched

import (
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/estimate"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

const (
	// remainingAge is how old the remaining work of an occurrence may be while its
	// tasks run or learned run times have changed. A task that ends makes it outdated
	// at once.
	remainingAge = 250 * time.Millisecond
	// chainAge is the least time between two changes of the chain that the objective of
	// a job is computed from, and chainChange the least relative change. Otherwise a job
	// would change its deadline class from pass to pass.
	chainAge    = time.Second
	chainChange = 0.25
	// promptReply is how long a poll takes that does not wait for a result. The results
	// that it returns may have been there before it was sent.
	promptReply = 60 * time.Millisecond
	// maxOverdue bounds the running tasks of a step that are looked at.
	maxOverdue = 64
)

// learnRunTime records the run time of a run of which a result is being applied, if it
// is evidence of how long the tasks of its step run.
func (s *State) learnRunTime(r *run, res *runner.RunResult, now clock.BootTime) {
	st := r.task.step
	if res.Cause != runner.Done || r.attempt != res.Attempt || r.phase != running || r.task.done || !r.isWhole() {
		return
	}
	// The run ended between endedFrom and now.
	deviation := now.Sub(max(r.runner.endedFrom, r.confirmedAt)) / 2
	ran := now.Sub(r.confirmedAt) - deviation
	if ran < 2*deviation {
		return // not known to within half
	}
	s.observeRunTime(r, ran, now)
	st.siblings.Add(ran, deviation)
	if !st.siblings.Complete(len(st.tasks)) {
		return
	}
	if c := s.runTimes.Observe(runTimeKey(st), st.spec.Estimate, &st.siblings, len(st.tasks)); c != nil {
		msg := "declared estimates proved right again, used from now on"
		if c.Wrong {
			msg = "declared estimates proved wrong, learned run times used from now on"
		}
		s.Logger.Log("msg", msg, "queue", c.Key.Queue, "step", c.Key.Step, "image", c.Key.Image, "steps", c.Steps,
			"typical", c.Ran.Round(time.Millisecond), "declared", st.spec.Estimate, "declared_error", c.Declared, "learned_error", c.Learned)
	}
}

// isWhole reports whether a run shows, from its start on, how long its task takes where
// it should run.
func (r *run) isWhole() bool {
	sp := r.task.step.spec
	switch {
	case sp.LongRunning || sp.BestEffort:
		return false // the latter take as long as others let them
	case !r.startSeen || r.startUnknown || r.resumed:
		return false
	case sp.Rack != "" && r.runner.Rack != sp.Rack:
		return false
	}
	return !sp.SameRack || r.task.step.inRack(r.runner.Rack)
}

// inRack reports whether all runs of a step are in a rack.
func (s *step) inRack(rack string) bool {
	for _, t := range s.tasks {
		for _, r := range t.runs {
			if r.runner.Rack != rack {
				return false
			}
		}
	}
	return true
}

// recordPoll records from when on the runs may have ended whose results a runner
// reports in reply to a poll that was sent at the time sent.
func (rs *runnerState) recordPoll(sent, now clock.BootTime) {
	rs.endedFrom = rs.reportedAt
	if now.Sub(sent) > promptReply {
		rs.endedFrom = max(rs.endedFrom, sent)
	}
	rs.reportedAt = now
}

func runTimeKey(st *step) estimate.Key {
	return estimate.Key{Queue: st.occ.job.def.Queue, Step: st.index, Image: st.spec.Image}
}

// runTime returns how long a task of a step is expected to run.
func (s *State) runTime(st *step, now clock.BootTime) time.Duration {
	if st.spec.LongRunning {
		return st.spec.Estimate
	}
	expected, learned := s.runTimes.Expect(runTimeKey(st), st.spec.Estimate)
	return st.siblings.Refine(expected, learned, len(st.tasks), st.overdue(expected, now))
}

// overdue returns for how long the tasks of a step have run that run longer than
// expected.
func (s *step) overdue(expected time.Duration, now clock.BootTime) []time.Duration {
	if s.idle+s.done == len(s.tasks) {
		return nil
	}
	var l []time.Duration
	for _, t := range s.tasks {
		if t.done || len(t.runs) != 1 || len(l) == maxOverdue {
			continue
		}
		r := t.runs[0]
		if d := now.Sub(r.confirmedAt); r.phase == running && d > expected && r.isWhole() {
			l = append(l, d)
		}
	}
	return l
}

// estimate computes the longest chain and the total work of one occurrence, as known
// when the job is added.
func (s *State) estimate(js *jobState) {
	ends := make([]time.Duration, len(js.def.Steps))
	for i := range js.def.Steps {
		sp := &js.def.Steps[i]
		ran := sp.Estimate
		if !sp.LongRunning {
			ran, _ = s.runTimes.Expect(estimate.Key{Queue: js.def.Queue, Step: i, Image: sp.Image}, ran)
		}
		ends[i] = after(ends, sp) + ran
		js.chain = max(js.chain, ends[i])
		js.total += float64(sp.Count) * float64(sp.Resources.CPU) / 1000 * ran.Seconds()
	}
}

// after returns the end of the steps that a step depends on.
func after(ends []time.Duration, sp *job.Step) time.Duration {
	var from time.Duration
	for _, a := range sp.DependsOn {
		from = max(from, ends[a])
	}
	return from
}

// remaining returns the longest chain and the work in core-seconds that an occurrence
// still needs, which is computed again when a task is done, and at most remainingAge
// after the times that it depends on have changed.
func (s *State) remaining(o *occurrence, now clock.BootTime) (chain time.Duration, coreSeconds float64) {
	done, started := 0, 0
	for _, st := range o.steps {
		done += st.done
		started += len(st.tasks) - st.done - st.idle
	}
	rem := &o.remaining
	if rem.done != done || now.Sub(rem.at) >= remainingAge && (started > 0 || rem.version != s.runTimes.Version()) {
		*rem = s.computeRemaining(o, now)
		rem.done, rem.at, rem.version = done, now, s.runTimes.Version()
	}
	return rem.chain, rem.work
}

// remainingWork is what an occurrence still needs, and what that was computed from.
type remainingWork struct {
	chain   time.Duration
	work    float64 // in core-seconds
	done    int     // done tasks
	at      clock.BootTime
	version uint64 // of the learned run times
}

func (s *State) computeRemaining(o *occurrence, now clock.BootTime) remainingWork {
	var rem remainingWork
	var whole time.Duration // of the chain with the complete steps
	ends, all := make([]time.Duration, len(o.steps)), make([]time.Duration, len(o.steps))
	for i, st := range o.steps {
		ran := s.runTime(st, now)
		all[i] = after(all, st.spec) + ran
		whole = max(whole, all[i])
		st.expected = ran
		if st.complete() {
			continue
		}
		ends[i] = after(ends, st.spec) + ran
		rem.chain = max(rem.chain, ends[i])
		rem.work += float64(len(st.tasks)-st.done) * float64(st.spec.Resources.CPU) / 1000 * ran.Seconds()
	}
	o.job.updateChain(whole, now)
	return rem
}

// updateChain changes the chain that the objective is computed from to the present
// estimate if that differs much. Of a job with many occurrences, each has its own.
func (js *jobState) updateChain(chain time.Duration, now clock.BootTime) {
	differs := float64((chain - js.chain).Abs()) >= chainChange*float64(js.chain)
	if chain == js.chain || !differs || js.def.Repeats > 0 || js.chainAt != 0 && now.Sub(js.chainAt) < chainAge {
		return
	}
	js.chain, js.chainAt = chain, now
}
