package sched

import (
	"slices"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/crash"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// runLost records that a run ended without a result.
func (s *State) runLost(r *run, why string, now clock.BootTime) {
	s.Logger.Log("msg", "run lost", "task", r.task.name, "attempt", r.attempt, "runner", r.runner.ID, "why", why)
	r.runner.remove(r)
	r.task.endedAt = now
}

// PollFailed records that a runner did not reply to a poll.
func (s *State) PollFailed(id runner.ID, now clock.BootTime) {
	rs := s.runners[id]
	if rs == nil {
		return
	}
	rs.tryAnnounced = !rs.tryAnnounced
	if !rs.unreachable {
		s.recordLoss(rs, now)
		rs.unreachable = true
		s.Logger.Log("msg", "runner unreachable", "runner", id, "service", rs.Service, "runs", len(rs.runs), "heard", now.Sub(rs.lastReply))
	}
}

// Poll is the next poll of a runner.
type Poll struct {
	runner.PollRequest
	To runner.Target
}

// Poll returns the next poll of a runner. If the runner did not reply to the
// last one, the poll does not extend its lease, so that its runs can be
// abandoned, and acknowledges nothing: the runner may have started again, with
// results of the same numbers. For the same reason no result is acknowledged
// again after a reply.
func (s *State) Poll(id runner.ID, now clock.BootTime) (Poll, bool) {
	rs := s.runners[id]
	if rs == nil {
		return Poll{}, false
	}
	p := Poll{To: rs.target()}
	rs.polledAck = 0
	if rs.replied && !rs.unreachable {
		if rs.acked > rs.confirmedAck {
			p.Acked = rs.acked
		}
		rs.polledAck = p.Acked
		p.LeaseUntil = s.lease(rs, now)
		p.Wait = idlePollWait
		if len(rs.runs) > 0 {
			p.Wait = busyPollWait
		}
		if len(rs.unacked) > 0 && rs.withheld == 0 || rs.isolated != nil {
			p.Wait = 0 // the runner would reply at once, or the end of an isolation waits for the reply
		}
	}
	return p, true
}

// Idle reports whether a runner has no runs.
func (s *State) Idle(id runner.ID) bool {
	rs := s.runners[id]
	return rs != nil && len(rs.runs) == 0
}

const (
	// busyPollWait is how long a poll waits at a runner that has runs. It
	// limits the age of the state of its runs.
	busyPollWait = 500 * time.Millisecond
	// idlePollWait is how long a poll waits at an idle runner.
	idlePollWait = 1500 * time.Millisecond
)

// HandleReport handles the reply of a runner to a poll that was sent at the time
// sent. It reports whether the report changes what may be planned.
func (s *State) HandleReport(from runner.Target, sent, now clock.BootTime, rep *runner.Report) bool {
	id := from.ID
	rs := s.runners[id]
	if rs != nil && rs.ended && rep.Incarnation == rs.Incarnation && sent.After(rs.endedAt) {
		s.Logger.Log("msg", "runner that counted as ended replies", "runner", id, "addr", from.Addr, "incarnation", int64(rep.Incarnation))
		s.renew(rs, rs.Info)
	}
	// A runner whose clock was set back before it started again has a lower start
	// time; the late reply of an earlier incarnation is told by its poll.
	if rs == nil || (rs.replied && rep.Incarnation < rs.Incarnation && !sent.After(rs.lastReply)) || (rs.ended && rep.Incarnation <= rs.Incarnation && !sent.After(rs.endedAt)) {
		return false
	}
	changed := !rs.replied || rs.unreachable || rep.Incarnation != rs.Incarnation
	applied, runs := rs.applied, len(rs.runs)
	s.confirm(rs, from, rep.Incarnation, sent, now)
	s.settleCounted(rs, rep.Running)
	if rs.unreachable {
		s.Logger.Log("msg", "runner reachable again", "runner", id, "runs", len(rep.Running))
	}
	first := !rs.replied
	rs.replied, rs.unreachable, rs.unreported, rs.lastReply = true, false, false, now
	rs.polledAt = max(rs.polledAt, sent)
	rs.recordPoll(sent, now)
	rs.confirmedAck = max(rs.confirmedAck, rs.polledAck)
	rs.clock = clock.Reading{RunnerTime: rep.Clock, ReceivedAt: now}
	s.applyResults(rs, rep.Results, now)
	seen := make(map[job.Task]bool, len(rep.Running))
	for i := range rep.Running {
		seen[rep.Running[i].Task] = true
		s.applyRun(rs, &rep.Running[i], now)
	}
	if len(rep.Results) < resultsPage {
		s.applyMissing(rs, seen, sent, now)
	}
	if first {
		delete(s.inherited, id)
		// A previous term may have extended the lease up to its maximum.
		rs.leaseUntil = rep.Clock.Add(s.Limits.MaxRunnerLease)
		if rs.followsAnother {
			// A command to the earlier incarnation may arrive for as long as its own
			// lease could last, and extend the lease from then on: its lease end is a
			// later time on the clock of this one.
			rs.leaseUntil = rs.leaseUntil.Add(s.Limits.MaxRunnerLease)
		}
		s.Logger.Log("msg", "runner reached", "runner", id, "service", rs.Service, "runs", len(rs.runs), "ends", len(rep.Results))
	}
	rs.acknowledge()
	// Suspects are started only just after a reply, so that it must be planned for.
	return changed || rs.applied != applied || len(rs.runs) != runs || rs.isolated != nil
}

// resultsPage is the maximum number of results in a report. Only a report with
// fewer lists all results.
const resultsPage = 500

// applyRun records a run that a runner reports as running.
func (s *State) applyRun(rs *runnerState, reported *runner.Run, now clock.BootTime) {
	r := rs.runs[reported.Task]
	if r == nil || r.attempt != reported.Attempt {
		r = s.adopt(rs, reported, now)
		if r == nil {
			return
		}
	}
	r.task.job.begun = true
	if r.confirmedAt == 0 {
		r.confirmedAt = now
	}
	if r.phase == starting {
		r.phase = running
	}
	r.percent, r.load = reported.Percent, reported.Load
	if r.hasPassed(now) {
		rs.health.recordSuccess()
	}
	if crash.IsProven(r.confirmedAt, now) {
		s.clearCrashes(r.task)
		r.task.proven = true
	}
	if reported.ReportsLoad {
		r.recordLoad(now)
		s.observeLatency(r, now)
	}
	if reported.Checkpoint != "" {
		r.task.checkpoint = reported.Checkpoint
	}
}

// adopt records a run that was not started by this term, or not with this
// attempt. A run that is not needed is stopped. It returns nil if the run cannot
// be recorded: its task is unknown, or a newer attempt is on the same runner.
func (s *State) adopt(rs *runnerState, reported *runner.Run, now clock.BootTime) *run {
	js := s.jobs[reported.Task.Job]
	var t *task
	if js != nil {
		t = js.task(reported.Task)
	}
	if t == nil {
		s.Logger.Log("msg", "run of unknown task found", "runner", rs.ID, "task", reported.Task)
		s.commands = append(s.commands, Command{Kind: StopRun, To: rs.target(), Task: reported.Task, Attempt: reported.Attempt, incarnation: rs.Incarnation})
		return nil
	}
	if old := rs.runs[reported.Task]; old != nil {
		if old.attempt > reported.Attempt {
			// The stop of the older run is in flight.
			s.commands = append(s.commands, Command{Kind: StopRun, To: rs.target(), Task: reported.Task, Attempt: reported.Attempt, incarnation: rs.Incarnation})
			return nil
		}
		rs.remove(old)
	}
	r := &run{
		task: t, attempt: reported.Attempt, runner: rs, phase: running, demand: t.step.spec.Demand(),
		scheduledAt: now, confirmedAt: now, throttle: 100,
	}
	if !t.scheduled {
		// Started by a previous term, so that the report does not date its start.
		r.confirmedAt = now.Add(-crash.FreshFor)
	}
	if t.step.spec.BestEffort {
		r.throttle = min(max(reported.Percent, 0), 100)
	}
	rs.add(r)
	t.sawAttempt(reported.Attempt)
	js.started = true
	s.Logger.Log("msg", "run adopted", "task", reported.Task, "attempt", reported.Attempt, "runner", rs.ID)
	switch {
	case !js.open():
		s.stop(r, "job has ended")
	case t.done:
		s.stop(r, "task is done")
	case len(t.runs) > 1 && !t.step.spec.Speculative:
		s.stop(r, "task runs elsewhere")
	}
	return r
}

// applyMissing records as lost the runs that were confirmed, or whose stop was
// confirmed, before the poll was sent and that the runner reports neither as
// running nor as ended. It stops those whose start cannot be confirmed.
func (s *State) applyMissing(rs *runnerState, seen map[job.Task]bool, sent, now clock.BootTime) {
	for _, r := range runsOf(rs) {
		if seen[r.task.name] {
			continue
		}
		switch {
		case r.phase == stopping && r.stopConfirmed != 0 && sent.After(r.stopConfirmed):
			s.runResolved(r)
			s.runLost(r, "stopped before it began", now)
		case r.phase != starting && r.confirmedAt != 0 && sent.After(r.confirmedAt) && r.phase != stopping:
			s.runResolved(r)
			s.runLost(r, "runner does not list it", now)
		case r.withheldLost(sent):
			s.stop(r, "start withheld, outcome unknown")
		case r.isStartOverdue(sent):
			r.task.avoidRunner(rs.ID)
			if r.task.step.spec.Gang {
				s.stopGang(r.task.step, "start of a gang member has no reply")
			} else {
				s.stop(r, "start has no reply")
			}
		}
	}
}

// startTimeout is how long the start of a run is repeated on a runner that replies to
// polls.
const startTimeout = 2 * time.Second

// isStartOverdue reports whether the starts of a run had no reply for startTimeout
// before a poll was sent.
func (r *run) isStartOverdue(sent clock.BootTime) bool {
	return r.phase == starting && r.replyUntil != 0 && sent.After(r.replyUntil)
}

// avoidRunner records a runner that another is preferred to for a task.
func (t *task) avoidRunner(id runner.ID) {
	if !slices.Contains(t.avoid, id) {
		t.avoid = append(t.avoid, id)
	}
}

// runsOf returns the runs on a runner in a stable order.
func runsOf(rs *runnerState) []*run {
	runs := make([]*run, 0, len(rs.runs))
	for _, r := range rs.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int { return compareTasks(a.task.name, b.task.name) })
	return runs
}

func compareTasks(a, b job.Task) int {
	switch {
	case a.Job != b.Job:
		if a.Job < b.Job {
			return -1
		}
		return 1
	case a.Occ != b.Occ:
		return a.Occ - b.Occ
	case a.Step != b.Step:
		return a.Step - b.Step
	}
	return a.Index - b.Index
}
