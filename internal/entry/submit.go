package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/kv"
)

const (
	// lookupTimeout bounds the lookup of a job before its rejection. A slow store takes
	// some hundred milliseconds.
	lookupTimeout = 600 * time.Millisecond
	// maxLookups bounds the concurrent lookups; a daemon has eight connections to the
	// store.
	maxLookups = 4
)

// Submit stores a job and waits for the verdict until the deadline. If the verdict is
// Overloaded, the caller should submit the job again after the returned time.
func (e *Entry) Submit(ctx context.Context, j *job.Job, deadline time.Time) (Verdict, time.Duration) {
	a := e.Admission
	if a == nil || a.Enabled != nil && !a.Enabled() {
		return e.Jobs.Submit(ctx, j, deadline), 0
	}
	if r, rejected := a.begin(j); rejected {
		if e.notStored(ctx, j.ID) && !a.submitted(j.ID) {
			a.Count(j.Queue, string(r.Reason))
			a.Logger.Log("msg", "job rejected, pool overloaded", "job", j.ID, "queue", j.Queue, "service", j.Service, "workspace", j.Workspace,
				"why", r.Reason, "wait", r.Wait, "age", r.age, "term", r.term, "retry_after", r.RetryAfter)
			return Overloaded, r.RetryAfter
		}
		a.accept(j)
	}
	v := e.Jobs.Submit(ctx, j, deadline)
	a.end(j.ID, v)
	return v, 0
}

// notStored reports whether a job is certainly not in the store, whose reads are
// linearizable. If the store does not respond, the job may be stored.
func (e *Entry) notStored(ctx context.Context, id job.ID) bool {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	select {
	case e.Admission.lookups <- struct{}{}:
		defer func() { <-e.Admission.lookups }()
	case <-ctx.Done():
		return false
	}
	_, err := e.Store.Get(ctx, job.Key(id))
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		e.Logger.Log("msg", "job lookup failed, job is not rejected", "job", id, "err", err)
	}
	return errors.Is(err, kv.ErrNotFound)
}
