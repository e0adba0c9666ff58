package lead_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/go-kit/log"
	"go.uber.org/goleak"

	"gypsumtrestle.example/gypsumtrestle/internal/entry"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/lead"
	"gypsumtrestle.example/gypsumtrestle/internal/machine"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
	"gypsumtrestle.example/gypsumtrestle/internal/sched"
	"gypsumtrestle.example/gypsumtrestle/internal/standin/runners"
	"gypsumtrestle.example/gypsumtrestle/internal/standin/store"
)

const runnersPrefix = "listed/"

// system is a set of daemons that share a store and runners.
type system struct {
	t         *testing.T
	store     *store.Store
	runners   *runners.Runners
	jobWriter *entry.JobWriter
	leaders   []*lead.Leader
	stops     []context.CancelFunc
}

// limit ends a test that hangs. No verdict depends on the speed of the test.
const limit = time.Minute

// newSystem starts daemons. The store and the runners lose every n-th reply; 0
// loses none.
func newSystem(t *testing.T, daemons, loseStore, loseRunners int) *system {
	t.Helper()
	t.Cleanup(func() { goleak.VerifyNone(t) })
	s := &system{t: t, store: &store.Store{LoseEvery: loseStore}, runners: &runners.Runners{LoseEvery: loseRunners}}
	for i := range 3 {
		s.store.Put(fmt.Sprintf("%sr%d", runnersPrefix, i), nil)
	}
	s.jobWriter = entry.NewJobWriter(s.store, log.NewNopLogger())
	s.run(s.jobWriter.Run, s.jobWriter.Done())
	for i := range daemons {
		l := lead.New(s.config(i))
		s.leaders = append(s.leaders, l)
		s.run(l.Run, l.Done())
	}
	return s
}

// run starts f and stops it at the end of the test.
func (s *system) run(f func(context.Context) error, done <-chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	s.stops = append(s.stops, cancel)
	go func() {
		_ = f(ctx) // the error is that of the context
	}()
	s.t.Cleanup(func() {
		cancel()
		<-done
	})
}

func (s *system) config(i int) lead.Config {
	cfg := job.NewConfig(1, []*job.Queue{{Name: "q", Service: "p", MaxAttempts: 3, Stretch: 2, Target: time.Second}},
		[]*job.Service{{Name: "p"}}, job.Limits{})
	return lead.Config{
		Self:  lead.Holder{Name: fmt.Sprintf("d%d", i), Incarnation: fmt.Sprint(i)},
		Store: s.store, Runners: s.runners,
		Registry: lead.Registry{Prefix: runnersPrefix, Decode: func(key string, _ []byte) (*runner.Info, error) {
			return &runner.Info{
				ID: runner.ID(key[len(runnersPrefix):]), Incarnation: 1, Service: "p", Addr: netip.MustParseAddrPort("127.0.0.1:1"),
				Capacity: job.Resources{CPU: 4000, Mem: 1000},
			}, nil
		}},
		Waves: lead.Waves{
			Prefix: "waves/", Decode: func([]byte) (*machine.Wave, error) { return &machine.Wave{}, nil },
			Status: func(n int, _ bool) (string, []byte, error) { return fmt.Sprintf("shown/%d", n), nil, nil },
		},
		CurrentConfig: func() *job.Config { return cfg },
		Limits:        sched.Limits{MaxRunnerLease: 6 * time.Second, OutcomeRetention: time.Hour},
		Logger:        log.NewNopLogger(),
	}
}

// submit submits a job of two steps and returns its ID.
func (s *system) submit(n int) job.ID {
	s.t.Helper()
	id := job.ID(fmt.Sprintf("%016x", n))
	d := job.Resources{CPU: 100, Mem: 1}
	j := &job.Job{ID: id, Queue: "q", Service: "p", Accepted: time.Now(), Steps: []job.Step{
		{Count: 3, Resources: d, Estimate: time.Second}, {Count: 2, Resources: d, Estimate: time.Second, DependsOn: []int{0}},
	}}
	for range 100 {
		if s.jobWriter.Submit(context.Background(), j, time.Now().Add(limit)) == entry.Accepted {
			return id
		}
		s.pause()
	}
	s.t.Fatalf("job %s not accepted after 100 attempts", id)
	return ""
}

func (s *system) pause() { <-time.After(10 * time.Millisecond) }

// wait waits until a leader reports all jobs as completed.
func (s *system) wait(ids []job.ID) {
	s.t.Helper()
	end := time.Now().Add(limit)
	for _, id := range ids {
		for s.outcome(id) != job.Completed {
			if time.Now().After(end) {
				s.t.Fatalf("job %s not completed in time", id)
			}
			s.pause()
		}
	}
}

func (s *system) outcome(id job.ID) job.Outcome {
	for _, l := range s.leaders {
		if st, ok := l.Query(id); ok && st.Found {
			return st.Outcome
		}
	}
	return job.Open
}

// checkStartedOnce fails the test if a task was started more than once.
func (s *system) checkStartedOnce() {
	s.t.Helper()
	for task, n := range s.runners.Starts() {
		if n != 1 {
			s.t.Errorf("task %s was started %d times", task, n)
		}
	}
}

func (s *system) submitAll(n int) []job.ID {
	var ids []job.ID
	for i := range n {
		ids = append(ids, s.submit(i+1))
	}
	return ids
}

// TestAnswersLost guards against jobs that are lost or run twice when the store
// and the runners carry out calls but their replies are lost.
func TestAnswersLost(t *testing.T) {
	s := newSystem(t, 2, 3, 4)
	s.wait(s.submitAll(20))
	s.checkStartedOnce()
}

// TestLeaderRevoked guards against tasks that run twice, or not at all, when
// the lease of the leader key is revoked repeatedly and without notice.
func TestLeaderRevoked(t *testing.T) {
	s := newSystem(t, 3, 0, 0)
	var ids []job.ID
	for i := range 12 {
		ids = append(ids, s.submit(i+1))
		if i%3 == 0 {
			s.store.RevokeLeases()
		}
	}
	s.wait(ids)
	s.checkStartedOnce()
}

// TestHistoryDropped guards against jobs that a leader never sees because
// the store compacted the revision that its watch continues from.
func TestHistoryDropped(t *testing.T) {
	s := newSystem(t, 1, 0, 0)
	var ids []job.ID
	for i := range 12 {
		ids = append(ids, s.submit(i+1))
		s.store.Compact()
	}
	s.wait(ids)
	s.checkStartedOnce()
}

// TestStoreDown guards against reporting a job as rejected although the store
// holds it, and against jobs that make no progress after an outage of the
// store.
func TestStoreDown(t *testing.T) {
	s := newSystem(t, 2, 0, 0)
	ids := s.submitAll(3)
	s.store.SetDown(true)
	d := job.Resources{CPU: 1, Mem: 1}
	rejected := &job.Job{ID: "00000000000000ff", Queue: "q", Service: "p", Steps: []job.Step{{Count: 1, Resources: d}}}
	if v := s.jobWriter.Submit(context.Background(), rejected, time.Now().Add(limit)); v != entry.Rejected {
		t.Errorf("submission while the store is down: %v, want refused", v)
	}
	s.store.SetDown(false)
	s.wait(ids)
	if _, err := s.store.Get(context.Background(), job.Key(rejected.ID)); err == nil {
		t.Error("store holds a job whose submission was rejected")
	}
	s.checkStartedOnce()
}

// TestStepDown guards against a planned stop of the leader after which work
// waits for the lease to expire.
func TestStepDown(t *testing.T) {
	s := newSystem(t, 2, 0, 0)
	s.wait(s.submitAll(2))
	for i, l := range s.leaders {
		if l.Leading() {
			s.stops[i+1]()
			<-l.Done()
			s.leaders = append(s.leaders[:i:i], s.leaders[i+1:]...)
			break
		}
	}
	s.wait([]job.ID{s.submit(50)})
	s.checkStartedOnce()
}
