package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/machine"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

const pools = 5

// newScaleState returns a state with the given number of runners in pools of
// equal size, of which a fifth is powered off and half is in a wave, and with
// open jobs in each pool.
func newScaleState(tb testing.TB, runners, jobsPerPool int) (*State, clock.BootTime) {
	tb.Helper()
	now := 1000 * second
	s := New(1, now, Limits{MaxRunnerLease: 6 * time.Second, OutcomeRetention: time.Minute, MoveTime: 1500 * time.Millisecond}, log.NewNopLogger())
	var queues []*job.Queue
	services := []*job.Service{{Name: "off", Standby: true}}
	for p := range pools {
		name := fmt.Sprint("p", p)
		services = append(services, &job.Service{Name: name})
		queues = append(queues, &job.Queue{Name: name, Service: name, MaxAttempts: 3, Stretch: 1.6, Target: 600 * time.Millisecond})
	}
	s.Configure(job.NewConfig(1, queues, services, job.Limits{}))
	var machines []machine.Machine
	w := machine.Wave{Number: 1, MaxUnavailable: runners / 10, Within: 30 * time.Second}
	for i := range runners {
		id := runner.ID(fmt.Sprintf("r%05d", i))
		m := machine.Machine{ID: machine.ID("m-" + id), Pool: "off", Capacity: job.Resources{CPU: 16000, Mem: 32000}}
		if i%5 != 4 {
			info := info(id, fmt.Sprint("p", i%pools))
			info.Capacity, info.Rack = m.Capacity, fmt.Sprint("rack", i/8)
			s.SetRunner(info, now)
			s.HandleReport(runner.Target{ID: id, Addr: info.Addr}, now, now, &runner.Report{Incarnation: 1, Clock: 1})
			m.Pool, m.Runner = info.Service, id
		}
		machines = append(machines, m)
		if i%2 == 0 {
			w.Machines = append(w.Machines, m.ID)
		}
	}
	s.SetMachines(machines, now)
	s.SetWave(w, false, now, time.Unix(0, 0))
	s.RosterStored(s.Roster(now, false))
	for p := range pools {
		for n := range jobsPerPool {
			j := &job.Job{ID: job.ID(fmt.Sprintf("%08x%08x", p, n)), Queue: fmt.Sprint("p", p), Service: fmt.Sprint("p", p), Accepted: time.Unix(0, 0), Steps: []job.Step{
				{Count: 8, Resources: job.Resources{CPU: 2200 + 100*(n%7), Mem: 2300}, Estimate: 800 * time.Millisecond},
				{Count: 8, Resources: job.Resources{CPU: 2200, Mem: 2300}, Estimate: 800 * time.Millisecond, DependsOn: []int{0}},
			}}
			s.AddJob(j, 100, nil, 0, now, time.Unix(0, 0))
		}
	}
	s.InputCurrent(0, now)
	return s, now
}

// BenchmarkFirstPlan measures the pass that places a surge.
func BenchmarkFirstPlan(b *testing.B) {
	benchmarkPlan(b, func(b *testing.B, n int) {
		for b.Loop() {
			b.StopTimer()
			s, now := newScaleState(b, n, n/5)
			b.StartTimer()
			s.Plan(now, time.Unix(0, 0))
		}
	})
}

// BenchmarkNextPlan measures the passes that follow, with all runners full and
// the same number of jobs waiting.
func BenchmarkNextPlan(b *testing.B) {
	benchmarkPlan(b, func(b *testing.B, n int) {
		s, now := newScaleState(b, n, n/2)
		s.Plan(now, time.Unix(0, 0))
		s.Commands()
		for b.Loop() {
			now = now.Add(10 * time.Millisecond)
			s.InputCurrent(0, now)
			s.Plan(now, time.Unix(0, 0))
			s.Commands()
		}
	})
}

// BenchmarkPlanWaiting measures full passes while long-running tasks of many jobs fit
// nowhere.
func BenchmarkPlanWaiting(b *testing.B) {
	for _, n := range []int{1100, 3000} {
		for _, jobs := range []int{0, 20, 100} {
			b.Run(fmt.Sprint(n, "/", jobs), func(b *testing.B) {
				s, now := newScaleState(b, n, n)
				s.Plan(now, time.Unix(0, 0))
				s.Commands()
				for p := range pools {
					for k := range jobs {
						j := &job.Job{ID: job.ID(fmt.Sprintf("f%07x%08x", p, k)), Queue: fmt.Sprint("p", p), Service: fmt.Sprint("p", p), Accepted: time.Unix(0, 0), Steps: []job.Step{
							{Count: 8, LongRunning: true, PerRunner: 1, Resources: job.Resources{CPU: 12000, Mem: 2300}},
						}}
						s.AddJob(j, 100, nil, 0, now, time.Unix(0, 0))
					}
				}
				for b.Loop() {
					now = now.Add(time.Second)
					s.InputCurrent(0, now)
					s.Plan(now, time.Unix(0, 0))
					s.Commands()
				}
			})
		}
	}
}

// BenchmarkPlanWorkspaces measures passes at 3,000 runners that start one task in each
// pool, with 500 jobs waiting in the given number of workspaces.
func BenchmarkPlanWorkspaces(b *testing.B) {
	for _, workspaces := range []int{0, 20} {
		b.Run(fmt.Sprint(workspaces), func(b *testing.B) {
			s, now := newScaleState(b, 3000, 0)
			for i := range workspaces {
				name := fmt.Sprint("w", i)
				s.cfg.Workspaces[name] = &job.Workspace{Name: name, Weight: 5, Cap: job.Resources{CPU: 1e9, Mem: 1e9}}
			}
			r := job.Resources{CPU: 2200, Mem: 2300}
			for n := range 2392 { // of which the runners hold 1,892; the last pool has none
				pool := fmt.Sprint("p", n%4)
				j := &job.Job{ID: job.ID(fmt.Sprintf("%016x", n)), Queue: pool, Service: pool, Accepted: time.Unix(0, 0), Steps: []job.Step{
					{Count: 8, Resources: r, Estimate: 800 * time.Millisecond}, {Count: 8, Resources: r, Estimate: 800 * time.Millisecond, DependsOn: []int{0}},
				}}
				if workspaces > 0 {
					j.Workspace = fmt.Sprint("w", n/4%workspaces)
				}
				s.AddJob(j, 100, nil, 0, now, time.Unix(0, 0))
			}
			s.Plan(now, time.Unix(0, 0))
			i := 0
			for b.Loop() {
				b.StopTimer()
				for p := range 4 {
					l := s.byPool[fmt.Sprint("p", p)]
					for _, r := range runsOf(l[i%len(l)]) { // it may leave for the wave
						r.runner.remove(r)
						break
					}
				}
				i++
				now = now.Add(10 * time.Millisecond)
				s.InputCurrent(0, now)
				b.StartTimer()
				s.Plan(now, time.Unix(0, 0))
				s.Commands()
			}
		})
	}
}

// BenchmarkLoseAll measures the loss of all runners at once.
func BenchmarkLoseAll(b *testing.B) {
	for _, n := range []int{1100, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				s, now := newScaleState(b, n, 1)
				b.StartTimer()
				for id := range s.runners {
					s.PollFailed(id, now)
				}
			}
		})
	}
}

func benchmarkPlan(b *testing.B, f func(b *testing.B, n int)) {
	for _, n := range []int{130, 1100, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { f(b, n) })
	}
}
