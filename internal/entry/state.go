package entry

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/kv"
	"gypsumtrestle.example/gypsumtrestle/internal/lead"
	"gypsumtrestle.example/gypsumtrestle/internal/query"
	"gypsumtrestle.example/gypsumtrestle/internal/sched"
)

// ErrNoSuchJob reports that a job is not in the store.
var ErrNoSuchJob = errors.New("no such job")

// Entry handles the callers' requests for jobs at one daemon.
type Entry struct {
	Store         kv.Store
	ConfigWatcher *ConfigWatcher
	Jobs          *JobWriter
	Leader        *lead.Leader
	QueryClient   *query.Client
	Admission     *Admission // nil: no job is rejected because of the load
	Logger        log.Logger
}

// storeTimeout is the age of the store's last response above which the store is
// treated as unreachable and jobs are rejected immediately, so that callers can
// retry. The configuration watch gets a response every 0.7 s.
const storeTimeout = 1500 * time.Millisecond

// StoreReachable reports whether the store has responded within storeTimeout.
func (e *Entry) StoreReachable() bool {
	return e.ConfigWatcher.RespondedSince(time.Now().Add(-storeTimeout))
}

// Viewer is what a caller may see.
type Viewer interface {
	// Sees reports whether the caller may query and cancel a job of a workspace; the
	// name is empty if the job has none.
	Sees(workspace string) bool
}

// State returns the state of a job from the leader or, if that fails, from the
// store. It returns ErrNoSuchJob if the job is not in the store, or if the caller may
// not see it.
func (e *Entry) State(ctx context.Context, id job.ID, v Viewer) (sched.Status, error) {
	st, err := e.find(ctx, id)
	if err == nil && !v.Sees(st.Workspace) {
		return sched.Status{}, errors.Wrapf(ErrNoSuchJob, "job %s", id)
	}
	return st, err
}

func (e *Entry) find(ctx context.Context, id job.ID) (sched.Status, error) {
	if st, ok := e.Leader.Query(id); ok && st.Found {
		return st, nil
	}
	if h := e.Leader.Holder(); h != nil && !e.Leader.Leading() {
		st, err := e.QueryClient.Query(ctx, h.Addr, id)
		if err == nil && st.Found {
			return st, nil
		}
		if err != nil {
			e.Logger.Log("msg", "leader query failed", "leader", h.Name, "job", id, "err", err)
		}
	}
	return e.stored(ctx, id)
}

// stored reads the state of a job from the store.
func (e *Entry) stored(ctx context.Context, id job.ID) (sched.Status, error) {
	it, err := e.Store.Get(ctx, job.ProgressKey(id))
	switch {
	case err == nil:
		p, err := job.DecodeProgress(it.Value)
		if err != nil {
			return sched.Status{}, errors.Wrapf(err, "job %s", id)
		}
		st := sched.Status{Found: true, Started: p.Started, Outcome: p.Outcome}
		if e.ConfigWatcher.hasWorkspaces() {
			st.Workspace, err = e.workspace(ctx, id)
		}
		return st, err
	case !errors.Is(err, kv.ErrNotFound):
		return sched.Status{}, err
	}
	w, err := e.workspace(ctx, id)
	if err != nil {
		return sched.Status{}, err
	}
	return sched.Status{Found: true, Workspace: w}, nil
}

// workspace returns the workspace in the stored record of a job, or ErrNoSuchJob if
// there is no such record. Without configured workspaces the record is not decoded.
func (e *Entry) workspace(ctx context.Context, id job.ID) (string, error) {
	it, err := e.Store.Get(ctx, job.Key(id))
	if errors.Is(err, kv.ErrNotFound) {
		return "", errors.Wrapf(ErrNoSuchJob, "job %s", id)
	}
	if err != nil || !e.ConfigWatcher.hasWorkspaces() {
		return "", err
	}
	name, err := job.DecodeWorkspace(it.Value)
	return name, errors.Wrapf(err, "job %s", id)
}

// Cancel requests the end of a job. The job is cancelled once the cancel record is
// stored. Cancel returns ErrNoSuchJob if the job is not in the store, or if the caller
// may not see it.
func (e *Entry) Cancel(ctx context.Context, id job.ID, v Viewer, deadline time.Time) (Verdict, error) {
	w, err := e.workspace(ctx, id)
	if err != nil {
		return Rejected, err
	}
	if !v.Sees(w) {
		return Rejected, errors.Wrapf(ErrNoSuchJob, "job %s", id)
	}
	return e.Jobs.put(ctx, job.CancelKey(id), []byte{1}, deadline), nil
}

// Pending returns the number of jobs of a queue that have not started.
func (e *Entry) Pending(ctx context.Context, queue string) (int, error) {
	if n, ok := e.Leader.Pending(queue); ok {
		return n, nil
	}
	h := e.Leader.Holder()
	if h == nil {
		return 0, errors.New("there is no leader")
	}
	return e.QueryClient.Pending(ctx, h.Addr, queue)
}
