package lead

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
	"gypsumtrestle.example/gypsumtrestle/internal/standin/store"
)

// countingRunners counts the polls and starts that it gets, and those with a send
// deadline that has not passed.
type countingRunners struct {
	runner.Client
	calls, starts, inTime atomic.Int64
}

func (r *countingRunners) count(ctx context.Context) {
	r.calls.Add(1)
	if runner.SendDeadline(ctx).After(clock.Now()) {
		r.inTime.Add(1)
	}
}

func (r *countingRunners) Start(ctx context.Context, _ runner.Target, _ runner.Term, _ runner.Start) (runner.Reply, error) {
	r.starts.Add(1)
	r.count(ctx)
	return runner.Reply{}, nil
}

func (r *countingRunners) Poll(ctx context.Context, _ runner.Target, _ runner.Term, _ runner.PollRequest) (*runner.Report, runner.Reply, error) {
	r.count(ctx)
	return nil, runner.Reply{}, runner.ErrNoResponse
}

// countingBatcher also gets several starts at once.
type countingBatcher struct{ countingRunners }

func (r *countingBatcher) StartAll(ctx context.Context, _ runner.Target, _ runner.Term, starts []runner.Start) []runner.StartOutcome {
	r.starts.Add(1)
	r.count(ctx)
	return make([]runner.StartOutcome, len(starts))
}

// TestOverdueLeaderSends guards against a leader that was paused for longer than
// RenewDeadline and then sends polls and starts until it notices that it has lost its
// key, or starts for longer than StartDeadline: the next leader counts on their end.
func TestOverdueLeaderSends(t *testing.T) {
	one, several := &countingRunners{}, &countingBatcher{}
	for _, c := range []struct {
		name    string
		age     time.Duration // of the last renewal
		runners runner.Client
		counted *countingRunners
	}{
		{"renewed", StartDeadline - time.Second, one, one},
		{"renewed, batch", StartDeadline - time.Second, several, &several.countingRunners},
		{"too old for starts", StartDeadline, one, one},
		{"too old for starts, batch", StartDeadline, several, &several.countingRunners},
		{"overdue", RenewDeadline, one, one},
		{"overdue, batch", RenewDeadline, several, &several.countingRunners},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.counted.calls.Store(0)
			c.counted.starts.Store(0)
			c.counted.inTime.Store(0)
			tm := newTestTerm(t, &lossyStore{Store: &store.Store{}})
			tm.cfg.Runners = c.runners
			now := clock.Now()
			at := runner.Target{ID: "a", Addr: netip.MustParseAddrPort("127.0.0.1:9")}
			tm.state.Configure(job.NewConfig(1, []*job.Queue{{Name: "q", Service: "p"}}, []*job.Service{{Name: "p"}}, job.Limits{}))
			tm.state.SetRunner(runner.Info{ID: at.ID, Incarnation: 1, Service: "p", Addr: at.Addr, Capacity: job.Resources{CPU: 4000, Mem: 4000}}, now)
			tm.state.HandleReport(at, now, now, &runner.Report{Incarnation: 1, Clock: 1000})
			tm.state.RosterStored(tm.state.Roster(now, false))
			j := &job.Job{ID: "5c0e7a21d94b36f8", Queue: "q", Service: "p", Steps: []job.Step{{Count: 1, Resources: job.Resources{CPU: 1000, Mem: 1}}}}
			tm.state.AddJob(j, 1<<40, nil, 0, now, time.Now())
			tm.state.Plan(now.Add(time.Second), time.Now())
			tm.renewed.Store(int64(now.Add(-c.age)))
			for _, send := range []func(context.Context){
				func(ctx context.Context) { tm.send(ctx, tm.state.Commands()) },
				func(ctx context.Context) { tm.poll(ctx, at.ID, nil) }, // the polls fail
			} {
				ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
				send(ctx)
				tm.wg.Wait()
				cancel()
			}
			calls, starts, inTime := c.counted.calls.Load(), c.counted.starts.Load(), c.counted.inTime.Load()
			if c.age < RenewDeadline && (calls == starts || inTime != calls) {
				t.Errorf("%d polls, %d of %d calls with a send deadline to come, want polls and all", calls-starts, inTime, calls)
			}
			if started := starts > 0; started != (c.age < StartDeadline) {
				t.Errorf("%d starts when the last renewal is %v old", starts, c.age)
			}
			if c.age >= RenewDeadline && calls > 0 {
				t.Errorf("%d calls, want none: the last renewal is %v old", calls, c.age)
			}
		})
	}
}
