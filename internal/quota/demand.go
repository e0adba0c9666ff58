package quota

import "gypsumtrestle.example/gypsumtrestle/internal/job"

// Work is a number of waiting tasks with equal resources.
type Work struct {
	Resources job.Resources
	Tasks     int
	// Startable is how many of them the cap allows to start now, beside the other
	// waiting work of the workspace.
	Startable int
}

// Demand is the waiting work of a workspace.
type Demand struct {
	Work    []Work
	Tasks   int           // in Work
	Waiting job.Resources // the sum of Work
	// Held is how many of the tasks the cap keeps from starting.
	Held int
	// LongRunning is the part of Waiting that has precedence over other work.
	LongRunning job.Resources
}

// Add adds waiting tasks.
func (d *Demand) Add(r job.Resources, n int) {
	d.Work = append(d.Work, Work{Resources: r, Tasks: n})
	d.Tasks += n
	d.Waiting = d.Waiting.Add(times(r, n))
}

// Demand returns the waiting work.
func (a *Account) Demand() *Demand { return &a.demand }

// Held reports whether the cap keeps waiting work from starting.
func (a *Account) Held() bool { return a != nil && a.demand.Held > 0 }

// Arrive adds waiting tasks and reports whether the cap allows all waiting work to start
// now.
func (a *Account) Arrive(r job.Resources, n int) bool {
	if a == nil {
		return true
	}
	a.demand.Waiting = a.demand.Waiting.Add(times(r, n))
	return within(a.counted().Add(a.demand.Waiting), a.limit)
}

// setDemand replaces the waiting work and divides what is free below the cap among it, in
// proportion. What rounding leaves is given to the first tasks that it is enough for.
func (a *Account) setDemand(d Demand) {
	a.demand = d
	sum, share := a.counted(), a.share()
	for i := range d.Work {
		w := &d.Work[i]
		w.Startable = int(share * float64(w.Tasks))
		sum = sum.Add(times(w.Resources, w.Startable))
	}
	for i := range d.Work {
		w := &d.Work[i]
		if next := sum.Add(w.Resources); w.Startable < w.Tasks && within(next, a.limit) {
			w.Startable++
			sum = next
		}
	}
}

// share returns which share of the waiting work fits below the cap.
func (a *Account) share() float64 {
	share, c, w := 1.0, a.counted(), a.demand.Waiting
	for _, x := range [...][3]int{{a.limit.CPU, c.CPU, w.CPU}, {a.limit.Mem, c.Mem, w.Mem}, {a.limit.GPU, c.GPU, w.GPU}} {
		if limit, counted, waiting := x[0], x[1], x[2]; limit > 0 && waiting > limit-counted {
			share = min(share, max(0, float64(limit-counted)/float64(waiting)))
		}
	}
	return share
}
