package dispatch

import (
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/admission"
	"gypsumtrestle.example/gypsumtrestle/internal/claim"
	"gypsumtrestle.example/gypsumtrestle/internal/route"
	"gypsumtrestle.example/gypsumtrestle/internal/trace"
)

// The record functions return immediately if there is no recorder. Values whose
// addresses an event holds are copied after that check, so that nothing is
// allocated when recording is off.

func (d *Dispatcher) recordArrive(j *Job) {
	if d.Trace == nil {
		return
	}
	j.n = d.Trace.Job()
	deadline := j.Request.Deadline
	e := event(j, trace.Arrive)
	e.Service, e.Class, e.Idempotent, e.Deadline = j.Service, j.Class.String(), j.Idempotent, &deadline
	d.Trace.Add(e)
}

func (d *Dispatcher) recordClaim(j *Job, v claim.Verdict) {
	if d.Trace == nil {
		return
	}
	e := event(j, trace.Claim)
	e.Outcome = v.String()
	d.Trace.Add(e)
}

func (d *Dispatcher) recordAdmit(j *Job, dec *admission.Decision) {
	if d.Trace == nil {
		return
	}
	e := event(j, trace.Admit)
	e.Outcome, e.Reason = dec.Verdict.String(), dec.Reason.String()
	d.Trace.Add(e)
}

func (d *Dispatcher) recordSend(j *Job, m *route.Member, x *exchanged, startedAt time.Time, allowed bool, action Action) {
	if d.Trace == nil {
		return
	}
	start := startedAt
	e := event(j, trace.Send)
	e.At, e.Start, e.Host, e.Zone = x.now, &start, m.Host, m.Zone
	e.Outcome, e.Reason, e.Budget, e.Again = x.outcome.String(), x.reason, allowed, action == Retry || action == tryAnother
	d.Trace.Add(e)
}

func (d *Dispatcher) recordEnd(j *Job, res *Result) {
	if d.Trace == nil {
		return
	}
	e := event(j, trace.End)
	e.Outcome, e.Reason, e.Replayed = res.Outcome.String(), res.Reason, res.Replayed
	d.Trace.Add(e)
}

func event(j *Job, kind trace.Kind) trace.Event {
	return trace.Event{Kind: kind, Job: j.n, Request: j.Request.ID, Key: j.Key}
}
