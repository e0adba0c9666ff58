package entry_test

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/entry"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/kv"
	"gypsumtrestle.example/gypsumtrestle/internal/standin/store"
)

// run starts a part and ends it with the test.
func run(t *testing.T, f func(context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f(ctx) // the error is that of the context
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

func aJob(id job.ID) *job.Job {
	return &job.Job{ID: id, Queue: "q", Service: "s", Steps: []job.Step{{Count: 1}}}
}

// silent is a store that carries out each commit and answers none.
type silent struct{ *store.Store }

func (s silent) Commit(ctx context.Context, t kv.Txn) (kv.Revision, error) {
	_, err := s.Store.Commit(ctx, t)
	return 0, errors.Wrapf(kv.ErrUnknown, "answer lost: %v", err)
}

// TestNoAnswerIsNoRefusal guards against a caller who is told that a job is not
// stored though the store may hold it.
func TestNoAnswerIsNoRefusal(t *testing.T) {
	s := silent{&store.Store{}}
	in := entry.NewJobWriter(s, log.NewNopLogger())
	run(t, in.Run)
	j := aJob("00000000000000aa")
	if v := in.Submit(context.Background(), j, time.Now().Add(50*time.Millisecond)); v != entry.Unknown {
		t.Errorf("verdict %v, want unknown", v)
	}
	if _, err := s.Get(context.Background(), job.Key(j.ID)); err != nil {
		t.Errorf("the stand-in does not hold the job: %v", err)
	}
}

// TestSameJobTwice guards against a job that is refused because it is already
// stored, and against one that replaces it.
func TestSameJobTwice(t *testing.T) {
	s := &store.Store{}
	in := entry.NewJobWriter(s, log.NewNopLogger())
	run(t, in.Run)
	first := aJob("00000000000000ab")
	first.Spec = "first"
	second := aJob("00000000000000ab")
	second.Spec = "second"
	for _, j := range []*job.Job{first, second} {
		if v := in.Submit(context.Background(), j, time.Now().Add(time.Minute)); v != entry.Accepted {
			t.Fatalf("verdict %v, want accepted", v)
		}
	}
	it, err := s.Get(context.Background(), job.Key(first.ID))
	if err != nil {
		t.Fatal(err)
	}
	if j, err := job.DecodeJob(it.Value); err != nil || j.Spec != "first" {
		t.Errorf("stored %+v, %v, want the first", j, err)
	}
}

// TestConfigurationNeverBack guards against an older configuration in force
// after a newer one, also when the store's history is dropped, and against one
// that cannot be read taking the place of a good one.
func TestConfigurationNeverBack(t *testing.T) {
	s := &store.Store{}
	o := &entry.ConfigWatcher{
		Store: s, Key: "config", Logger: log.NewNopLogger(),
		Decode: func(b []byte) (*job.Config, error) {
			n, err := strconv.Atoi(string(b))
			return job.NewConfig(int64(n), nil, nil, job.Limits{}), err
		},
	}
	s.Put("config", []byte("5"))
	run(t, o.Run)
	await := func(version int64) {
		t.Helper()
		for end := time.Now().Add(time.Minute); ; {
			if c := o.Config(); c != nil && c.Version == version {
				return
			}
			if time.Now().After(end) {
				t.Fatalf("version %d is not in force", version)
			}
			<-time.After(time.Millisecond)
		}
	}
	await(5)
	s.Put("config", []byte("nonsense"))
	s.Put("config", []byte("3"))
	s.Put("config", []byte("8"))
	await(8)
	s.Compact()
	s.Put("config", []byte("7"))
	s.Put("config", []byte("9"))
	await(9)
}
