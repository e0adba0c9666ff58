package route

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// policy chooses a runner and counts the request as outstanding on it.
type policy func(p *Picker, rnd *rand.Rand) Decision

// pickLeast is the policy of Picker.
func pickLeast(p *Picker, _ *rand.Rand) Decision { return p.Pick(query()) }

// pickRandom is a baseline: a random runner.
func pickRandom(p *Picker, rnd *rand.Rand) Decision { return pickAmong(p, rnd, 1) }

// pickTwo is a baseline: the less loaded of two different random runners.
func pickTwo(p *Picker, rnd *rand.Rand) Decision { return pickAmong(p, rnd, 2) }

// pickEven is a baseline: the least loaded of all runners, where reported requests
// have the same weight as the daemon's own.
func pickEven(p *Picker, rnd *rand.Rand) Decision { return pickAmong(p, rnd, compareRunners) }

// pickAmong chooses the least loaded of n random runners.
func pickAmong(p *Picker, rnd *rand.Rand, n int) Decision {
	members := p.load().group("ascent", "a").members
	compareLoad := func(i, j int) int {
		a, b := &members[i], &members[j]
		return cmp.Compare(a.own.Load()+a.others.Load(), b.own.Load()+b.others.Load())
	}
	m := &members[slices.MinFunc(rnd.Perm(len(members))[:n], compareLoad)]
	m.own.Add(1)
	return Decision{Member: m}
}

// setting is one line of the comparison.
type setting struct {
	name   string
	policy policy
	// The counts of each daemon are sampled every interval and received by the
	// other daemons after delay; an interval of 0 means no reports.
	interval, delay time.Duration
	mean            time.Duration // of the run times, at runners other than the slow one
	load            float64       // arrival rate, as a fraction of the capacity of all runners
}

const (
	compareRunners  = 4
	compareSlots    = 8
	compareSlow     = 2 // run times of the last runner are longer by this factor
	compareRequests = 20000
	compareWarmUp   = compareRequests / 10
)

// arrivalShares are the fractions of requests that arrive at each daemon.
var arrivalShares = []float64{0.6, 0.3, 0.1}

// event is an action at a point in virtual time.
type event struct {
	at time.Duration
	do func()
}

// job is a request at a runner, queued or running.
type job struct {
	daemon  int
	d       Decision
	arrived time.Duration
	counted bool
}

// simulation simulates the daemons and runners of one zone in virtual time. A
// runner without a free slot queues requests instead of rejecting them, so that
// only the choice of the runner is compared.
type simulation struct {
	setting
	rnd     *rand.Rand
	now     time.Duration
	events  []event // in reverse order of time
	daemons []*Picker
	running [compareRunners]int
	queues  [compareRunners][]job
	busy    int
	waits   []time.Duration
}

func simulate(s setting, seed uint64) *simulation {
	sim := &simulation{setting: s, rnd: rand.New(rand.NewPCG(seed, 1))}
	for range arrivalShares {
		p := &Picker{Zone: "a", Random: sim.rnd.Uint64}
		// So many slots that no policy excludes a runner as full.
		p.Set([]Pool{poolOf("ascent", "a", compareRunners, 1<<20)}, nil)
		sim.daemons = append(sim.daemons, p)
	}
	sim.arrive(0)
	sim.report()
	for len(sim.events) > 0 {
		next := sim.events[len(sim.events)-1]
		sim.events = sim.events[:len(sim.events)-1]
		sim.now = next.at
		next.do()
	}
	return sim
}

func (s *simulation) at(t time.Duration, do func()) {
	i, _ := slices.BinarySearchFunc(s.events, t, func(e event, t time.Duration) int { return cmp.Compare(t, e.at) })
	s.events = slices.Insert(s.events, i, event{t, do})
}

// arrive processes the arrival of request n and schedules that of the next one.
func (s *simulation) arrive(n int) {
	if n == compareRequests {
		s.interval = 0 // no more reports
		return
	}
	const capacity = compareSlots * (compareRunners - 1 + 1.0/compareSlow)
	s.at(s.now+time.Duration(s.rnd.ExpFloat64()*float64(s.mean)/(capacity*s.load)), func() { s.arrive(n + 1) })
	j := job{arrived: s.now, counted: n >= compareWarmUp}
	for x := s.rnd.Float64(); j.daemon < len(arrivalShares)-1 && x >= arrivalShares[j.daemon]; j.daemon++ {
		x -= arrivalShares[j.daemon]
	}
	j.d = s.policy(s.daemons[j.daemon], s.rnd)
	r := int(j.d.Member.Addr.Port()) - 1000
	if s.running[r] < compareSlots {
		s.start(r, j)
		return
	}
	if j.counted {
		s.busy++
	}
	s.queues[r] = append(s.queues[r], j)
}

func (s *simulation) start(r int, j job) {
	s.running[r]++
	if j.counted {
		s.waits = append(s.waits, s.now-j.arrived)
	}
	work := s.rnd.ExpFloat64() * float64(s.mean)
	if r == compareRunners-1 {
		work *= compareSlow
	}
	s.at(s.now+time.Duration(work), func() {
		s.daemons[j.daemon].Finish(j.d, answered, t0)
		s.running[r]--
		if q := s.queues[r]; len(q) > 0 {
			s.queues[r] = q[1:]
			s.start(r, q[0])
		}
	})
}

// report samples the counts of all daemons and delivers them after the delay.
func (s *simulation) report() {
	if s.interval == 0 {
		return
	}
	for from, p := range s.daemons {
		running := p.Running("ascent")
		s.at(s.now+s.delay, func() {
			for to, other := range s.daemons {
				if to != from {
					other.SetRemoteLoad(fmt.Sprint(from), "ascent", running)
				}
			}
		})
	}
	s.at(s.now+s.interval, s.report)
}

// Guards against daemons that all choose the same runner because the reported
// counts are 100 ms old. If run times are shorter than that, the policy of Picker
// must send fewer requests to busy runners than the baselines. With -v, the test
// prints the table of docs/routing.md, most of which is not checked.
func TestCompareRouting(t *testing.T) {
	const ms = time.Millisecond
	means, loads, seeds := []time.Duration{20 * ms}, []float64{0.7, 0.9}, uint64(1)
	if testing.Verbose() {
		seeds = 3
		means, loads = append(means, 200*ms), append(loads, 0.95)
	}
	t.Logf("%-6s %-5s %-16s %8s %9s %9s", "mean", "load", "policy", "busy %", "p50 ms", "p99 ms")
	for _, mean := range means {
		for _, load := range loads {
			rows := []setting{
				{"two, aged", pickTwo, 10 * ms, 100 * ms, mean, load},
				{"even, aged", pickEven, 10 * ms, 100 * ms, mean, load},
				{"least, aged", pickLeast, 10 * ms, 100 * ms, mean, load},
				{"two, sampled", pickTwo, 100 * ms, 0, mean, load},
				{"even, sampled", pickEven, 100 * ms, 0, mean, load},
				{"least, sampled", pickLeast, 100 * ms, 0, mean, load},
				{"random", pickRandom, 0, 0, mean, load},
				{"even, fresh", pickEven, mean / 20, 0, mean, load},
				{"two, no report", pickTwo, 0, 0, mean, load},
				{"least, no report", pickLeast, 0, 0, mean, load},
			}
			if !testing.Verbose() {
				rows = rows[:3] // those that are checked
			}
			busy := make(map[string]float64)
			for _, s := range rows {
				share, waits := compare(s, seeds)
				busy[s.name] = share
				t.Logf("%-6v %-5v %-16s %8.1f %9.1f %9.1f", mean, load, s.name, share,
					waits[len(waits)/2].Seconds()*1000, waits[len(waits)*99/100].Seconds()*1000)
			}
			if least := busy["least, aged"]; mean == 20*ms && (least >= busy["two, aged"] || least >= busy["even, aged"]) {
				t.Errorf("load %v: %.1f%% of requests were sent to a busy runner, not less than with the baselines", load, least)
			}
		}
	}
}

// compare returns the percentage of requests that were sent to a busy runner, and
// all waiting times in ascending order, over the given number of seeds.
func compare(s setting, seeds uint64) (busy float64, waits []time.Duration) {
	for seed := range seeds {
		sim := simulate(s, seed)
		busy += float64(sim.busy)
		waits = append(waits, sim.waits...)
	}
	slices.Sort(waits)
	return 100 * busy / float64(len(waits)), waits
}
