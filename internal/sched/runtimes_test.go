package sched

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// replayedJob is a job of a replay, with the true run times of its tasks.
type replayedJob struct {
	at      time.Duration
	def     *job.Job
	typical []time.Duration // run times of most tasks, by step
	ran     map[job.Task]time.Duration
}

// replayed returns the jobs of 20 s, of three queues whose tasks take 0.2 s, 0.65 s and
// 1.4 s, which arrive faster than 12 runners of 32 cores can run them. Declared estimates
// are off by the relative error of a queue, or of each job. The tasks of a step differ by
// 20%, and 3% of them take seven times as long.
func replayed(seed uint64, off func(rng *rand.Rand, queue int) float64) []*replayedJob {
	rng := rand.New(rand.NewPCG(7, seed))
	var jobs []*replayedJob
	for at := time.Duration(0); at < 20*time.Second; at += time.Duration(rng.ExpFloat64() * float64(65*time.Millisecond)) {
		n := len(jobs)
		queue := rng.IntN(3)
		base := []float64{0.2, 0.65, 1.4}[queue]
		j := &replayedJob{at: at, ran: make(map[job.Task]time.Duration), def: &job.Job{
			ID: job.ID(fmt.Sprintf("%016x", n)), Queue: fmt.Sprint("q", queue), Service: "pool", Spec: "s", Accepted: time.Unix(0, 0),
		}}
		for i := range 1 + rng.IntN(2) {
			typical := base * (0.8 + 0.4*rng.Float64())
			sp := job.Step{Count: 8, Resources: job.Resources{CPU: 3100, Mem: 100}, Estimate: secondsOf(typical * (1 + off(rng, queue)))}
			if i > 0 {
				sp.DependsOn = []int{0}
			}
			j.def.Steps = append(j.def.Steps, sp)
			j.typical = append(j.typical, secondsOf(typical))
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

// outcomes are what replays led to.
type outcomes struct {
	passes, demand float64 // sum of the demand of the pool in cores, in all passes
	// swapped are the pairs of waiting jobs in another order than that of their true run
	// times, and pairs all of them, each counted by how much their work differs.
	swapped, pairs float64
}

// replayAll replays the jobs of three seeds on 12 runners that are polled every 90 ms, with
// learned run times or with the declared ones alone.
func replayAll(t *testing.T, off func(rng *rand.Rand, queue int) float64, declared bool) (demand, disorder float64) {
	t.Helper()
	var out outcomes
	for seed := range uint64(3) {
		out.add(newReplay(t, 12, 3), replayed(seed, off), declared)
	}
	return out.demand / out.passes, out.swapped / out.pairs
}

func (out *outcomes) add(f *replay, jobs []*replayedJob, declared bool) {
	f.declared = declared
	f.work = func(t job.Task) float64 { return jobs[f.number(t.Job)].ran[t].Seconds() }
	var queues []*job.Queue
	for i := range 3 {
		queues = append(queues, &job.Queue{Name: fmt.Sprint("q", i), Service: "pool", MaxAttempts: 3, Stretch: 1.6, Target: 600 * time.Millisecond})
	}
	f.s.Configure(job.NewConfig(1, queues, []*job.Service{{Name: "pool"}}, job.Limits{}))
	begin := f.now
	for next := 0; next < len(jobs); out.passes++ {
		for ; next < len(jobs) && f.now.Sub(begin) >= jobs[next].at; next++ {
			f.s.AddJob(jobs[next].def, 100, nil, 0, f.now, time.Unix(0, 0))
		}
		f.pass()
		cpu, _ := f.s.desiredCPU("pool", f.now)
		swapped, pairs := f.disorder(jobs)
		out.demand, out.swapped, out.pairs = out.demand+float64(cpu)/1000, out.swapped+swapped, out.pairs+pairs
	}
}

// disorder returns the weight of the pairs of candidates that are in another order than
// that of their true run times, and of all pairs.
func (f *replay) disorder(jobs []*replayedJob) (swapped, all float64) {
	type rank struct {
		class deadlineClass
		work  float64
	}
	truth := func(o *occurrence) rank {
		exact := jobState{terms: o.job.terms, acceptedAt: o.job.acceptedAt}
		var left time.Duration
		var work float64
		for i, st := range o.steps {
			typical := jobs[f.number(o.job.def.ID)].typical[i]
			exact.chain += typical
			if !st.complete() {
				left += typical
			}
			work += float64(len(st.tasks)-st.done) * typical.Seconds()
		}
		return rank{f.s.deadlineClass(&exact, left, f.now), work}
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

// number returns the number that a job ID of a replay is made of.
func (f *replay) number(id job.ID) int {
	n, _ := strconv.ParseInt(string(id), 16, 64)
	return int(n)
}

// TestRunTimesLearned guards against an order of jobs and a demand that follow estimates
// which are off by 0.9 in both directions, and against a replay that does not depend on
// them.
func TestRunTimesLearned(t *testing.T) {
	exact, _ := replayAll(t, func(*rand.Rand, int) float64 { return 0 }, false)
	for name, off := range map[string]func(rng *rand.Rand, queue int) float64{
		"by job":   func(rng *rand.Rand, _ int) float64 { return 0.9 * (2*rng.Float64() - 1) },
		"by queue": func(_ *rand.Rand, queue int) float64 { return []float64{0.9, 0.9, -0.9}[queue] },
	} {
		demand, disorder := replayAll(t, off, false)
		declaredDemand, declared := replayAll(t, off, true)
		t.Logf("%s: disorder %.3f, with declared estimates %.3f; demand %.3f times the true one, with declared estimates %.3f",
			name, disorder, declared, demand/exact, declaredDemand/exact)
		if disorder > 0.1 {
			t.Errorf("%s: %.2f of the pairs of jobs are in another order than that of their true run times, want a tenth", name, disorder)
		}
		if math.Abs(demand/exact-1) > 0.1 {
			t.Errorf("%s: demand is %.2f times that of the true run times, want within a tenth", name, demand/exact)
		}
		if declared <= 0.1 {
			t.Errorf("%s: %.2f of the pairs are in another order by the declared estimates, so that this replay shows nothing", name, declared)
		}
	}
}

// TestRunTimeEvidence guards against run times that are learned from runs that did not
// take the full time of their task, or longer than it takes where it should run.
func TestRunTimeEvidence(t *testing.T) {
	for name, c := range map[string]struct {
		spec   job.Step
		change func(f *fixture, r *run)
		want   int
	}{
		"whole":               {want: 1},
		"another rack":        {spec: job.Step{Rack: "far"}},
		"best effort":         {spec: job.Step{BestEffort: true}},
		"from a checkpoint":   {change: func(_ *fixture, r *run) { r.resumed = true }},
		"start without reply": {change: func(_ *fixture, r *run) { r.startUnknown = true }},
		"being stopped":       {change: func(f *fixture, r *run) { f.s.stop(r, "test") }},
		// The percent of a task that ends is its progress; only best-effort tasks are throttled.
		"in progress":   {change: func(f *fixture, r *run) { f.report("a", runner.Run{Task: r.task.name, Attempt: 1, Percent: 60}) }, want: 1},
		"silent runner": {change: func(f *fixture, _ *run) { f.now += 30 * second }},
	} {
		f := newFixture(t, 1)
		f.runner("a")
		id := f.job(1, c.spec)
		f.accept(f.plan())
		f.now += second
		f.report("a", f.running(f.s.runners["a"])...)
		if c.change != nil {
			c.change(f, f.s.runners["a"].runs[job.Task{Job: id}])
		}
		f.now += second / 10
		f.end("a", job.Task{Job: id}, 1, runner.Done)
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
