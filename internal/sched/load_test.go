package sched

import (
	"fmt"
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/kv"
)

// TestLoad guards against a view at the start of a term or from old input, and against
// one that counts running work as waiting or leaves out what is free.
func TestLoad(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("r1", "r2") // four cores each
	f.job(1, job.Step{Count: 10}, job.Step{Count: 2, DependsOn: []int{0}})
	f.accept(f.plan())
	if v := f.s.Load(f.now); v != nil {
		t.Errorf("load %+v at the start of the term, want none", v)
	}
	f.now = f.now.Add(loadDelay)
	f.s.InputCurrent(0, f.now)
	v := f.s.Load(f.now)
	if v == nil || len(v.Pools) != 1 || len(v.Pools[0].Classes) != 1 {
		t.Fatalf("load %+v, want one class of one pool", v)
	}
	p := v.Pools[0]
	if c := p.Classes[0]; p.Cores != 8*fillShare || p.Idle != -2 || p.Ready != 2 || c.Timely+c.Late != 4 || c.Left <= 0 {
		t.Errorf("load %+v, want 8 cores, 2 tasks that can start, and 2 that cannot", p)
	}
	if v := f.s.Load(f.now.Add(maxInputAge + 1)); v != nil {
		t.Errorf("load %+v with old input, want none", v)
	}
}

// TestLoadGaps guards against a view in which free memory and cores that no waiting task
// can use count as taken by them, and against one without the peak of the arrivals.
func TestLoadGaps(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("r1") // four cores
	f.job(1, job.Step{Count: 3, Resources: job.Resources{CPU: 3000, Mem: 1}})
	f.accept(f.plan())
	f.now = f.now.Add(loadDelay)
	f.s.InputCurrent(0, f.now)
	v := f.s.Load(f.now)
	if v == nil || len(v.Pools) != 1 {
		t.Fatalf("load %+v, want one pool", v)
	}
	if p := v.Pools[0]; len(p.Gaps) != 1 || p.Gaps[0].CPU != 1000 || p.Gaps[0].Runners != 1 || p.Peak <= 0 {
		t.Errorf("load %+v, want a gap of one core and a peak", p)
	}
}

// TestLoadBeyondShare guards against a view without the rate at which jobs beyond the share
// of a workspace arrive, by which daemons accept more of them than the pool can do.
func TestLoadBeyondShare(t *testing.T) {
	f := newShareReplay(t, 1).fixture
	f.now = f.now.Add(loadDelay)
	f.s.InputCurrent(0, f.now)
	f.accept(f.plan())
	for n := range 200 {
		id := job.ID(fmt.Sprintf("%016x", n+1))
		f.s.AddJob(&job.Job{ID: id, Queue: "work", Service: "pool", Workspace: "w1", Accepted: time.Unix(0, 0), Steps: []job.Step{
			{Count: 2, Resources: job.Resources{CPU: 1000, Mem: 1}, Estimate: replayRunTime},
		}}, 100+kv.Revision(n), nil, 0, f.now, time.Unix(0, 0))
	}
	f.accept(f.plan())
	v := f.s.Load(f.now)
	if v == nil || len(v.Pools) != 1 {
		t.Fatalf("load %+v, want one pool", v)
	}
	rates := make(map[bool]float64)
	for _, c := range v.Pools[0].Classes {
		rates[c.Beyond] += c.Rate
	}
	if rates[true] <= rates[false] {
		t.Errorf("rates of arrival %v by beyond the share, want more beyond it", rates)
	}
}

// TestLoadCountsMoves guards against a pool in a surge whose view lacks the machines that
// are on their way to it.
func TestLoadCountsMoves(t *testing.T) {
	s, now := newScaleState(t, 130, 200)
	s.Plan(now, time.Unix(0, 0))
	moving := make(map[string]float64)
	for _, ms := range s.machineStates {
		moving[ms.movingTo] += float64(ms.Capacity.CPU) / 1000 * fillShare
	}
	now = now.Add(loadDelay)
	s.InputCurrent(0, now)
	v := s.Load(now)
	if v == nil || len(v.Pools) != pools {
		t.Fatalf("load %+v, want that of %d pools", v, pools)
	}
	total := 0.0
	for _, p := range v.Pools {
		cores := 0.0
		for _, a := range p.Arriving {
			cores += a.Cores
		}
		if total += cores; cores < moving[p.Name]-.01 || cores > moving[p.Name]+.01 {
			t.Errorf("%.1f cores on their way to pool %s, want %.1f", cores, p.Name, moving[p.Name])
		}
	}
	if total == 0 {
		t.Error("no machine is on its way")
	}
}

// BenchmarkLoad measures a view of full pools with 500 waiting jobs.
func BenchmarkLoad(b *testing.B) {
	benchmarkPlan(b, func(b *testing.B, n int) {
		s, now := newScaleState(b, n, n*11/100+100)
		s.Plan(now, time.Unix(0, 0))
		now = now.Add(loadDelay)
		s.InputCurrent(0, now)
		waiting := 0
		for _, jobs := range s.open {
			for _, js := range jobs {
				if !js.started {
					waiting++
				}
			}
		}
		for b.Loop() {
			s.Load(now)
		}
		b.ReportMetric(float64(waiting), "waiting")
	})
}
