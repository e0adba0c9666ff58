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

// demands returns the pools, those that lack most first.
func (s *State) demands(now clock.BootTime) []*demand {
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
		d.size, d.memory = max(d.size, n.Capacity.CPU), max(d.memory, n.Capacity.Mem)
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
			d.size, d.memory = max(d.size, h.Capacity.CPU), max(d.memory, h.Capacity.Mem)
		}
	}
	ds := make([]*demand, 0, len(byPool))
	for name, d := range byPool {
		d.timely, d.target = baseMachines, baseMachines
		if d.size > 0 {
			present, soon := s.wanted(name, now)
			d.timely = max(d.timely, d.count(present), s.spread(name, d.memory))
			d.target = max(d.timely, d.count(soon))
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
		if !w.job.LongRunning() {
			continue
		}
		for i := range w.job.Steps {
			sp := &w.job.Steps[i]
			total += sp.Count * sp.Resources.Mem
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

// wanted is the processor that a pool could use: now for the work that can still
// meet its objective, and soon with the late work.
func (s *State) wanted(pool string, now clock.BootTime) (present, soon int) {
	lasting := 0
	var width, work [lost + 1]float64
	for _, w := range s.open[pool] {
		for _, o := range w.occs {
			chain, cores := o.remaining()
			k := s.prospect(w, chain, now)
			if !w.job.LongRunning() {
				work[k] += cores
			}
			for _, st := range o.steps {
				cpu := st.spec.Demand().CPU
				switch {
				case st.complete() || !o.ready(st):
				case st.spec.LongRunning:
					lasting += cpu * len(st.tasks)
				default:
					width[k] += float64(cpu*(len(st.tasks)-st.done)) / 1000
				}
			}
		}
	}
	// While the store is away no work is accepted, though callers go on.
	a, heard := s.arrivals[pool], min(now, s.heard.Add(inputAge))
	waiting := min(width[timely], work[timely]/drainSeconds)
	ahead := max(waiting, a.ahead(heard, s.Limits.MoveTime+joinTime)) + min(width[late], work[late]/lateSeconds)
	return lasting + int(max(waiting, a.present(heard))*1000), lasting + int(ahead*1000)
}

// drainSeconds is in how many seconds the waiting work of a pool should be
// done; the objectives of short jobs are about two seconds.
const drainSeconds = 1.0

// lateSeconds is the same for late work, which has twice its objective left.
const lateSeconds = 3.0
