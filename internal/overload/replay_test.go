package overload

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
)

const (
	tick        = 10 * time.Millisecond
	poolCores   = 2240.0
	daemons     = 40
	storeTime   = 60 * time.Millisecond  // from acceptance until the leader has a job
	inputTime   = 300 * time.Millisecond // from acceptance until a view surely has it
	viewCache   = 200 * time.Millisecond
	viewRefresh = 250 * time.Millisecond
	surgeFrom   = 2 * time.Second
	surgeUntil  = 8 * time.Second
	lastArrival = 20 * time.Second
	replayEnd   = 50 * time.Second
	taskCores   = 3.1
	tasks       = 8
)

// simJob is a job of the replay: steps of equal tasks, one after the other.
type simJob struct {
	Job
	priority int
	steps    []time.Duration // run time of each task, by step
	first    time.Duration   // of the first attempt
	attempts int
	at       time.Duration // of the last attempt
	accepted time.Duration
	ended    time.Duration // 0: not
	step     int
	waiting  int // tasks of the present step without a run
	running  int
}

func (j *simJob) remaining() (work float64, chain time.Duration) {
	per := j.Chain / time.Duration(len(j.steps))
	n := j.waiting + tasks*(len(j.steps)-1-j.step)
	return float64(n) * taskCores * per.Seconds(), per * time.Duration(len(j.steps)-j.step)
}

type simRun struct {
	job *simJob
	end time.Duration
}

// replay is one pool that the leader plans every tick, and the daemons before it.
type replay struct {
	rnd       *rand.Rand
	now       time.Duration
	free      float64
	stored    []*simJob // accepted, and not ended
	runs      []simRun
	rates     map[Rank]*[2]float64 // arrivals by rank, over a short and a long window
	peak      float64
	peakAt    time.Duration
	cached    *View
	cachedAt  time.Duration
	views     [daemons]*View
	viewAt    [daemons]time.Duration
	own       [daemons][]*simJob
	rejected  []*simJob // given up by their callers
	retries   map[time.Duration]int
	idle      int           // rejections while capacity was idle
	noView    bool          // the daemons have no views
	repeats   int           // how often a caller repeats a rejected submission
	delay     time.Duration // added to the age of the views
	completed []*simJob
}

// view is what sched computes from the state of the pool.
func (r *replay) view() *View {
	p := Pool{Name: "p", Cores: poolCores, Idle: r.free}
	for _, j := range r.stored {
		if j.accepted+storeTime > r.now {
			continue
		}
		work, chain := j.remaining()
		age := r.now - j.accepted
		if work == 0 || age+chain > ValueFactor*j.Objective {
			continue
		}
		w := Waiting{Rank: Rank{Priority: j.priority, Size: Size(work)}, Work: work, Cores: float64(j.waiting) * taskCores, Ready: float64(j.waiting) * taskCores * j.steps[0].Seconds(), Late: age+chain > j.Objective}
		if j.waiting > 0 {
			w.Left = max(Left(j.Objective, age, chain), 0)
		}
		p.Add(w)
	}
	for rank, a := range r.rates {
		p.SetRate(rank, max(a[0], (a[0]+a[1])/2))
	}
	rate := 0.0
	for _, c := range p.Classes {
		rate += c.Rate
	}
	if rate >= r.peak || r.now-r.peakAt > PeakTime {
		r.peak, r.peakAt = rate, r.now
	}
	p.Peak = r.peak
	return &View{Term: 1, Pools: []Pool{p}}
}

// plan ends runs and starts tasks in the order of the scheduler.
func (r *replay) plan() {
	r.runs = slices.DeleteFunc(r.runs, func(x simRun) bool {
		if x.end > r.now {
			return false
		}
		j := x.job
		r.free += taskCores
		if j.running--; j.running+j.waiting > 0 {
			return true
		}
		if j.step++; j.step == len(j.steps) {
			j.step, j.ended = j.step-1, r.now
			r.completed = append(r.completed, j)
		} else {
			j.waiting = tasks
		}
		return true
	})
	r.stored = slices.DeleteFunc(r.stored, func(j *simJob) bool { return j.ended > 0 })
	class := func(j *simJob) int {
		_, chain := j.remaining()
		switch t := r.now - j.accepted + chain; {
		case t <= j.Objective:
			return 0
		case t <= ValueFactor*j.Objective:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(r.stored, func(a, b *simJob) int {
		wa, _ := a.remaining()
		wb, _ := b.remaining()
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(class(a), class(b)), cmp.Compare(wa, wb))
	})
	for _, j := range r.stored {
		for j.accepted+storeTime <= r.now && j.waiting > 0 && r.free >= taskCores {
			r.free -= taskCores
			j.waiting, j.running = j.waiting-1, j.running+1
			took := time.Duration(float64(j.steps[j.step]) * (0.85 + 0.3*r.rnd.Float64()))
			r.runs = append(r.runs, simRun{j, r.now + took})
		}
	}
}

// submit lets a daemon decide on a job.
func (r *replay) submit(j *simJob) (again bool) {
	d := r.rnd.IntN(daemons)
	r.own[d] = slices.DeleteFunc(r.own[d], func(x *simJob) bool { return x.accepted+inputTime < r.viewAt[d] })
	var unseen []Job
	for _, x := range r.own[d] {
		unseen = append(unseen, x.Job)
	}
	decision := r.views[d].Decide(&j.Job, r.now-r.viewAt[d]+r.delay, unseen)
	if !decision.Reject {
		j.accepted, j.waiting = r.now, tasks
		r.own[d] = append(r.own[d], j)
		r.stored = append(r.stored, j)
		k := Rank{Priority: j.priority, Size: Size(j.Work)}
		if r.rates[k] == nil {
			r.rates[k] = new([2]float64)
		}
		a := r.rates[k]
		a[0] += j.Work / 0.4
		a[1] += j.Work / 1.5
		return false
	}
	free := r.free
	for _, x := range r.stored {
		free -= float64(x.waiting) * taskCores
	}
	if free >= j.Cores {
		r.idle++
	}
	r.retries[decision.RetryAfter]++
	j.at = r.now + decision.RetryAfter
	if j.attempts++; j.attempts > r.repeats {
		r.rejected = append(r.rejected, j)
		return false
	}
	return true
}

func (r *replay) newJob(n, priority int) *simJob {
	steps := 1
	if r.rnd.Float64() < 0.6 {
		steps = 2
	}
	per := 500*time.Millisecond + time.Duration(r.rnd.Int64N(int64(300*time.Millisecond)))
	j := &simJob{priority: priority, first: r.now, at: r.now}
	j.Job = Job{
		ID: job.ID(fmt.Sprintf("%016x", n)), Pool: "p", Priority: priority, Chain: per * time.Duration(steps),
		Work: float64(steps) * tasks * taskCores * per.Seconds(), Cores: tasks * taskCores,
	}
	j.Objective = time.Duration(1.6*float64(j.Chain)) + 600*time.Millisecond
	for range steps {
		j.steps = append(j.steps, per)
	}
	return j
}

// run plays a surge of the given multiple of the capacity for each priority.
func (r *replay) run(surge map[int]float64) {
	r.free, r.rates, r.retries = poolCores, map[Rank]*[2]float64{}, map[time.Duration]int{}
	meanWork := 1.6 * 0.65 * tasks * taskCores
	var waiting []*simJob // callers that wait to send a job
	due := map[int]float64{}
	n := 0
	for ; r.now < replayEnd; r.now += tick {
		for _, prio := range slices.Sorted(maps.Keys(surge)) { // the same order in each run
			load := surge[prio]
			if r.now < surgeFrom {
				load = 0.5 / float64(len(surge))
			} else if r.now >= surgeUntil {
				load /= 100
			}
			if r.now >= lastArrival {
				load = 0
			}
			for due[prio] += load * poolCores / meanWork * tick.Seconds(); due[prio] >= 1; due[prio]-- {
				n++
				waiting = append(waiting, r.newJob(n, prio))
			}
		}
		for _, a := range r.rates {
			a[0] *= 1 - tick.Seconds()/0.4
			a[1] *= 1 - tick.Seconds()/1.5
		}
		r.plan()
		for d := range daemons {
			if r.noView || (r.now+viewRefresh*time.Duration(d)/daemons)%viewRefresh >= tick {
				continue
			}
			if r.cached == nil || r.now-r.cachedAt >= viewCache {
				r.cached, r.cachedAt = r.view(), r.now
			}
			r.views[d], r.viewAt[d] = r.cached, r.cachedAt
		}
		waiting = slices.DeleteFunc(waiting, func(j *simJob) bool { return j.at <= r.now && !r.submit(j) })
	}
}

// served returns the number of completed jobs, of those within their objective and of
// those later than three times it. since is when the objective counts from.
func (r *replay) served(since func(*simJob) time.Duration) (all, inTime, tooLate int) {
	for _, j := range r.completed {
		switch t := j.ended - since(j); {
		case t <= j.Objective:
			inTime++
		case t > ValueFactor*j.Objective:
			tooLate++
		}
	}
	return len(r.completed), inTime, tooLate
}

func accepted(j *simJob) time.Duration { return j.accepted }
func first(j *simJob) time.Duration    { return j.first }

func newReplay(seed uint64) *replay { return &replay{rnd: rand.New(rand.NewPCG(seed, 1))} }

// TestReplay guards against jobs that are accepted in a surge and completed when they
// have no value any more, against rejections while capacity is idle, and against rejected
// callers that return at the same time.
func TestReplay(t *testing.T) {
	for _, surge := range []map[int]float64{{0: 5}, {0: 0.7, 1: 4.3}, {0: 1.5}} {
		for seed := range uint64(4) {
			r := newReplay(seed)
			r.run(surge)
			r.check(t, surge)
			total := 0
			for _, n := range r.retries {
				total += n
			}
			for after, n := range r.retries {
				if after < time.Second || after%time.Second != 0 || n > total/2 {
					t.Errorf("surge %v: %d of %d rejected jobs return after %s", surge, n, total, after)
				}
			}
		}
	}
}

// TestReplayRepeated guards against rejected callers that return in a way which lets
// accepted jobs come too late.
func TestReplayRepeated(t *testing.T) {
	r := newReplay(1)
	r.repeats = 4
	r.run(map[int]float64{0: 5})
	r.check(t, map[int]float64{0: 5})
}

// check checks the results of a replay. No accepted job may be later than three times its
// objective.
func (r *replay) check(t *testing.T, surge map[int]float64) {
	t.Helper()
	all, inTime, tooLate := r.served(accepted)
	_, firstInTime, firstTooLate := r.served(first)
	t.Logf("surge %v: completed %d, in time %d, too late %d; from the first attempt %d, %d; given up %d, retries %v",
		surge, all, inTime, tooLate, firstInTime, firstTooLate, len(r.rejected), r.retries)
	if tooLate > 0 || len(r.stored) > 0 {
		t.Errorf("surge %v: %d accepted jobs later than three times their objective, %d not completed", surge, tooLate, len(r.stored))
	}
	if r.idle > 0 {
		t.Errorf("surge %v: %d jobs rejected while capacity was idle", surge, r.idle)
	}
	for _, j := range r.rejected {
		if j.priority == 0 && len(surge) > 1 {
			t.Errorf("surge %v: job %s of the more urgent queue, which the pool can hold, was rejected", surge, j.ID)
		}
		if j.accepted > 0 || j.ended > 0 {
			t.Errorf("surge %v: job %s was rejected and ran", surge, j.ID)
		}
	}
}

// TestReplayWithoutView guards against rejections without a fresh view, and shows that
// the surge of TestReplay is one that makes accepted jobs too late.
func TestReplayWithoutView(t *testing.T) {
	for name, r := range map[string]*replay{"missing": {noView: true}, "stale": {delay: MaxAge + 1}} {
		r.rnd = rand.New(rand.NewPCG(1, 1))
		r.run(map[int]float64{0: 5})
		all, inTime, tooLate := r.served(accepted)
		t.Logf("%s: completed %d, in time %d, too late %d", name, all, inTime, tooLate)
		if len(r.retries) > 0 || tooLate == 0 {
			t.Errorf("%s: retries %v, %d too late, want no rejection and late jobs", name, r.retries, tooLate)
		}
	}
}
