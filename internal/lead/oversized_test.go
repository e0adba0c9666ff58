package lead

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/kv"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
	"gypsumtrestle.example/gypsumtrestle/internal/sched"
	"gypsumtrestle.example/gypsumtrestle/internal/standin/store"
)

// boundedStore rejects transactions with a value that is too large, as the platform
// does.
type boundedStore struct {
	*store.Store
	limit int
}

func (s boundedStore) Commit(ctx context.Context, t kv.Txn) (kv.Revision, error) {
	for _, w := range t.Writes {
		if len(w.Value) > s.limit {
			return 0, errors.Wrapf(kv.ErrRejected, "value of %d bytes", len(w.Value))
		}
	}
	return s.Store.Commit(ctx, t)
}

// TestOversizedProgressBlocksOthers guards against a job whose progress the store
// rejects, and with it, for ever, that of the other jobs in the same transactions.
func TestOversizedProgressBlocksOthers(t *testing.T) {
	for name, limit := range map[string]int{"too large while it runs": 2000, "too large even when it has ended": 20} {
		t.Run(name, func(t *testing.T) {
			s := boundedStore{&store.Store{}, limit}
			tm := newTestTerm(t, &lossyStore{Store: s.Store})
			tm.cfg.Store, tm.cfg.MaxValue, tm.pollerCount = s, limit, new(atomic.Int64)
			tm.state.Configure(job.NewConfig(1, []*job.Queue{{Name: "q", Service: "p"}}, []*job.Service{{Name: "p"}}, job.Limits{}))
			now := clock.Now()
			i := runner.Info{ID: "a", Incarnation: 1, Service: "p", Addr: netip.MustParseAddrPort("127.0.0.1:9"), Capacity: job.Resources{CPU: 4000, Mem: 4000}}
			tm.state.SetRunner(i, now)
			tm.state.HandleReport(runner.Target{ID: "a", Addr: i.Addr}, now, now, &runner.Report{Incarnation: 1, Clock: 1000})
			tm.state.RosterStored(tm.state.Roster(now, false))
			add := func(n, count int) job.ID {
				id := job.ID(fmt.Sprintf("%016x", n))
				j := &job.Job{ID: id, Queue: "q", Service: "p", Steps: []job.Step{{Count: count, Resources: job.Resources{CPU: 1, Mem: 1}}}}
				tm.state.AddJob(j, kv.Revision(tm.id)+kv.Revision(n), nil, 0, now, time.Now())
				return id
			}
			large, small := add(1, 500), add(2, 1)
			now = now.Add(time.Second)
			tm.state.Plan(now, time.Now())
			if n := len(tm.state.Commands()); n != 501 {
				t.Fatalf("%d commands, want a start of each task", n)
			}
			for range 4 {
				rows := tm.state.DirtyProgress(maxProgressRows)
				if len(rows) == 0 {
					break
				}
				if err := storeRows(t, tm); err != nil {
					t.Errorf("store progress: %v", err)
				}
			}
			if _, err := s.Get(t.Context(), job.ProgressKey(small)); err != nil {
				t.Errorf("read the progress of the other job: %v", err)
			}
			if got := tm.state.Query(large); got != (sched.Status{Found: true, Started: true, Outcome: job.Failed}) {
				t.Errorf("state of the large job %+v, want failed", got)
			}
		})
	}
}

// storeRows stores the progress.
func storeRows(t *testing.T, tm *term) error {
	_, err := tm.flush(t.Context())
	return err
}
