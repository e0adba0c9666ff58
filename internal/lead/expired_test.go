package lead

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/kv"
	"gypsumtrestle.example/gypsumtrestle/internal/standin/store"
)

// expiryStore decides what happens to the transactions that delete jobs, and runs
// a function between a listing and its reply.
type expiryStore struct {
	*store.Store
	deletion func(commit func() error) error // nil: it is carried out
	listed   func()
}

func (s *expiryStore) Commit(ctx context.Context, t kv.Txn) (rev kv.Revision, err error) {
	if s.deletion == nil || len(t.Deletes) == 0 {
		return s.Store.Commit(ctx, t)
	}
	return rev, s.deletion(func() error {
		rev, err = s.Store.Commit(ctx, t)
		return err
	})
}

func (s *expiryStore) List(ctx context.Context, prefix string) ([]kv.Item, kv.Revision, error) {
	items, rev, err := s.Store.List(ctx, prefix)
	if s.listed != nil {
		s.listed()
	}
	return items, rev, err
}

const expiredID job.ID = "5c0e7a21d94b36f8"

// newExpiredJob returns a term that has loaded a completed job whose outcome need
// no longer be retained.
func newExpiredJob(t *testing.T) (*term, *expiryStore) {
	t.Helper()
	s := &expiryStore{Store: &store.Store{}}
	tm := newTestTerm(t, &lossyStore{Store: s.Store})
	tm.cfg.Store = s
	tm.cfg.CurrentConfig = func() *job.Config {
		return job.NewConfig(1, []*job.Queue{{Name: "q", Service: "p"}}, []*job.Service{{Name: "p"}}, job.Limits{})
	}
	acceptJob(t, s)
	b, err := job.EncodeProgress(&job.Progress{Outcome: job.Completed, Started: true})
	if err != nil {
		t.Fatal(err)
	}
	s.Put(job.ProgressKey(expiredID), b)
	if _, err := tm.loadJobs(t.Context()); err != nil {
		t.Fatal(err)
	}
	return tm, s
}

// acceptJob stores the job as an entry daemon does.
func acceptJob(t *testing.T, s *expiryStore) {
	t.Helper()
	b, err := job.EncodeJob(&job.Job{ID: expiredID, Queue: "q", Service: "p", Accepted: time.Unix(0, 0), Steps: []job.Step{
		{Count: 1, Resources: job.Resources{CPU: 1000, Mem: 1}, Estimate: time.Second},
	}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Store.Commit(t.Context(), kv.Txn{
		Conds: []kv.Cond{{Key: job.Key(expiredID)}}, Writes: []kv.Write{{Key: job.Key(expiredID), Value: b}},
	}); err != nil {
		t.Fatal(err)
	}
}

// relist reads the input again, as after a compaction.
func relist(t *testing.T, tm *term) {
	t.Helper()
	if _, err := tm.loadInput(t.Context()); err != nil {
		t.Fatal(err)
	}
}

func deleteExpired(t *testing.T, tm *term) {
	t.Helper()
	tm.expiryRetryAt = 0
	if err := tm.deleteExpired(t.Context()); err != nil {
		t.Fatal(err)
	}
}

// TestExpiredJobStartedAgain guards against a completed job that is run again
// because a list of the jobs still has it after its outcome has expired.
func TestExpiredJobStartedAgain(t *testing.T) {
	rejected := func(func() error) error { return errors.Wrap(kv.ErrRejected, "store is down") }
	for name, play := range map[string]func(*testing.T, *term, *expiryStore){
		"its deletion was rejected": func(t *testing.T, tm *term, s *expiryStore) {
			s.deletion = rejected
			deleteExpired(t, tm)
			relist(t, tm)
		},
		"its deletion was rejected, then carried out": func(t *testing.T, tm *term, s *expiryStore) {
			s.deletion = rejected
			deleteExpired(t, tm)
			s.deletion = nil
			deleteExpired(t, tm)
			relist(t, tm)
		},
		"its deletion is carried out late": func(t *testing.T, tm *term, s *expiryStore) {
			var late func() error
			s.deletion = func(commit func() error) error {
				late = commit
				return errors.Wrap(kv.ErrUnknown, "no reply")
			}
			deleteExpired(t, tm)
			relist(t, tm)
			if err := late(); err != nil {
				t.Fatal(err)
			}
			s.deletion = nil
			deleteExpired(t, tm)
			relist(t, tm)
		},
		"the list is older than the deletion": func(t *testing.T, tm *term, s *expiryStore) {
			s.listed = func() { deleteExpired(t, tm) }
			relist(t, tm)
		},
	} {
		t.Run(name, func(t *testing.T) {
			tm, s := newExpiredJob(t)
			play(t, tm, s)
			if c := tm.state.Stats(); c.Open != 0 {
				t.Errorf("%d open jobs, want none: the job is completed", c.Open)
			}
		})
	}
}

// TestExpiredJobNotDeleted guards against a job that stays in the store for the
// rest of the term because its deletion was rejected once.
func TestExpiredJobNotDeleted(t *testing.T) {
	tm, s := newExpiredJob(t)
	s.deletion = func(func() error) error { return errors.Wrap(kv.ErrRejected, "store is down") }
	deleteExpired(t, tm)
	s.deletion = nil
	deleteExpired(t, tm)
	if _, err := s.Get(t.Context(), job.Key(expiredID)); !errors.Is(err, kv.ErrNotFound) {
		t.Errorf("the expired job in the store: %v, want none", err)
	}
	if c := tm.state.Stats(); c.Jobs != 0 {
		t.Errorf("%d jobs in the state, want none", c.Jobs)
	}
}

// TestLateDeletionEndsNextJob guards against a job that is lost because the
// deletion of an expired one with the same ID is carried out late.
func TestLateDeletionEndsNextJob(t *testing.T) {
	tm, s := newExpiredJob(t)
	var late func() error
	s.deletion = func(commit func() error) error {
		late = commit
		if err := commit(); err != nil {
			t.Error(err)
		}
		return errors.Wrap(kv.ErrUnknown, "reply lost")
	}
	deleteExpired(t, tm)
	acceptJob(t, s)
	relist(t, tm)
	if c := tm.state.Stats(); c.Open != 1 {
		t.Errorf("%d open jobs, want the one that was accepted after the deletion", c.Open)
	}
	if err := late(); err == nil {
		t.Error("the late deletion was carried out")
	}
	s.deletion = nil
	tm.state.Limits.OutcomeRetention = time.Hour
	deleteExpired(t, tm)
	if _, err := s.Get(t.Context(), job.Key(expiredID)); err != nil {
		t.Errorf("read the accepted job: %v", err)
	}
	if !tm.state.Query(expiredID).Found {
		t.Error("the accepted job is not in the state")
	}
}

// TestUnreadableProgressStartsJob guards against a job that is run again from its
// beginning because the record of its progress cannot be decoded.
func TestUnreadableProgressStartsJob(t *testing.T) {
	s := &expiryStore{Store: &store.Store{}}
	tm := newTestTerm(t, &lossyStore{Store: s.Store})
	tm.cfg.CurrentConfig = func() *job.Config { return nil }
	acceptJob(t, s)
	s.Put(job.ProgressKey(expiredID), []byte("\xff"))
	if _, err := tm.loadJobs(t.Context()); err != nil {
		t.Fatal(err)
	}
	if c := tm.state.Stats(); c.Open != 0 {
		t.Errorf("%d open jobs, want none: it is not known which tasks are done", c.Open)
	}
	rows := tm.state.DirtyProgress(10)
	if len(rows) != 1 || rows[0].Progress.Outcome != job.Failed {
		t.Fatalf("progress to store %+v, want a failed job", rows)
	}
	it, err := s.Get(t.Context(), job.ProgressKey(expiredID))
	if err != nil || rows[0].Rev != int64(it.Rev) {
		t.Errorf("it replaces revision %d, want %d (%v)", rows[0].Rev, it.Rev, err)
	}
}
