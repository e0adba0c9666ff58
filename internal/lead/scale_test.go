package lead_test

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"net/netip"
	"runtime/pprof"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/entry"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/lead"
	"gypsumtrestle.example/gypsumtrestle/internal/relay"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
	"gypsumtrestle.example/gypsumtrestle/internal/standin/store"
)

const (
	zones         = 5
	relaysPerZone = 8
	taskTime      = 800 * time.Millisecond
	openJobs      = 500
)

// timedRunners are runners whose tasks end as done after taskTime.
type timedRunners struct {
	mu   sync.Mutex
	byID map[runner.ID]*timedRunner
}

type timedRunner struct {
	running map[job.Task]time.Time // when each ends
	results []runner.RunResult
	acked   int
	changed chan struct{}
}

func (r *timedRunners) get(id runner.ID) *timedRunner {
	t := r.byID[id]
	if t == nil {
		t = &timedRunner{running: make(map[job.Task]time.Time), changed: make(chan struct{}, 1)}
		r.byID[id] = t
	}
	return t
}

func wallClock() clock.RunnerTime { return clock.RunnerTime(time.Now().UnixMilli()) }

func (r *timedRunners) Start(_ context.Context, to runner.Target, _ runner.Term, s runner.Start) (runner.Reply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.get(to.ID).running[s.Task] = time.Now().Add(taskTime)
	return runner.Reply{Clock: wallClock()}, nil
}

func (r *timedRunners) Stop(context.Context, runner.Target, runner.Term, job.Task, int) (runner.Reply, error) {
	return runner.Reply{Clock: wallClock()}, nil
}

func (r *timedRunners) Throttle(context.Context, runner.Target, runner.Term, job.Task, int, int) (runner.Reply, error) {
	return runner.Reply{Clock: wallClock()}, nil
}

func (r *timedRunners) Poll(ctx context.Context, to runner.Target, _ runner.Term, q runner.PollRequest) (*runner.Report, runner.Reply, error) {
	end := time.Now().Add(q.Wait)
	for {
		rep, next := r.report(to.ID, q.Acked)
		if len(rep.Results) > 0 || !time.Now().Before(end) {
			return rep, runner.Reply{Clock: rep.Clock}, nil
		}
		if next.IsZero() || next.After(end) {
			next = end
		}
		select {
		case <-ctx.Done():
			return nil, runner.Reply{}, errors.Wrap(runner.ErrNoResponse, "poll canceled")
		case <-time.After(time.Until(next)):
		}
	}
}

func (r *timedRunners) report(id runner.ID, acked int) (*runner.Report, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.get(id)
	t.acked = max(t.acked, acked)
	var next time.Time
	now := time.Now()
	rep := &runner.Report{Incarnation: 1, Clock: wallClock()}
	for task, end := range t.running {
		if !end.After(now) {
			delete(t.running, task)
			t.results = append(t.results, runner.RunResult{Seq: len(t.results) + 1, Task: task, Attempt: 1, Cause: runner.Done})
			continue
		}
		if next.IsZero() || end.Before(next) {
			next = end
		}
		rep.Running = append(rep.Running, runner.Run{Task: task, Attempt: 1, Percent: 100, Load: 2200, ReportsLoad: true})
	}
	rep.Results = append(rep.Results, t.results[t.acked:]...)
	return rep, next
}

// BenchmarkLeader measures the processor time of a leader, its relays and the
// stand-ins for a job of eight tasks.
func BenchmarkLeader(b *testing.B) {
	for _, n := range []int{130, 1100, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchmarkLeader(b, n) })
	}
}

func benchmarkLeader(b *testing.B, n int) {
	st := &store.Store{}
	rs := &timedRunners{byID: make(map[runner.ID]*timedRunner)}
	for i := range n {
		st.Put(fmt.Sprintf("%sr%04d", runnersPrefix, i), nil)
	}
	s := &system{}
	cfg := s.config(0)
	cfg.Store = st
	cfg.Registry.Decode = func(key string, _ []byte) (*runner.Info, error) {
		id := runner.ID(key[len(runnersPrefix):])
		var k int
		if _, err := fmt.Sscanf(string(id), "r%d", &k); err != nil {
			return nil, err
		}
		return &runner.Info{
			ID: id, Incarnation: 1, Service: "p", Zone: fmt.Sprint(k % zones), Rack: fmt.Sprint(k / 8), Addr: netip.MustParseAddrPort("127.0.0.1:1"),
			Capacity: job.Resources{CPU: 16000, Mem: 32000},
		}, nil
	}
	pool := &relay.Pool{Direct: rs, Logger: log.NewNopLogger(), CallDirectly: func() bool { return false }}
	cfg.Runners = pool
	cfg.Logger = log.With(log.NewLogfmtLogger(io.Discard), "at", log.DefaultTimestampUTC, "host", "h")
	l := lead.New(cfg)
	w := entry.NewJobWriter(st, log.NewNopLogger())
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	spawn := func(side string, f func(context.Context) error) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			pprof.Do(ctx, pprof.Labels("side", side), func(ctx context.Context) { _ = f(ctx) })
		}()
	}
	var srv *httptest.Server
	pprof.Do(ctx, pprof.Labels("side", "leader"), func(context.Context) { srv = httptest.NewServer(pool.Handler()) })
	at := netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))
	for z := range zones {
		for k := range relaysPerZone {
			wk := &relay.Worker{
				Name: fmt.Sprintf("h%d-%d", z, k), Zone: fmt.Sprint(z), RelativeCapacity: 1, Runners: rs, Logger: log.NewNopLogger(),
				Leader: func() (netip.AddrPort, <-chan struct{}) { return at, nil },
			}
			spawn("relay", wk.Run)
		}
	}
	spawn("writer", w.Run)
	spawn("leader", l.Run)
	defer func() {
		cancel()
		wg.Wait()
		srv.CloseClientConnections()
		srv.Close()
	}()
	for l.Stats().Reachable < n {
		time.Sleep(50 * time.Millisecond)
	}
	var before, after syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &before)
	b.ResetTimer()
	sem := make(chan struct{}, openJobs)
	var jobs sync.WaitGroup
	for i := range b.N {
		sem <- struct{}{}
		jobs.Add(1)
		go func() {
			defer jobs.Done()
			defer func() { <-sem }()
			id := job.ID(fmt.Sprintf("%016x", i))
			j := &job.Job{ID: id, Queue: "q", Service: "p", Spec: strings.Repeat("x", 75), Accepted: time.Now(), Steps: []job.Step{
				{Count: 8, Resources: job.Resources{CPU: 2200, Mem: 2300}, Estimate: taskTime},
			}}
			for w.Submit(ctx, j, time.Now().Add(limit)) != entry.Accepted {
				time.Sleep(10 * time.Millisecond)
			}
			for {
				if st, _ := l.Query(id); st.Outcome == job.Completed {
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	jobs.Wait()
	b.StopTimer()
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &after)
	used := after.Utime.Nano() - before.Utime.Nano() + after.Stime.Nano() - before.Stime.Nano()
	b.ReportMetric(float64(used)/1e3/float64(b.N)/8, "us-cpu/task")
}
