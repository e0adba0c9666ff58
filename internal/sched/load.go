package sched

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/overload"
)

const (
	// loadDelay is how long a term serves no load: until then it may not have reached
	// all runners, and has no rate of arrivals.
	loadDelay = 2 * time.Second
	// arrivalStep is the interval to which the times of arriving machines are rounded
	// up, which bounds their number in a view.
	arrivalStep = 500 * time.Millisecond
	// maxLoadClasses and maxLoadWorkspaces bound a view, which is sent to all daemons.
	maxLoadClasses    = 200
	maxLoadWorkspaces = 200
)

// loadRank is a rank of work in a pool.
type loadRank struct {
	pool string
	rank overload.Rank
}

// rankOf returns the rank of a job with the given remaining work in core-seconds.
func (s *State) rankOf(js *jobState, work float64, now clock.BootTime) overload.Rank {
	r := overload.Rank{Beyond: s.beyondShare(js, now), Size: overload.Size(work)}
	if js.terms != nil {
		r.Priority = js.terms.Priority
	}
	return r
}

// recordRankArrival counts a new job of a pool by its rank.
func (s *State) recordRankArrival(js *jobState, now clock.BootTime) {
	if s.rankArrivals == nil {
		s.rankArrivals = make(map[loadRank]arrival)
	}
	k := loadRank{s.service(js), s.rankOf(js, js.total, now)}
	s.rankArrivals[k] = s.rankArrivals[k].add(js.total, now)
}

// Load returns the load of the pools in which jobs wait, or nil if it is not known: at
// the start of a term, or if the input is not current.
func (s *State) Load(now clock.BootTime) *overload.View {
	if s.cfg == nil || now.Sub(s.startedAt) < loadDelay || now.Sub(s.inputCurrentAt) > maxInputAge {
		return nil
	}
	v := &overload.View{Term: int64(s.Term), Beyond: s.workspacesBeyondShare(now)}
	if len(v.Beyond) > maxLoadWorkspaces {
		v.Beyond = v.Beyond[:maxLoadWorkspaces]
	}
	classes := 0
	for name, jobs := range s.open {
		if len(jobs) == 0 || s.cfg.Services[name] == nil {
			continue
		}
		p := overload.Pool{Name: name}
		demand, ready := s.addLoad(&p, jobs, now)
		if !p.Waits() {
			continue
		}
		s.addCapacity(&p, demand, ready, now)
		p.Peak = s.peakLoad(name, now)
		v.Pools = append(v.Pools, p)
	}
	for k, a := range s.rankArrivals {
		i := slices.IndexFunc(v.Pools, func(p overload.Pool) bool { return p.Name == k.pool })
		if i < 0 {
			continue
		}
		if rate := a.recentLoad(now); rate > minRate {
			v.Pools[i].SetRate(k.rank, rate)
		}
	}
	for i := range v.Pools {
		classes += len(v.Pools[i].Classes)
	}
	if classes > maxLoadClasses {
		return nil
	}
	s.addArriving(v, now)
	slices.SortFunc(v.Pools, func(a, b overload.Pool) int { return cmp.Compare(a.Name, b.Name) })
	return v
}

// minRate is the rate in core-seconds per second from which arrivals are in a view.
const minRate = 0.01

// recentLoad returns the work that arrives per second. After a rise the average over the
// short window shows more of it than that over the long one.
func (a arrival) recentLoad(now clock.BootTime) float64 {
	a = a.decay(now)
	return a.size * max(a.short, (a.short+a.long)/2)
}

// loadPeak is the highest load of a pool lately.
type loadPeak struct {
	load float64 // core-seconds per second
	at   clock.BootTime
}

// peakLoad returns the highest load of a pool within overload.PeakTime.
func (s *State) peakLoad(pool string, now clock.BootTime) float64 {
	if s.loadPeaks == nil {
		s.loadPeaks = make(map[string]loadPeak)
	}
	p := s.loadPeaks[pool]
	if l := s.arrivals[pool].recentLoad(now); l >= p.load || now.Sub(p.at) > overload.PeakTime {
		p = loadPeak{l, now}
		s.loadPeaks[pool] = p
	}
	return p.load
}

// addLoad adds the waiting work of jobs to a pool, and returns the demand of the
// waiting tasks and the different demands of those that wait for nothing but capacity.
func (s *State) addLoad(p *overload.Pool, jobs []*jobState, now clock.BootTime) (demand job.Resources, ready []job.Resources) {
	unlimited := job.Resources{CPU: math.MaxInt, Mem: math.MaxInt, GPU: math.MaxInt}
	for _, js := range jobs {
		if js.def.LongRunning() {
			continue
		}
		for _, o := range js.occs {
			chain, work := s.remaining(o, now)
			class := s.deadlineClass(js, chain, now)
			w := overload.Waiting{Rank: s.rankOf(js, work, now), Late: class == late}
			for _, st := range o.steps {
				if st.idle == 0 || st.spec.BestEffort {
					continue
				}
				n, isReady := st.idle, o.ready(st)
				if isReady {
					n = st.withinCap(n)
				}
				cores := float64(n*st.spec.Resources.CPU) / 1000
				w.Work += cores * st.expected.Seconds()
				demand.CPU += n * st.spec.Resources.CPU
				demand.Mem += n * st.spec.Resources.Mem
				if isReady && n > 0 {
					w.Cores += cores
					w.Ready += cores * st.expected.Seconds()
					if d := st.spec.Demand(); !slices.Contains(ready, d) {
						ready = append(ready, d)
					}
				}
			}
			if w.Work == 0 || class == longOverdue {
				continue
			}
			if js.terms != nil && s.hasStartable(o, unlimited, now) {
				w.Left = max(overload.Left(js.terms.Objective(js.chain), now.Sub(js.acceptedAt), chain), 0)
			}
			p.Add(w)
		}
	}
	return demand, ready
}

// addCapacity adds to a pool what its runners can do for batch tasks, given the demand
// of those that wait and the different demands of those that are ready. Memory counts as
// the cores of the tasks that it holds.
func (s *State) addCapacity(p *overload.Pool, demand job.Resources, ready []job.Resources, now clock.BootTime) {
	cores := func(r job.Resources) float64 {
		c := float64(r.CPU)
		if demand.Mem > 0 {
			c = min(c, float64(r.Mem)*float64(demand.CPU)/float64(demand.Mem))
		}
		return max(c, 0) / 1000
	}
	for _, rs := range s.usableRunners(p.Name, now) {
		if rs.heldUntil.After(now) || !rs.takesRuns(now) {
			continue
		}
		total := rs.Capacity
		for t := range rs.keptFor {
			total = total.Sub(t.step.spec.Demand())
		}
		if rs.longRunning > 0 {
			for _, r := range rs.runs {
				if r.task.step.spec.LongRunning {
					total = total.Sub(r.demand)
				}
			}
		}
		p.Cores += cores(total) * fillShare
		free := rs.free()
		if slices.ContainsFunc(ready, func(d job.Resources) bool { return d.Fits(free) }) {
			p.Idle += cores(free)
		} else {
			p.AddGap(free)
		}
	}
}

// addArriving adds the machines that are on their way to the pools of a view. One that
// has not left yet counts as if it left now.
func (s *State) addArriving(v *overload.View, now clock.BootTime) {
	for _, ms := range s.machineStates {
		i := -1
		if ms.movingTo != "" {
			i = slices.IndexFunc(v.Pools, func(p overload.Pool) bool { return p.Name == ms.movingTo })
		}
		if i < 0 {
			continue
		}
		after := s.Limits.MoveTime + joinDelay
		if ms.sent {
			after = max(after-now.Sub(ms.since), 0)
		}
		after = (after + arrivalStep - 1) / arrivalStep * arrivalStep
		p := &v.Pools[i]
		k, ok := slices.BinarySearchFunc(p.Arriving, after, func(a overload.Arrival, d time.Duration) int { return cmp.Compare(a.After, d) })
		if !ok {
			p.Arriving = slices.Insert(p.Arriving, k, overload.Arrival{After: after})
		}
		p.Arriving[k].Cores += float64(ms.Capacity.CPU) / 1000 * fillShare
	}
}
