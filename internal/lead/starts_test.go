package lead

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
	"gypsumtrestle.example/gypsumtrestle/internal/standin/store"
)

// batchRunners records the starts that it gets in batches.
type batchRunners struct {
	runner.Client
	mu      sync.Mutex
	started map[job.Task]int
}

func (r *batchRunners) StartAll(_ context.Context, _ runner.Target, _ runner.Term, starts []runner.Start) []runner.StartOutcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range starts {
		r.started[s.Task]++
	}
	return make([]runner.StartOutcome, len(starts))
}

// TestManyStartsOnOneRunner guards against starts that are never sent because
// more tasks go to one runner than one message takes: seen on 39 of 40 hunted
// days of hinokage-kyushu, whose runners have 64 cores, as tasks that never ran
// (LOST).
func TestManyStartsOnOneRunner(t *testing.T) {
	tm := newTestTerm(t, &lossyStore{Store: &store.Store{}})
	rs := &batchRunners{started: make(map[job.Task]int)}
	tm.cfg.Runners = rs
	now := clock.Now()
	tm.state.Configure(job.NewConfig(1, []*job.Queue{{Name: "q", Service: "p"}}, []*job.Service{{Name: "p"}}, job.Limits{}))
	tm.state.SetRunner(runner.Info{
		ID: "a", Incarnation: 1, Service: "p", Addr: netip.MustParseAddrPort("127.0.0.1:9"), Capacity: job.Resources{CPU: 64000, Mem: 64000},
	}, now)
	tm.state.HandleReport(runner.Target{ID: "a", Addr: netip.MustParseAddrPort("127.0.0.1:9")}, now, now, &runner.Report{Incarnation: 1, Clock: 1000})
	tm.state.RosterStored(tm.state.Roster(now, false))
	const tasks = 2*maxStarts + 5
	j := &job.Job{ID: "5c0e7a21d94b36f8", Queue: "q", Service: "p", Steps: []job.Step{{Count: tasks, Resources: job.Resources{CPU: 1000, Mem: 1}}}}
	tm.state.AddJob(j, 1<<40, nil, 0, now, time.Now())
	tm.state.Plan(now.Add(time.Second), time.Now())
	tm.send(t.Context(), tm.state.Commands())
	tm.wg.Wait()
	if len(rs.started) != tasks {
		t.Errorf("%d tasks started, want %d", len(rs.started), tasks)
	}
	for task, n := range rs.started {
		if n != 1 {
			t.Errorf("task %v started %d times", task, n)
		}
	}
}
