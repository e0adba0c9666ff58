package lead

import (
	"bytes"
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/kv"
	"gypsumtrestle.example/gypsumtrestle/internal/standin/store"
)

// TestStepDownBeforeLoading guards against a leader that is stopped before it has
// loaded the state and stores its empty roster over that of the previous terms:
// the next leader would start the tasks again that run on the runners in it.
func TestStepDownBeforeLoading(t *testing.T) {
	s := &lossyStore{Store: &store.Store{}}
	records := []string{job.RosterKey, job.MachinesKey}
	for _, key := range records {
		s.Put(key, []byte("of previous terms"))
	}
	tm := newTestTerm(t, s)
	tm.pollerCount = new(atomic.Int64)
	var err error
	if tm.lease, _, err = s.Grant(t.Context(), time.Minute); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	tm.stepDown(ctx)
	for _, key := range records {
		if it, err := s.Get(t.Context(), key); err != nil || !bytes.Equal(it.Value, []byte("of previous terms")) {
			t.Errorf("%s is %q (%v) after a leader that had not loaded it stepped down", key, it.Value, err)
		}
	}
	if _, err := s.Get(t.Context(), job.LeaderKey); !errors.Is(err, kv.ErrNotFound) {
		t.Errorf("leader key after the end of the term: %v, want none", err)
	}
}
