package lead

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/kv"
	"gypsumtrestle.example/gypsumtrestle/internal/standin/store"
)

// heldStore holds each commit until the test ends it, with an error if it should have
// no reply although it was carried out.
type heldStore struct {
	*store.Store
	held chan heldCommit
}

type heldCommit struct {
	txn kv.Txn
	end chan error
}

func (s heldStore) Commit(ctx context.Context, t kv.Txn) (kv.Revision, error) {
	h := heldCommit{txn: t, end: make(chan error, 1)}
	select {
	case s.held <- h:
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	err := <-h.end
	rev, cerr := s.Store.Commit(ctx, t)
	if err != nil {
		return 0, err
	}
	return rev, cerr
}

// TestSlowStoreDelaysProgress guards against progress that waits for the transactions
// before it while the store is slow, and against two open transactions with the progress
// of one job, of which the later one fails or replaces newer progress.
func TestSlowStoreDelaysProgress(t *testing.T) {
	const jobs = 2*maxProgressRows + 1
	s := heldStore{&store.Store{}, make(chan heldCommit)}
	tm := newTestTerm(t, &lossyStore{Store: s.Store})
	tm.cfg.Store = s
	now := clock.Now()
	id := func(n int) job.ID { return job.ID(fmt.Sprintf("%016x", n)) }
	for n := range jobs {
		tm.state.AddJob(&job.Job{ID: id(n), Queue: "q", Service: "p", Steps: []job.Step{{Count: 1}}}, kv.Revision(tm.id)+1, nil, 0, now, time.Now())
		tm.state.CancelJob(id(n), now)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer func() { cancel(); tm.wg.Wait() }()
	tm.spawn(func() { tm.flushLoop(ctx) })

	first, second := <-s.held, <-s.held
	open := make(map[string]bool)
	for _, h := range []heldCommit{first, second} {
		if len(h.txn.Writes) != maxProgressRows {
			t.Errorf("%d rows in a transaction, want %d", len(h.txn.Writes), maxProgressRows)
		}
		for _, w := range h.txn.Writes {
			if open[w.Key] {
				t.Errorf("%s is in two open transactions", w.Key)
			}
			open[w.Key] = true
		}
	}
	second.end <- nil
	first.end <- errors.Wrap(kv.ErrUnknown, "reply lost")
	for n := 0; n < jobs; {
		if tm.stored(id(n)) {
			n++
			continue
		}
		select {
		case h := <-s.held:
			h.end <- nil
		case <-time.After(time.Millisecond):
		}
	}
}

// stored reports whether the outcome of a job is stored.
func (t *term) stored(id job.ID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.Query(id).Outcome == job.Cancelled
}
