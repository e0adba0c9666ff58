package sched

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/go-kit/log"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// replayedJob is a job of a replay, with the true run times of its tasks.
type replayedJob struct {
	at       time.Duration
	def      *job.Job
	declared []time.Duration // by step, as the caller declares it
	typical  []time.Duration // by step, of most tasks
	ran      map[job.Task]time.Duration
}

// replayed returns the jobs of 20 s, of three queues whose tasks take 0.2 s, 0.65 s and
// 1.4 s, which arrive faster than 6 runners of 32 cores can run them. Declared estimates
// are off by the relative error of a queue, or of each job. The tasks of a step differ by
// 20%, and 3% of them take seven times as long.
func replayed(seed uint64, off func(rng *rand.Rand, queue int) float64) []*replayedJob {
	rng := rand.New(rand.NewPCG(7, seed))
	var jobs []*replayedJob
	for at := time.Duration(0); at < 20*time.Second; at += time.Duration(rng.ExpFloat64() * float64(130*time.Millisecond)) {
		n := len(jobs)
		queue := rng.IntN(3)
		base := []float64{0.2, 0.65, 1.4}[queue]
		j := &replayedJob{at: at, ran: make(map[job.Task]time.Duration), def: &job.Job{
			ID: job.ID(fmt.Sprintf("%016x", n)), Queue: fmt.Sprint("q", queue), Service: "pool", Spec: "s", Accepted: time.Unix(0, 0),
		}}
		for i := range 1 + rng.IntN(2) {
			typical := base * (0.8 + 0.4*rng.Float64())
			declared := typical * (1 + off(rng, queue))
			sp := job.Step{Count: 8, Resources: job.Resources{CPU: 3100, Mem: 100}, Estimate: secondsOf(declared)}
			if i > 0 {
				sp.DependsOn = []int{0}
			}
			j.def.Steps = append(j.def.Steps, sp)
			j.declared, j.typical = append(j.declared, sp.Estimate), append(j.typical, secondsOf(typical))
			for k := range sp.Count {
				ran := typical * (0.8 + 0.4*rng.Float64())
				if rng.Float64() < 0.03 {
					ran *= 7
				}
				j.ran[job.Task{Job: j.def.ID, Step: i, Index: k}] = secondsOf(ran)
			}
		}
		jobs = append(jobs, j)
	}
	return jobs
}

func secondsOf(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// outcomes are what a replay led to.
type outcomes struct {
	demand float64 // sum of the demand of the pool in cores, in all passes
	passes float64
	// swapped are the pairs of waiting jobs in another order than that of their true run
	// times, and pairs all of them, each counted by how much their work differs.
	swapped, pairs float64
}

func (o outcomes) disorder() float64 { return o.swapped / o.pairs }

// replayAll replays the jobs of three seeds.
func replayAll(t *testing.T, off func(rng *rand.Rand, queue int) float64, percent int) outcomes {
	t.Helper()
	var sum outcomes
	for seed := range uint64(3) {
		o := replayOn(t, replayed(seed, off), percent)
		sum = outcomes{sum.demand + o.demand, sum.passes + o.passes, sum.swapped + o.swapped, sum.pairs + o.pairs}
	}
	return sum
}

// replayOn runs jobs on 6 runners that are polled every 90 ms. Runs that are reported
// below full speed are no evidence, so that nothing is learned from them.
func replayOn(t *testing.T, jobs []*replayedJob, percent int) outcomes {
	t.Helper()
	f := newFixture(t, 1)
	f.s.Logger = log.NewNopLogger()
	var queues []*job.Queue
	for i := range 3 {
		queues = append(queues, &job.Queue{Name: fmt.Sprint("q", i), Service: "pool", MaxAttempts: 3, Stretch: 1.6, Target: 600 * time.Millisecond})
	}
	f.s.Configure(job.NewConfig(1, queues, []*job.Service{{Name: "pool"}}, job.Limits{}))
	var ids []runner.ID
	for i := range 6 {
		in := info(runner.ID(fmt.Sprint("r", i)), "pool")
		in.Capacity = job.Resources{CPU: 32000, Mem: 64000}
		f.s.SetRunner(in, f.now)
		ids = append(ids, in.ID)
		f.report(in.ID)
	}
	f.s.RosterStored(f.s.Roster(f.now, false))
	ran, accepted := make(map[job.Task]time.Duration), make(map[job.ID]bool)
	ends, seq := make(map[runner.ID]map[job.Task]clock.BootTime), make(map[runner.ID]int)
	var out outcomes
	begin, next, done := f.now, 0, 0
	for pass := 0; done < len(jobs) && f.now.Sub(begin) < 2*time.Minute; pass++ {
		for ; next < len(jobs) && f.now.Sub(begin) >= jobs[next].at; next++ {
			def := *jobs[next].def
			accepted[def.ID] = true
			for k, d := range jobs[next].ran {
				ran[k] = d
			}
			f.s.AddJob(&def, 100, nil, 0, f.now, time.Unix(0, 0))
		}
		for _, c := range f.plan() {
			if c.Kind != StartRun {
				t.Fatalf("command %v, want starts alone", c)
			}
			if ends[c.To.ID] == nil {
				ends[c.To.ID] = make(map[job.Task]clock.BootTime)
			}
			ends[c.To.ID][c.Task] = f.now.Add(ran[c.Task])
			f.accept([]Command{c})
		}
		for i, id := range ids {
			if pass%3 != i%3 {
				continue
			}
			var runs []runner.Run
			for _, task := range sortedTasks(ends[id]) {
				if ends[id][task] <= f.now {
					seq[id]++
					f.results[id] = append(f.results[id], runner.RunResult{Seq: seq[id], Task: task, Attempt: 1})
					delete(ends[id], task)
				} else {
					runs = append(runs, runner.Run{Task: task, Attempt: 1, Percent: percent})
				}
			}
			f.report(id, runs...)
			f.results[id] = nil // all are stored, and acknowledged by the next poll
		}
		f.flush()
		for id := range accepted {
			if f.s.Query(id).Outcome == job.Completed {
				delete(accepted, id)
				done++
			}
		}
		if next < len(jobs) {
			cpu, _ := f.s.desiredCPU("pool", f.now)
			out.demand += float64(cpu) / 1000
			out.passes++
			swapped, pairs := f.disorder(jobs)
			out.swapped, out.pairs = out.swapped+swapped, out.pairs+pairs
		}
	}
	if done < len(jobs) {
		t.Fatalf("%d of %d jobs completed", done, len(jobs))
	}
	return out
}

// disorder returns the weight of the pairs of candidates that are in another order than
// that of their true run times, and of all pairs.
func (f *fixture) disorder(jobs []*replayedJob) (swapped, all float64) {
	type rank struct {
		class deadlineClass
		work  float64
	}
	truth := func(o *occurrence) rank {
		j := jobs[f.number(o.job.def.ID)]
		var chain, left time.Duration
		var work float64
		for i, st := range o.steps {
			chain += j.typical[i]
			if !st.complete() {
				left += j.typical[i]
			}
			work += float64(len(st.tasks)-st.done) * j.typical[i].Seconds()
		}
		switch ob, t := o.job.terms.Objective(chain), f.now.Sub(o.job.acceptedAt)+left; {
		case t <= ob:
			return rank{timely, work}
		case t <= longOverdueFactor*ob:
			return rank{late, work}
		}
		return rank{longOverdue, work}
	}
	cs := f.s.candidates(f.s.open["pool"], job.Resources{CPU: 1e6, Mem: 1e6}, f.now)
	for i := range cs {
		a := truth(cs[i].occ)
		for k := range i {
			b := truth(cs[k].occ)
			weight := math.Abs(a.work-b.work) / max(a.work, b.work)
			if a.class != b.class {
				weight = 1
			}
			all += weight
			if b.class > a.class || b.class == a.class && b.work > a.work {
				swapped += weight
			}
		}
	}
	return swapped, all
}

// number returns the number that a job ID of a fixture is made of.
func (f *fixture) number(id job.ID) int {
	n, err := strconv.ParseInt(string(id), 16, 64)
	if err != nil {
		f.t.Fatal(err)
	}
	return int(n)
}

// TestRunTimesLearned guards against an order of jobs and a demand that follow estimates
// which are off by 0.9 in both directions, and against a replay that does not depend on
// them.
func TestRunTimesLearned(t *testing.T) {
	exact := replayAll(t, func(*rand.Rand, int) float64 { return 0 }, 100)
	for name, off := range map[string]func(rng *rand.Rand, queue int) float64{
		"by job":   func(rng *rand.Rand, _ int) float64 { return 0.9 * (2*rng.Float64() - 1) },
		"by queue": func(_ *rand.Rand, queue int) float64 { return []float64{0.9, 0.9, -0.9}[queue] },
	} {
		learned, declared := replayAll(t, off, 100), replayAll(t, off, 50)
		l, d, demand := learned.disorder(), declared.disorder(), learned.demand/learned.passes/(exact.demand/exact.passes)
		t.Logf("%s: disorder %.3f, with declared estimates %.3f; demand %.3f times the true one, with declared estimates %.3f",
			name, l, d, demand, declared.demand/declared.passes/(exact.demand/exact.passes))
		if l > 0.1 {
			t.Errorf("%s: %.2f of the pairs of jobs are in another order than that of their true run times, want a tenth", name, l)
		}
		if math.Abs(demand-1) > 0.1 {
			t.Errorf("%s: demand is %.2f times that of the true run times, want within a tenth", name, demand)
		}
		if d <= 0.1 {
			t.Errorf("%s: %.2f of the pairs are in another order by the declared estimates, so that this replay shows nothing", name, d)
		}
	}
}

// TestRunTimeEvidence guards against run times that are learned from runs that did not
// take the full time of their task, or longer than it takes where it should run.
func TestRunTimeEvidence(t *testing.T) {
	for name, c := range map[string]struct {
		spec job.Step
		end  func(f *fixture, r *run, at runner.Target)
		want int
	}{
		"whole":               {end: func(*fixture, *run, runner.Target) {}, want: 1},
		"another rack":        {spec: job.Step{Rack: "far"}, end: func(*fixture, *run, runner.Target) {}},
		"best effort":         {spec: job.Step{BestEffort: true}, end: func(*fixture, *run, runner.Target) {}},
		"from a checkpoint":   {end: func(_ *fixture, r *run, _ runner.Target) { r.resumed = true }},
		"start without reply": {end: func(_ *fixture, r *run, _ runner.Target) { r.startUnknown = true }},
		"being stopped":       {end: func(f *fixture, r *run, _ runner.Target) { f.s.stop(r, "test") }},
		"throttled": {end: func(f *fixture, r *run, at runner.Target) {
			f.report(at.ID, runner.Run{Task: r.task.name, Attempt: r.attempt, Percent: 60})
		}},
		"silent runner": {end: func(f *fixture, _ *run, _ runner.Target) { f.now += 30 * second }},
	} {
		f := newFixture(t, 1)
		f.runner("a")
		id := f.job(1, c.spec)
		starts := f.plan()
		f.accept(starts)
		f.now += second
		f.report("a", f.running(f.s.runners["a"])...)
		r := f.s.runners["a"].runs[starts[0].Task]
		c.end(f, r, starts[0].To)
		f.now += second / 10
		f.end("a", starts[0].Task, 1, runner.Done)
		f.report("a")
		if got := f.s.runTimes.Len(); got != c.want || f.outcome(id) != job.Completed {
			t.Errorf("%s: %d run times learned, want %d", name, got, c.want)
		}
	}
}

// TestObjectiveKeepsStill guards against a job whose objective, and with it its deadline
// class, changes from pass to pass while its tasks run longer than declared.
func TestObjectiveKeepsStill(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a")
	id := f.job(1, job.Step{Count: 4, Estimate: time.Second / 5})
	changes, chain := 0, f.s.jobs[id].chain
	for range 100 { // 3 s
		f.accept(f.plan())
		f.report("a", f.running(f.s.runners["a"])...)
		f.s.remaining(f.s.jobs[id].occs[0], f.now)
		if got := f.s.jobs[id].chain; got != chain {
			changes, chain = changes+1, got
		}
	}
	if changes == 0 || changes > 3 || chain < 2*time.Second {
		t.Errorf("objective changed %d times in 3 s, to a chain of %v, want 1 to 3 times, to at least 2 s", changes, chain)
	}
}
