package overload

import "gypsumtrestle.example/gypsumtrestle/internal/job"

// Gap is what is free on runners into which no waiting task fits.
type Gap struct {
	CPU     int `cbor:"1,keyasint,omitempty"`
	Mem     int `cbor:"2,keyasint,omitempty"`
	GPU     int `cbor:"3,keyasint,omitempty"`
	Runners int `cbor:"4,keyasint"`
}

const (
	// gapCPU and gapMem are what gaps are rounded down to, and maxGaps is the number of
	// different ones of a pool; they bound a view.
	gapCPU  = 500
	gapMem  = 512
	maxGaps = 16
)

// AddGap adds what is free on a runner into which no waiting task fits.
func (p *Pool) AddGap(free job.Resources) {
	g := Gap{CPU: free.CPU / gapCPU * gapCPU, Mem: free.Mem / gapMem * gapMem, GPU: free.GPU, Runners: 1}
	if g.CPU <= 0 || g.Mem <= 0 {
		return
	}
	for i := range p.Gaps {
		o := &p.Gaps[i]
		if o.CPU == g.CPU && o.Mem == g.Mem && o.GPU == g.GPU {
			o.Runners++
			return
		}
	}
	if len(p.Gaps) < maxGaps {
		p.Gaps = append(p.Gaps, g)
	}
}

// holds returns how many tasks of the given size fit into a gap.
func (g Gap) holds(d job.Resources) int {
	free, n := job.Resources{CPU: g.CPU, Mem: g.Mem, GPU: g.GPU}, 0
	for d.CPU > 0 && d.Fits(free) {
		free = free.Sub(d)
		n++
	}
	return n * g.Runners
}

// gapsHold reports whether the first tasks of a job fit into the gaps beside those of the
// given jobs.
func (p *Pool) gapsHold(j *Job, unseen []Job) bool {
	n := -j.Tasks
	for _, g := range p.Gaps {
		n += g.holds(j.Task)
	}
	for i := range unseen {
		if unseen[i].Pool == j.Pool {
			n -= unseen[i].Tasks
		}
	}
	return j.Tasks > 0 && n >= 0
}
