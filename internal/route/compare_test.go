package route

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// A policy chooses a runner and counts the request on it.
type policy func(p *Picker, rnd *rand.Rand) Decision

// pickLeast is the daemon's own policy.
func pickLeast(p *Picker, _ *rand.Rand) Decision { return p.Pick(query()) }

// pickRandom is a baseline that looks at no counts.
func pickRandom(p *Picker, rnd *rand.Rand) Decision { return pickAmong(p, rnd, 1) }

// pickTwo is a baseline: the better of two different random runners.
func pickTwo(p *Picker, rnd *rand.Rand) Decision { return pickAmong(p, rnd, 2) }

// pickEven is a baseline: the fewest known requests of all runners, where
// reported ones count as much as own ones.
func pickEven(p *Picker, rnd *rand.Rand) Decision { return pickAmong(p, rnd, compareRunners) }

// pickAmong takes the fewest known requests of n random runners.
func pickAmong(p *Picker, rnd *rand.Rand, n int) Decision {
	members := p.load().group("ascent", "a").members
	known := func(i, j int) int {
		a, b := &members[i], &members[j]
		return cmp.Compare(a.own.Load()+a.others.Load(), b.own.Load()+b.others.Load())
	}
	m := &members[slices.MinFunc(rnd.Perm(len(members))[:n], known)]
	m.own.Add(1)
	return Decision{Member: m}
}

// setting is one line of the comparison.
type setting struct {
	name   string
	policy policy
	// Each daemon's counts are sampled at this interval and reach the others
	// after the delay.
	every, delay time.Duration
	mean         time.Duration
	load         float64
}

const (
	compareRunners  = 4
	compareSlots    = 8
	compareSlow     = 2 // the last runner takes this many times as long
	compareRequests = 20000
	compareWarmUp   = compareRequests / 10
)

// arrivalShares are the daemons' parts of the requests.
var arrivalShares = []float64{0.6, 0.3, 0.1}

// event happens at an instant of virtual time.
type event struct {
	at time.Duration
	do func()
}

// job is a request that waits at a runner's queue.
type job struct {
	daemon  int
	d       Decision
	arrived time.Duration
	counted bool
}

// simulation is the daemons and runners of one zone in virtual time. A runner
// without a free slot queues; the choice alone is compared.
type simulation struct {
	setting
	rnd     *rand.Rand
	now     time.Duration
	events  []event // the next one last
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
		// Slots that are never used up, so that no policy leaves a runner out.
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

// arrive lets request n arrive and schedules the next one.
func (s *simulation) arrive(n int) {
	if n == compareRequests {
		s.every = 0 // no more reports
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

// report samples all daemons' counts and delivers them after the delay.
func (s *simulation) report() {
	if s.every == 0 {
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
	s.at(s.now+s.every, s.report)
}

// Choices by counts that are 100 ms old must not all go to the same runner:
// the daemon's policy must send fewer requests to busy runners than the
// baselines do when service is shorter than the counts are old. With -v the
// test prints the table of docs/routing.md, most of which is not checked.
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
				t.Errorf("load %v: %.1f%% meet a busy runner", load, least)
			}
		}
	}
}

// compare returns the percentage of requests that met a busy runner and all
// waiting times in order, over some seeds.
func compare(s setting, seeds uint64) (busy float64, waits []time.Duration) {
	for seed := range seeds {
		sim := simulate(s, seed)
		busy += float64(sim.busy)
		waits = append(waits, sim.waits...)
	}
	slices.Sort(waits)
	return 100 * busy / float64(len(waits)), waits
}
