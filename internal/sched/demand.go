package sched

import (
	"cmp"
	"math"
	"slices"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
)

// poolDemand is what a pool has and needs. CPU is in thousandths of a core.
type poolDemand struct {
	pool     string
	machines int // usable or moving to the pool
	maxCPU   int // of the largest machine
	maxMem   int // of the largest machine
	// timely is the number of machines for the work that can still meet its
	// objective; target includes the late work.
	timely, target int
	needed         int // timely before it was scaled to the fleet
	longRunning    int // of timely, those for long-running tasks
	unplaced       int // machines for long-running tasks that fit nowhere
	idle           []*runnerState
	busy           []*runnerState // without long-running tasks; see sortBusy
	busySorted     bool
}

// poolDemands returns the pools, those with the largest shortage first.
func (s *State) poolDemands(now clock.BootTime) []*poolDemand {
	byPool := make(map[string]*poolDemand)
	for name, svc := range s.cfg.Services {
		if !svc.Standby {
			byPool[name] = &poolDemand{pool: name}
		}
	}
	for _, rs := range s.runners {
		d := byPool[rs.Service]
		if d == nil || !rs.present() {
			continue
		}
		d.machines++
		d.maxCPU, d.maxMem = max(d.maxCPU, rs.Capacity.CPU), max(d.maxMem, rs.Capacity.Mem)
		switch {
		case len(rs.keptFor) > 0:
		case len(rs.runs) == 0:
			d.idle = append(d.idle, rs)
		case rs.longRunning == 0:
			d.busy = append(d.busy, rs)
		}
	}
	present := make(map[string]int)
	for name, d := range byPool {
		present[name] = d.machines
	}
	for _, ms := range s.machineStates {
		if d := byPool[ms.movingTo]; d != nil {
			d.machines++
			d.maxCPU, d.maxMem = max(d.maxCPU, ms.Capacity.CPU), max(d.maxMem, ms.Capacity.Mem)
		}
	}
	ds := make([]*poolDemand, 0, len(byPool))
	for name, d := range byPool {
		d.timely, d.target = baseMachines, baseMachines
		if d.maxCPU > 0 {
			current, soon := s.desiredCPU(name, now)
			d.longRunning = max(s.longRunningMachines(d), s.machinesInUse(d))
			d.unplaced = s.machinesForTasks(d, s.unplaced)
			if d.unplaced > 0 && !slices.ContainsFunc(d.idle, func(rs *runnerState) bool { return rs.takesRuns(now) }) {
				d.longRunning = max(d.longRunning, present[name]+d.unplaced)
			}
			d.timely = max(d.firm(), d.machinesFor(current))
			d.target = max(d.timely, d.machinesFor(soon))
		}
		d.needed = d.timely
		ds = append(ds, d)
	}
	slices.SortFunc(ds, func(a, b *poolDemand) int {
		return cmp.Or(cmp.Compare(a.machines-a.timely, b.machines-b.timely), cmp.Compare(a.pool, b.pool))
	})
	return ds
}

// takesRuns reports whether runs of any job may be started on a runner once it is
// usable. It may have arrived just now.
func (rs *runnerState) takesRuns(now clock.BootTime) bool {
	return rs.isolated == nil && rs.health.allows(now, rs.probes())
}

// present reports whether the machine of a runner counts as one of its pool.
func (rs *runnerState) present() bool {
	return rs.replied && rs.registered && !rs.ended && !rs.cordoned && rs.withheld == 0 && !rs.unreachable && !rs.Draining
}

// firm returns how many machines a pool needs for its long-running tasks and the base.
func (d *poolDemand) firm() int { return max(baseMachines, d.longRunning) }

// work is the work that machines are moved for.
type work int

const (
	longRunningWork work = iota
	timelyWork           // with the base, and the work that can still meet its objective
	allWork              // with the late work
)

// kept returns how many machines a pool keeps while others need one for some work.
func (d *poolDemand) kept(w work) int {
	switch w {
	case longRunningWork:
		return min(d.firm(), d.timely)
	case timelyWork:
		return d.timely
	case allWork:
	}
	return d.target
}

// machinesFor returns how many machines supply the given CPU.
func (d *poolDemand) machinesFor(cpu int) int {
	return int(math.Ceil(float64(cpu) / fillShare / float64(d.maxCPU)))
}

// longRunningMachines returns how many machines the long-running tasks of a
// pool need for their demand, of which a machine takes only whole tasks, and for
// the limit of tasks per runner, plus one for a runner that leaves.
func (s *State) longRunningMachines(d *poolDemand) int {
	machines, total := 0, 0.0
	for _, js := range s.open[d.pool] {
		if !js.def.LongRunning() {
			continue
		}
		for i := range js.def.Steps {
			sp := &js.def.Steps[i]
			if n := d.tasksPerMachine(sp.Demand()); n > 0 {
				total += float64(js.countWithinCap(i)) / float64(n)
			}
			if sp.PerRunner > 0 {
				machines = max(machines, (js.countWithinCap(i)+sp.PerRunner-1)/sp.PerRunner)
			}
		}
	}
	machines = max(machines, int(math.Ceil(total)))
	if machines == 0 {
		return 0
	}
	return machines + 1
}

// machinesForTasks returns how many more machines the given numbers of long-running
// tasks need. A machine may lack the label of a step.
func (s *State) machinesForTasks(d *poolDemand, tasks map[*step]int) int {
	spread, total := 0, 0 // total is in thousandths, since the order of a map changes a sum of fractions
	for st, n := range tasks {
		per := d.tasksPerMachine(st.spec.Demand())
		if n == 0 || per == 0 || st.spec.Label != "" || s.service(st.occ.job) != d.pool {
			continue
		}
		total += n * 1000 / per
		if limit := st.spec.PerRunner; limit > 0 {
			spread = max(spread, (n+limit-1)/limit)
		}
	}
	return max(spread, (total+999)/1000)
}

// tasksPerMachine returns how many tasks of a demand the largest machine takes.
func (d *poolDemand) tasksPerMachine(r job.Resources) int {
	n := math.MaxInt
	if r.CPU > 0 {
		n = d.maxCPU / r.CPU
	}
	if r.Mem > 0 {
		n = min(n, d.maxMem/r.Mem)
	}
	return n
}

// desiredCPU returns the CPU that a pool can use, in thousandths of a core: present
// for the current arrivals and the work that can still meet its objective, soon for
// the expected arrivals and with the late work.
func (s *State) desiredCPU(pool string, now clock.BootTime) (present, soon int) {
	longRunningCPU := 0
	// readyCores are the cores of the tasks in steps that are ready; work is in
	// core-seconds.
	var readyCores, work [longOverdue + 1]float64
	for _, js := range s.open[pool] {
		for _, o := range js.occs {
			chain, coreSeconds := s.remaining(o, now)
			class := s.deadlineClass(js, chain, now)
			if js.account != nil {
				class, coreSeconds = s.shareClass(js, class, now), o.workWithinCap(coreSeconds)
			}
			if !js.def.LongRunning() {
				work[class] += coreSeconds
			}
			for _, st := range o.steps {
				cpu, tasks := st.spec.Demand().CPU, len(st.tasks)-st.done
				if js.account != nil {
					tasks = st.demandWithinCap()
				}
				switch {
				case st.complete() || !o.ready(st):
				case st.spec.LongRunning:
					longRunningCPU += cpu * (tasks + st.done)
				default:
					readyCores[class] += float64(cpu*tasks) / 1000
				}
			}
		}
	}
	// While the store is unavailable no jobs are accepted, though callers keep
	// submitting them. The averages therefore decay no further than
	// maxInputAge after the last input.
	a, inputAt := s.arrivals[pool], min(now, s.inputCurrentAt.Add(maxInputAge))
	waiting := min(readyCores[timely], work[timely]/drainSeconds)
	expected := max(waiting, a.expectedLoad(inputAt, s.Limits.MoveTime+joinDelay)) + min(readyCores[late], work[late]/lateSeconds)
	return longRunningCPU + int(max(waiting, a.currentLoad(inputAt))*1000), longRunningCPU + int(expected*1000)
}

// drainSeconds is the time in which the waiting work of a pool should be done;
// the objectives of short jobs are about two seconds.
const drainSeconds = 1.0

// lateSeconds is the same for late work, which has twice its objective left.
const lateSeconds = 3.0
