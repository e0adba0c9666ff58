package sched

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/machine"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// TestWaitingTaskUnreported guards against a long-running task that has no run
// while the log does not tell so, or not why.
func TestWaitingTaskUnreported(t *testing.T) {
	for name, c := range map[string]struct {
		step job.Step
		want string
	}{
		"full":  {job.Step{LongRunning: true, Resources: job.Resources{CPU: 9000, Mem: 1}}, "full 1"},
		"label": {job.Step{LongRunning: true, Label: "gpu"}, "label 1"},
		"limit": {job.Step{Count: 2, LongRunning: true, PerRunner: 1}, "limit 1"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			var lines []string
			f.s.Logger = log.LoggerFunc(func(kv ...any) error {
				lines = append(lines, strings.TrimSuffix(fmt.Sprintln(kv...), "\n"))
				return nil
			})
			f.runner("a")
			f.job(1, c.step)
			f.settle(1)
			f.now += 4 * second
			f.settle(3)
			n := 0
			for _, l := range lines {
				if strings.HasPrefix(l, "msg long-running tasks wait ") && strings.Contains(l, " tasks 1 ") && strings.Contains(l, " why no runner ") && strings.HasSuffix(l, c.want) {
					n++
				}
			}
			if n != 1 || f.s.Stats().Waiting != 1 {
				t.Errorf("%d lines end in %q and %d tasks wait, want one of each; lines %q", n, c.want, f.s.Stats().Waiting, lines)
			}
		})
	}
}

// TestWaitingTaskHidesUnusable guards against a log that does not tell why the runners
// of a pool cannot be used, nor for which runner of the previous term a task waits.
func TestWaitingTaskHidesUnusable(t *testing.T) {
	for name, c := range map[string]struct {
		spoil func(f *fixture)
		want  string
	}{
		"unreachable": {func(f *fixture) { f.s.PollFailed("a", f.now) }, " unusable 1 unreachable 1"},
		"draining":    {func(f *fixture) { f.s.runners["a"].Draining = true }, " unusable 1 draining 1"},
		"withheld": {func(f *fixture) {
			f.s.runners["a"].withheld = 1
			f.s.Configure(job.NewConfig(2, []*job.Queue{{Name: "work", Service: "pool", MaxAttempts: 3, Stretch: 2, Target: time.Second}},
				[]*job.Service{{Name: "pool", EnforcesCapacity: true}, {Name: "off", Standby: true}}, job.Limits{}))
			f.s.SetMachines([]machine.Machine{{ID: "m-a", Pool: "pool", Runner: "a"}}, f.now)
			f.report("a", runner.Run{Task: job.Task{Job: f.job(2, job1)}, Attempt: 1, Percent: 100}) // it cannot be powered off yet
		}, " unusable 1 withheld 1"},
		"not in roster": {func(f *fixture) {
			f.s.storedRoster = nil
			clear(f.s.rostered)
		}, " unusable 1 not_in_roster 1"},
		"previous term": {func(f *fixture) {
			e := RosterEntry{ID: "p", Addr: info("p", "pool").Addr, Incarnation: 1}
			f.s.Term = 101 // later than the job
			f.s.InheritRoster([]RosterEntry{e})
		}, " for_runner p left 11s closed false"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			var line string
			f.s.Logger = log.LoggerFunc(func(kv ...any) error {
				if kv[1] == "long-running tasks wait" {
					line = strings.TrimSuffix(fmt.Sprintln(kv...), "\n")
				}
				return nil
			})
			f.runner("a")
			f.job(1, job.Step{LongRunning: true})
			c.spoil(f)
			f.now += 4*second - clock.BootTime(fullPlanInterval)
			f.plan()
			if !strings.HasSuffix(line, c.want) {
				t.Errorf("line %q, want it to end in %q", line, c.want)
			}
		})
	}
}
