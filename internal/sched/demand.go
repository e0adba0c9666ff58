package sched

import (
	"cmp"
	"math"
	"slices"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
)

// demand is what a pool has and needs, in thousandths of a core.
type demand struct {
	pool     string
	machines int // usable or on their way here
	size     int // processor of the largest machine
	memory   int // of the largest machine
	// timely is how many machines the pool should have for the work that can
	// still meet its objective, target with the late work.
	timely, target int
	idle           []*node
	busy           []*node // without lasting tasks
}

// arrived adds the work of a new job to its pool's arrivals.
func (s *State) arrived(w *work, now clock.Boot) {
	if w.job.Lasting() {
		return
	}
	svc := s.service(w)
	a := s.arrivals[svc]
	a.add(w.total, now)
	s.arrivals[svc] = a
}

// arrival averages the work that arrives at a pool, in core-seconds a second.
type arrival struct {
	rate float64
	at   clock.Boot
}

func (a *arrival) add(cores float64, now clock.Boot) {
	a.rate = a.value(now) + cores/arrivalTime.Seconds()
	a.at = now
}

func (a *arrival) value(now clock.Boot) float64 {
	return a.rate * math.Exp(-float64(now.Sub(a.at))/float64(arrivalTime))
}

// demands returns the pools, those that lack most first.
func (s *State) demands(now clock.Boot) []*demand {
	byPool := make(map[string]*demand)
	for name, svc := range s.cfg.Services {
		if !svc.Standby {
			byPool[name] = &demand{pool: name}
		}
	}
	for _, n := range s.nodes {
		d := byPool[n.Service]
		if d == nil || n.over || n.cordoned || n.withheld != 0 || !n.contacted || n.silent || n.Draining || !n.listed {
			continue
		}
		d.machines++
		d.size, d.memory = max(d.size, n.Room.CPU), max(d.memory, n.Room.Mem)
		switch {
		case len(n.runs) == 0:
			d.idle = append(d.idle, n)
		case n.lasting == 0:
			d.busy = append(d.busy, n)
		}
	}
	for _, h := range s.hosts {
		if d := byPool[h.to]; d != nil {
			d.machines++
			d.size, d.memory = max(d.size, h.Room.CPU), max(d.memory, h.Room.Mem)
		}
	}
	ds := make([]*demand, 0, len(byPool))
	for name, d := range byPool {
		d.timely, d.target = baseMachines, baseMachines
		if d.size > 0 {
			timely, all := s.wanted(name, now)
			d.timely = max(d.timely, d.count(timely), s.spread(name, d.memory))
			d.target = max(d.timely, d.count(all))
		}
		slices.SortFunc(d.busy, func(a, b *node) int {
			return cmp.Or(cmp.Compare(a.used.CPU, b.used.CPU), cmp.Compare(a.ID, b.ID))
		})
		ds = append(ds, d)
	}
	slices.SortFunc(ds, func(a, b *demand) int {
		return cmp.Or(cmp.Compare(a.machines-a.timely, b.machines-b.timely), cmp.Compare(a.pool, b.pool))
	})
	return ds
}

// count is how many machines give some processor.
func (d *demand) count(cpu int) int {
	return int(math.Ceil(float64(cpu) / fillShare / float64(d.size)))
}

// spread is how many machines the lasting tasks of a pool need for their memory
// and for the number that may share a runner, and one more for a runner that
// leaves.
func (s *State) spread(pool string, memory int) int {
	machines, total := 0, 0
	for _, w := range s.open[pool] {
		if !w.job.Lasting() {
			continue
		}
		for i := range w.job.Steps {
			sp := &w.job.Steps[i]
			total += sp.Count * sp.Room.Mem
			if sp.PerRunner > 0 {
				machines = max(machines, (sp.Count+sp.PerRunner-1)/sp.PerRunner)
			}
		}
	}
	if memory > 0 {
		machines = max(machines, (total+memory-1)/memory)
	}
	if machines == 0 {
		return 0
	}
	return machines + 1
}

// wanted is the processor that a pool could use now: for the work that can still
// meet its objective, and with the late work.
func (s *State) wanted(pool string, now clock.Boot) (timely, all int) {
	lasting := 0
	var width, work [2]float64 // in time, late
	for _, w := range s.open[pool] {
		for _, o := range w.occs {
			chain, cores := o.remaining()
			k := 0
			if s.late(w, chain, now) {
				k = 1
			}
			if !w.job.Lasting() {
				work[k] += cores
			}
			for _, st := range o.steps {
				cpu := st.spec.Demand().CPU
				switch {
				case st.complete() || !o.ready(st):
				case st.spec.Lasting:
					lasting += cpu * len(st.tasks)
				default:
					width[k] += float64(cpu*(len(st.tasks)-st.done)) / 1000
				}
			}
		}
	}
	a := s.arrivals[pool]
	soon := max(min(width[0], work[0]/drainSeconds), a.value(now))
	late := min(width[1], work[1]/drainSeconds)
	return lasting + int(soon*1000), lasting + int((soon+late)*1000)
}

// drainSeconds is in how many seconds the waiting work of a pool should be
// done; the objectives of short jobs are about two seconds.
const drainSeconds = 1.0
