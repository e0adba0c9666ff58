package quota

import "gypsumtrestle.example/gypsumtrestle/internal/job"

// unlimited stands for a number of tasks that is not known.
const unlimited = 1 << 20

// Previous collects an upper bound of what unknown runs of previous leaders use.
type Previous struct {
	open     bool // a runner may have any task
	unsized  bool // the capacity of such a runner is not known
	capacity job.Resources
	bounds   map[*Account]*bound
}

// bound is the bound for one workspace.
type bound struct {
	listed     job.Resources // tasks that may run on a runner which has no others
	work       job.Resources // tasks that may have an unknown run
	bestEffort job.Resources // the same of best-effort tasks, which capacity does not limit
}

// AddRunner adds a runner that may have any task. A zero capacity is not known.
func (p *Previous) AddRunner(capacity job.Resources) {
	p.open = true
	p.unsized = p.unsized || capacity == job.Resources{}
	p.capacity = p.capacity.Add(capacity)
}

// AddListed adds a task that may run on a runner which has no tasks but those listed.
func (p *Previous) AddListed(a *Account, r job.Resources) {
	if a != nil {
		b := p.of(a)
		b.listed = b.listed.Add(r)
	}
}

// AddWork adds n tasks that may have an unknown run; n of -1 is not known.
func (p *Previous) AddWork(a *Account, st *job.Step, n int) {
	if n < 0 {
		n = unlimited
	}
	b, r := p.of(a), times(st.Resources, n)
	if st.BestEffort {
		b.bestEffort = b.bestEffort.Add(r)
	} else {
		b.work = b.work.Add(r)
	}
}

// Of returns the bound for a workspace: the work that may run, of which no more does
// than fits on the runners.
func (p *Previous) Of(a *Account) job.Resources {
	b := p.bounds[a]
	if b == nil {
		return job.Resources{}
	}
	if !p.open {
		return b.listed
	}
	r := b.work
	if !p.unsized {
		m := p.capacity.Add(b.listed)
		r = job.Resources{CPU: min(r.CPU, m.CPU), Mem: min(r.Mem, m.Mem), GPU: min(r.GPU, m.GPU)}
	}
	return r.Add(b.bestEffort)
}

func (p *Previous) of(a *Account) *bound {
	b := p.bounds[a]
	if b == nil {
		if p.bounds == nil {
			p.bounds = make(map[*Account]*bound)
		}
		b = &bound{}
		p.bounds[a] = b
	}
	return b
}

// UnknownRuns returns how many runs of a step's tasks may exist that the leader does not
// know, or -1 if that is not known. Of a task that is not speculative, no more than one
// run exists. Of a gang, members may still run after one of them was done. The job is
// open, completed, or neither; idle is the number of its tasks that are not done and
// have no known run.
func UnknownRuns(st *job.Step, o job.Outcome, open, repeats bool, idle int) int {
	switch {
	case repeats && o != job.Completed:
		return -1
	case st.Gang, o != job.Completed && !open:
		return st.Count
	case st.Speculative && open:
		return st.Count + idle
	case st.Speculative:
		return st.Count
	case open:
		return idle
	}
	return 0
}
