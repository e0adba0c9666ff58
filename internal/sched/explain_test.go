package sched

import (
	"fmt"
	"maps"
	"reflect"
	"testing"
	"time"

	"github.com/go-kit/log"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
)

func explained(steps ...job.Step) *job.Job {
	for i := range steps {
		steps[i].Count = max(steps[i].Count, 1)
		if steps[i].Resources == (job.Resources{}) {
			steps[i].Resources = job.Resources{CPU: 1000, Mem: 100}
		}
	}
	return &job.Job{ID: "0000000000000001", Queue: "work", Service: "pool", Spec: "s", Workspace: "w", Steps: steps}
}

// TestExplainChangesNothing guards against an explanation that reserves, starts, caches or
// logs anything. Two leaders get the same jobs in overload, one of which is asked to
// explain jobs in each pass; their states must be equal to the last field.
func TestExplainChangesNothing(t *testing.T) {
	var states [2]*State
	var commands [2]string
	for n, asked := range []bool{false, true} {
		f := newReplay(t, 3, 1)
		f.s.Configure(job.NewConfig(2, []*job.Queue{{Name: "work", Service: "pool", MaxAttempts: 3, Stretch: 2, Target: time.Second}}, []*job.Service{{Name: "pool"}},
			job.Limits{}, &job.Workspace{Name: "w", Cap: job.Resources{CPU: 40000}}))
		f.work = func(job.Task) float64 { return 0.3 }
		for i := range 200 {
			image := fmt.Sprint("image", i%3)
			if i%4 == 0 {
				f.job(i, job.Step{Count: 8, Image: image, Resources: job.Resources{CPU: 3100, Mem: 100}}, job.Step{Image: image, DependsOn: []int{0}})
			}
			if asked {
				j := explained(job.Step{Count: 9, Image: image, Rack: "r"}, job.Step{Count: 3, Gang: true, SameRack: true}, job.Step{LongRunning: true})
				f.s.Logger = log.LoggerFunc(func(kv ...any) error { t.Error(kv...); return nil })
				if _, err := f.s.Explain(j, f.now, time.Unix(0, 0)); err != nil {
					t.Fatal(err)
				}
				f.s.Logger = log.NewNopLogger()
			}
			f.pass()
			commands[n] += fmt.Sprint(f.commands)
		}
		if f.s.runTimes.Len() < 3 || f.s.Stats().Open < 5 {
			t.Fatalf("%d learned run times, %d open jobs, want several", f.s.runTimes.Len(), f.s.Stats().Open)
		}
		states[n] = f.s
	}
	if commands[0] != commands[1] || !reflect.DeepEqual(states[0], states[1]) {
		t.Error("a leader that explained jobs has another state or sent other commands")
	}
}

// TestExplain guards against an explanation that differs from where the job goes, or
// attributes a runner to the wrong obstacle.
func TestExplain(t *testing.T) {
	for name, c := range map[string]struct {
		step     job.Step
		runner   string
		room     int
		why      string
		obstacle map[string]int
	}{
		"packed":  {step: job.Step{Count: 9}, runner: "b", room: 7, why: "[packed]", obstacle: map[string]int{"unusable": 1}},
		"near":    {step: job.Step{Count: 2, Rack: "far"}, runner: "a", room: 2, why: "[near its data packed]", obstacle: map[string]int{"unusable": 1}},
		"full":    {step: job.Step{Resources: job.Resources{CPU: 5000}}, why: "[]", obstacle: map[string]int{"full": 3}},
		"label":   {step: job.Step{Label: "gpu"}, why: "[]", obstacle: map[string]int{"label": 3}},
		"limit":   {step: job.Step{Count: 9, PerRunner: 1}, runner: "b", room: 2, why: "[packed]", obstacle: map[string]int{"unusable": 1}},
		"gang":    {step: job.Step{Count: 4, Gang: true, SameRack: true}, runner: "a", room: 4, why: "[gang: all tasks together in one rack]", obstacle: map[string]int{"unusable": 1}},
		"no gang": {step: job.Step{Count: 9, Gang: true}, room: 7, why: "[no room for all tasks together]", obstacle: map[string]int{"unusable": 1}},
	} {
		f := newFixture(t, 1)
		f.runner("a", "b", "c")
		f.s.runners["a"].Rack, f.s.runners["c"].unreachable = "far", true
		f.s.runners["b"].Capacity.CPU = 3000
		f.s.Configure(job.NewConfig(2, []*job.Queue{{Name: "work", Service: "pool", Stretch: 2, Target: time.Second}}, []*job.Service{{Name: "pool"}}, job.Limits{}))
		c.step.Estimate = time.Second
		e, err := f.s.Explain(explained(c.step, job.Step{DependsOn: []int{0}, Estimate: time.Second}), f.now, time.Unix(0, 0))
		if err != nil {
			t.Fatal(err)
		}
		if x := e.Steps[0]; x.Runner != c.runner || x.Room != c.room || fmt.Sprint(x.Why) != c.why || !maps.Equal(x.Obstacle, c.obstacle) {
			t.Errorf("%s: %+v, want %+v", name, x, c)
		}
		if e.Objective != 5*time.Second || e.Version != 2 || e.Runners != 3 || e.Usable != 2 || len(e.Further) != 1 {
			t.Errorf("%s: %+v, want an objective of 5 s, 2 of 3 runners usable, and a line on the unknown workspace", name, e)
		}
		f.job(1, c.step)
		if starts := ofKind(f.plan(), StartRun); len(starts) != c.room && !c.step.Gang || len(starts) > 0 && string(starts[0].To.ID) != c.runner {
			t.Errorf("%s: %d starts %v, want %d, the first on %q", name, len(starts), starts, c.room, c.runner)
		}
	}
}

// TestExplainCap guards against a cap that is ignored or counted without what runs, and
// work in front of a job that is not counted or counted in the wrong class.
func TestExplainCap(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a")
	w := &job.Workspace{Name: "w", Cap: job.Resources{CPU: 2000}}
	f.s.Configure(job.NewConfig(2, []*job.Queue{{Name: "work", Service: "pool", Stretch: 2, Target: time.Second}}, []*job.Service{{Name: "pool"}}, job.Limits{}, w))
	explain := func(steps ...job.Step) *Explanation {
		e, err := f.s.Explain(explained(steps...), f.now, time.Unix(0, 0))
		if err != nil {
			t.Fatal(err)
		}
		return e
	}
	if e := explain(job.Step{Count: 4}); e.Steps[0].Room != 2 || len(e.Further) > 0 {
		t.Errorf("%+v, want room for 2 below the cap", e)
	}
	if e := explain(job.Step{Resources: job.Resources{CPU: 3000}}); e.Steps[0].Room != 0 || e.Steps[0].Obstacle["cap"] != 1 || len(e.Further) != 1 {
		t.Errorf("%+v, want a task above the cap", e)
	}
	f.job(1, job.Step{Count: 6})
	f.accept(f.plan())
	f.job(2, job.Step{Count: 50})
	e := explain(job.Step{Count: 10, Estimate: time.Second})
	want := []FrontWork{{Class: "long-running"}, {Class: "timely", Jobs: 1, Tasks: 2, Work: 2}, {Class: "late"}, {Class: "long overdue"}}
	if !reflect.DeepEqual(e.Front, want) || e.Steps[0].Obstacle["full"] != 1 {
		t.Errorf("in front %+v, want %+v", e.Front, want)
	}
	f.now += 4 * second
	if e = explain(job.Step{Count: 10, Estimate: time.Second}); e.Front[1].Jobs != 0 {
		t.Errorf("in front %+v, want no timely job after its objective", e.Front)
	}
}
