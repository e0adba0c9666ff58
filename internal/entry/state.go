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

// ErrNoSuchJob is the store's word that a job does not exist.
var ErrNoSuchJob = errors.New("no such job")

// Entry serves callers at one daemon.
type Entry struct {
	Store  kv.Store
	Config *ConfigWatcher
	Jobs   *JobWriter
	Leader *lead.Leader
	Query  *query.Client
	Logger log.Logger
}

// awayTime is how old the store's last answer may be for a job to be handed on
// to it. The watch of the configuration is answered every 0.7 s; a caller whose
// job cannot be stored is better told at once when to come back.
const awayTime = 1500 * time.Millisecond

// StoreReachable tells whether the store has answered lately.
func (e *Entry) StoreReachable() bool { return e.Config.RespondedSince(time.Now().Add(-awayTime)) }

// State returns how a job stands.
func (e *Entry) State(ctx context.Context, id job.ID) (sched.Status, error) {
	if st, ok := e.Leader.Query(id); ok && st.Known {
		return st, nil
	}
	if h := e.Leader.Holder(); h != nil && !e.Leader.Leading() {
		st, err := e.Query.Query(ctx, h.Addr, id)
		if err == nil && st.Known {
			return st, nil
		}
		if err != nil {
			e.Logger.Log("msg", "leader cannot be asked", "leader", h.Name, "job", id, "err", err)
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
		return sched.Status{Known: true, Started: p.Started, Outcome: p.Outcome}, nil
	case !errors.Is(err, kv.ErrNotFound):
		return sched.Status{}, err
	}
	if _, err := e.Store.Get(ctx, job.Key(id)); errors.Is(err, kv.ErrNotFound) {
		return sched.Status{}, errors.Wrapf(ErrNoSuchJob, "job %s", id)
	} else if err != nil {
		return sched.Status{}, err
	}
	return sched.Status{Known: true}, nil
}

// Cancel ends a job. It is cancelled once the store holds the mark.
func (e *Entry) Cancel(ctx context.Context, id job.ID, deadline time.Time) (Verdict, error) {
	if _, err := e.Store.Get(ctx, job.Key(id)); err != nil {
		if errors.Is(err, kv.ErrNotFound) {
			return Refused, errors.Wrapf(ErrNoSuchJob, "job %s", id)
		}
		return Refused, err
	}
	return e.Jobs.put(ctx, job.CancelKey(id), []byte{1}, deadline), nil
}

// Pending counts the jobs of a queue that have not begun.
func (e *Entry) Pending(ctx context.Context, queue string) (int, error) {
	if n, ok := e.Leader.Pending(queue); ok {
		return n, nil
	}
	h := e.Leader.Holder()
	if h == nil {
		return 0, errors.New("there is no leader")
	}
	return e.Query.Pending(ctx, h.Addr, queue)
}
