package lead

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/kv"
	"gypsumtrestle.example/gypsumtrestle/internal/machine"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
	"gypsumtrestle.example/gypsumtrestle/internal/sched"
	"gypsumtrestle.example/gypsumtrestle/internal/standin/store"
)

// lossyStore carries out each commit, and loses the reply while lose is set.
type lossyStore struct {
	*store.Store
	lose bool
}

func (s *lossyStore) Commit(ctx context.Context, t kv.Txn) (kv.Revision, error) {
	rev, err := s.Store.Commit(ctx, t)
	if err == nil && s.lose {
		return 0, errors.Wrap(kv.ErrUnknown, "reply lost")
	}
	return rev, err
}

// newTestTerm returns a term that holds the leader key of a store.
func newTestTerm(t *testing.T, s *lossyStore) *term {
	t.Helper()
	rev, err := s.Commit(t.Context(), kv.Txn{Writes: []kv.Write{{Key: job.LeaderKey}}})
	if err != nil {
		t.Fatal(err)
	}
	state := sched.New(runner.Term(rev), clock.Now(), sched.Limits{MaxRunnerLease: 6 * time.Second}, log.NewNopLogger())
	tm := &term{cfg: &Config{Store: s}, id: runner.Term(rev), logger: log.NewNopLogger(), wakeup: make(chan struct{}, 1), state: state}
	tm.renewed.Store(int64(clock.Now()))
	return tm
}

// TestRosterReplyLost guards against a roster that the store holds and the
// leader does not: the reply to the write that closed a runner's entry was lost,
// the runner then replied again, and the leader took the entry that it had
// written before for the stored one. The next leader would have started the
// tasks of that runner again.
func TestRosterReplyLost(t *testing.T) {
	s := &lossyStore{Store: &store.Store{}}
	tm := newTestTerm(t, s)
	now := clock.Now()
	tm.state.SetRunner(runner.Info{ID: "a", Incarnation: 1, Service: "p", Addr: netip.MustParseAddrPort("127.0.0.1:9")}, now)
	report := func() {
		tm.state.HandleReport(runner.Target{ID: "a", Addr: netip.MustParseAddrPort("127.0.0.1:9")}, now, now, &runner.Report{Incarnation: 1, Clock: 1000})
	}
	open := func() bool {
		it, err := s.Get(t.Context(), job.RosterKey)
		if err != nil {
			t.Fatal(err)
		}
		var entries []sched.RosterEntry
		if err := cbor.Unmarshal(it.Value, &entries); err != nil {
			t.Fatal(err)
		}
		return len(entries) == 1 && !entries[0].Closed
	}
	report()
	if err := tm.storeRoster(t.Context()); err != nil || !open() {
		t.Fatalf("store the first roster: %v, open %t", err, open())
	}
	tm.state.PollFailed("a", now)
	s.lose = true
	if err := tm.storeRoster(t.Context()); !errors.Is(err, kv.ErrUnknown) || open() {
		t.Fatalf("store the roster without a reply: %v, open %t", err, open())
	}
	s.lose = false
	report()
	for range 2 { // the first write finds the revision of the one without a reply
		if err := tm.storeRoster(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if !open() {
		t.Error("the stored roster has no open entry for a runner that is in use")
	}
}

// TestIntentReplyLost guards against a command to a machine whose intent the
// store no longer holds: the reply to the write that released the intent was
// lost, and the leader took the intent that it had written before for the
// stored one.
func TestIntentReplyLost(t *testing.T) {
	s := &lossyStore{Store: &store.Store{}}
	tm := newTestTerm(t, s)
	tm.state.Limits.MachineTakeover = time.Second
	now := clock.Now()
	tm.state.Configure(job.NewConfig(1, nil, []*job.Service{{Name: "p"}}, job.Limits{}))
	tm.state.SetWave(machine.Wave{Number: 1, Machines: []machine.ID{"m"}, MaxUnavailable: 1, Within: time.Minute}, false, now, time.Unix(0, 0))
	tm.state.Plan(now, time.Now()) // drains the machine
	now = now.Add(time.Second)
	tm.state.Plan(now, time.Now()) // adds the intent
	if err := tm.storeIntents(t.Context()); err != nil {
		t.Fatal(err)
	}
	now = now.Add(time.Second)
	tm.state.Plan(now, time.Now())
	cs := tm.state.Commands()
	if len(cs) != 1 {
		t.Fatalf("%d commands, want 1", len(cs))
	}
	tm.state.HandleMachineReply(&cs[0], machine.Busy, true, now.Add(-time.Hour)) // long before now, so that the intent is released
	s.lose = true
	if err := tm.storeIntents(t.Context()); !errors.Is(err, kv.ErrUnknown) {
		t.Fatalf("release the intent without a reply: %v", err)
	}
	s.lose = false
	tm.state.Plan(now.Add(time.Second), time.Now()) // wants the intent again
	tm.state.Plan(now.Add(2*time.Second), time.Now())
	if cs := tm.state.Commands(); len(cs) != 0 {
		t.Errorf("command %v sent, but the store holds no intent", cs)
	}
	for range 2 { // the first write finds the revision of the one without a reply
		if err := tm.storeIntents(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	tm.state.Plan(now.Add(3*time.Second), time.Now())
	if cs := tm.state.Commands(); len(cs) != 1 {
		t.Errorf("%d commands after the intent is stored, want 1", len(cs))
	}
}

// slowStore records when a lease was requested, and renews none.
type slowStore struct {
	*store.Store
	granted chan clock.BootTime
}

func (s slowStore) Grant(ctx context.Context, ttl time.Duration) (kv.Lease, time.Duration, error) {
	l, ttl, err := s.Store.Grant(ctx, ttl)
	s.granted <- clock.Now()
	return l, ttl, err
}

func (s slowStore) Renew(context.Context, kv.Lease) error {
	return errors.Wrap(kv.ErrRejected, "not renewed")
}

// TestLeaseCountsFromRequest guards against a leader that counts its lease from
// the reply to the grant: after a slow reply it would send commands to machines
// with a lease that has ended.
func TestLeaseCountsFromRequest(t *testing.T) {
	s := slowStore{&store.Store{}, make(chan clock.BootTime, 1)}
	l := New(Config{
		Store: s, Logger: log.NewNopLogger(), CurrentConfig: func() *job.Config { return nil },
		Waves: Waves{Prefix: "waves/"}, Registry: Registry{Prefix: "runners/"},
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = l.Run(ctx) }() // the error is that of the context
	defer func() {
		cancel()
		<-l.Done()
	}()
	granted := <-s.granted
	for l.current.Load() == nil {
		if t.Context().Err() != nil {
			t.Fatal("not elected")
		}
		<-time.After(time.Millisecond)
	}
	if renewed := clock.BootTime(l.current.Load().renewed.Load()); !granted.After(renewed) {
		t.Errorf("lease counts from %v after the store granted it", renewed.Sub(granted))
	}
}

// TestWaveDueStored guards against a due time of a wave that the next leader
// does not read.
func TestWaveDueStored(t *testing.T) {
	s := &lossyStore{Store: &store.Store{}}
	tm := newTestTerm(t, s)
	tm.cfg.CurrentConfig = func() *job.Config { return nil }
	tm.cfg.Waves.Status = func(n int, _ bool) (string, []byte, error) { return fmt.Sprint("status/", n), nil, nil }
	wv := machine.Wave{Number: 7, Machines: []machine.ID{"m"}, MaxUnavailable: 1, Within: time.Minute}
	start := time.UnixMilli(1700000000123)
	tm.state.SetWave(wv, false, clock.Now(), start)
	if err := tm.storeWaves(t.Context()); err != nil {
		t.Fatal(err)
	}
	next := newTestTerm(t, s)
	next.cfg.CurrentConfig = tm.cfg.CurrentConfig
	if _, err := next.loadJobs(t.Context()); err != nil {
		t.Fatal(err)
	}
	next.state.SetWave(wv, false, clock.Now(), start.Add(20*time.Second))
	if sts := next.state.WaveStatuses(); len(sts) != 1 || !sts[0].Due.Equal(start.Add(time.Minute)) {
		t.Errorf("next leader has %+v, want the wave due a minute after its start", sts)
	}
}

// TestRejectedStopNotRepeated guards against a run that is never stopped: another
// runner replied to the stop, at the address of a wrong entry.
func TestRejectedStopNotRepeated(t *testing.T) {
	tm := newTestTerm(t, &lossyStore{Store: &store.Store{}})
	tm.state.Configure(job.NewConfig(1, []*job.Queue{{Name: "q", Service: "p"}}, []*job.Service{{Name: "p"}}, job.Limits{}))
	now := clock.Now()
	i := runner.Info{ID: "a", Incarnation: 1, Service: "p", Addr: netip.MustParseAddrPort("127.0.0.1:9"), Capacity: job.Resources{CPU: 4000, Mem: 4000}}
	at := runner.Target{ID: "a", Addr: i.Addr}
	tm.state.SetRunner(i, now)
	tm.state.HandleReport(at, now, now, &runner.Report{Incarnation: 1, Clock: 1000})
	tm.state.RosterStored(tm.state.Roster(now, false))
	j := &job.Job{ID: "5c0e7a21d94b36f8", Queue: "q", Service: "p", Steps: []job.Step{{Count: 1, Resources: job.Resources{CPU: 1000, Mem: 1}}}}
	tm.state.AddJob(j, 100, nil, 0, now, time.Now())
	plan := func() []sched.Command {
		now = now.Add(time.Second)
		tm.state.Plan(now, time.Now())
		return tm.state.Commands()
	}
	starts := plan()
	if len(starts) != 1 {
		t.Fatalf("commands %v, want a start", starts)
	}
	tm.handleReply(&starts[0], now, runner.Reply{}, nil)
	i.Incarnation, i.Addr = 7, netip.MustParseAddrPort("127.0.0.1:10")
	tm.state.SetRunner(i, now)
	tm.state.PollFailed("a", now)
	tm.state.CancelJob(j.ID, now)
	stops := tm.state.Commands()
	if len(stops) != 1 || stops[0].To.Addr != i.Addr {
		t.Fatalf("commands %v, want a stop at the address of the entry", stops)
	}
	tm.handleReply(&stops[0], now, runner.Reply{Verdict: runner.WrongIncarnation}, nil)
	run := runner.Run{Task: starts[0].Task, Attempt: 1, Percent: 100}
	tm.state.HandleReport(at, now, now, &runner.Report{Incarnation: 1, Clock: 2000, Running: []runner.Run{run}})
	if got := plan(); len(got) != 1 || got[0].Kind != sched.StopRun || got[0].To.Addr != at.Addr {
		t.Errorf("commands %v after the runner replied, want a stop at its own address", got)
	}
}
