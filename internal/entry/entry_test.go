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

// run runs f in the background until the test ends.
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

func newJob(id job.ID) *job.Job {
	return &job.Job{ID: id, Queue: "q", Service: "s", Steps: []job.Step{{Count: 1}}}
}

// lostReplyStore is a store that executes each commit but loses the response.
type lostReplyStore struct{ *store.Store }

func (s lostReplyStore) Commit(ctx context.Context, t kv.Txn) (kv.Revision, error) {
	_, err := s.Store.Commit(ctx, t)
	return 0, errors.Wrapf(kv.ErrUnknown, "response lost: %v", err)
}

// TestNoAnswerIsNoRefusal guards against the verdict Rejected for a job that
// may be stored, because the response of the store was lost.
func TestNoAnswerIsNoRefusal(t *testing.T) {
	s := lostReplyStore{&store.Store{}}
	w := entry.NewJobWriter(s, log.NewNopLogger())
	run(t, w.Run)
	j := newJob("00000000000000aa")
	if v := w.Submit(context.Background(), j, time.Now().Add(50*time.Millisecond)); v != entry.Unknown {
		t.Errorf("verdict %v, want unknown", v)
	}
	if _, err := s.Get(context.Background(), job.Key(j.ID)); err != nil {
		t.Errorf("get the job from the store: %v", err)
	}
}

// TestSameJobTwice guards against a repeated submission that is rejected, or that
// replaces the stored job.
func TestSameJobTwice(t *testing.T) {
	s := &store.Store{}
	w := entry.NewJobWriter(s, log.NewNopLogger())
	run(t, w.Run)
	first := newJob("00000000000000ab")
	first.Spec = "first"
	second := newJob("00000000000000ab")
	second.Spec = "second"
	for _, j := range []*job.Job{first, second} {
		if v := w.Submit(context.Background(), j, time.Now().Add(time.Minute)); v != entry.Accepted {
			t.Fatalf("verdict %v, want accepted", v)
		}
	}
	it, err := s.Get(context.Background(), job.Key(first.ID))
	if err != nil {
		t.Fatal(err)
	}
	if j, err := job.DecodeJob(it.Value); err != nil || j.Spec != "first" {
		t.Errorf("stored job %+v, error %v, want the first job", j, err)
	}
}

// TestConfigurationNeverBack guards against an older configuration that is
// activated after a newer one, also after the store compacted its history, and
// against an invalid configuration that replaces a valid one.
func TestConfigurationNeverBack(t *testing.T) {
	s := &store.Store{}
	w := &entry.ConfigWatcher{
		Store: s, Key: "config", Logger: log.NewNopLogger(),
		Decode: func(b []byte) (*job.Config, error) {
			n, err := strconv.Atoi(string(b))
			return job.NewConfig(int64(n), nil, nil, job.Limits{}), err
		},
	}
	s.Put("config", []byte("5"))
	run(t, w.Run)
	await := func(version int64) {
		t.Helper()
		for end := time.Now().Add(time.Minute); ; {
			if c := w.Config(); c != nil && c.Version == version {
				return
			}
			if time.Now().After(end) {
				t.Fatalf("configuration version %d not activated", version)
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

// strictStore rejects transactions with a repeated key, as the platform may, and
// blocks commits until it is released.
type strictStore struct {
	*store.Store
	release chan struct{}
}

func (s strictStore) Commit(ctx context.Context, t kv.Txn) (kv.Revision, error) {
	<-s.release
	seen := make(map[string]bool)
	for _, w := range t.Writes {
		if seen[w.Key] {
			return 0, errors.Wrap(kv.ErrRejected, "repeated key")
		}
		seen[w.Key] = true
	}
	return s.Store.Commit(ctx, t)
}

// TestSameJobInOneBatch guards against a job that is rejected together with the
// others of its batch, because its caller submitted it twice within
// milliseconds.
func TestSameJobInOneBatch(t *testing.T) {
	s := strictStore{&store.Store{}, make(chan struct{})}
	w := entry.NewJobWriter(s, log.NewNopLogger())
	verdicts := make(chan entry.Verdict, 3)
	for _, id := range []job.ID{"00000000000000ac", "00000000000000ac", "00000000000000ad"} {
		go func() { verdicts <- w.Submit(context.Background(), newJob(id), time.Now().Add(time.Minute)) }()
	}
	run(t, w.Run)
	close(s.release)
	for range 3 {
		if v := <-verdicts; v != entry.Accepted {
			t.Errorf("verdict %v, want accepted", v)
		}
	}
}

// silentStore never answers a commit.
type silentStore struct {
	*store.Store
	commits chan struct{}
}

func (s silentStore) Commit(context.Context, kv.Txn) (kv.Revision, error) {
	s.commits <- struct{}{}
	return 0, errors.Wrap(kv.ErrUnknown, "no response")
}

// TestWriterEndsWithItsContext guards against a writer that repeats a
// transaction of unknown outcome after it was stopped.
func TestWriterEndsWithItsContext(t *testing.T) {
	s := silentStore{&store.Store{}, make(chan struct{})}
	w := entry.NewJobWriter(s, log.NewNopLogger())
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = w.Run(ctx) }() // the error is that of the context
	verdict := make(chan entry.Verdict, 1)
	go func() {
		verdict <- w.Submit(context.Background(), newJob("00000000000000ae"), time.Now().Add(time.Hour))
	}()
	<-s.commits
	cancel()
	if v := <-verdict; v != entry.Unknown {
		t.Errorf("verdict %v, want unknown", v)
	}
	<-w.Done()
}
