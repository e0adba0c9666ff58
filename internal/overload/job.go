package overload

import (
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
)

// Job is what a decision needs of a submitted job.
type Job struct {
	ID        job.ID
	Pool      string
	Workspace string
	Priority  int
	Objective time.Duration
	Chain     time.Duration // estimated run time of its longest chain of tasks
	Work      float64       // estimated core-seconds
	Cores     float64       // of the tasks that can start at once
	Tasks     int           // number of these
	Task      job.Resources // the largest of each resource of them
}

// NewJob returns what a decision needs of a job, and whether the job may be rejected:
// long-running jobs, jobs with due times and jobs of queues without an objective are
// always accepted.
func NewJob(j *job.Job) (Job, bool) {
	x := Job{ID: j.ID, Pool: j.Service, Workspace: j.Workspace}
	if j.Terms == nil || j.Terms.Stretch <= 0 || j.Repeats > 0 || j.LongRunning() {
		return x, false
	}
	ends := make([]time.Duration, len(j.Steps))
	for i := range j.Steps {
		s := &j.Steps[i]
		var from time.Duration
		for _, a := range s.DependsOn {
			from = max(from, ends[a])
		}
		ends[i] = from + s.Estimate
		x.Chain = max(x.Chain, ends[i])
		cores := float64(s.Count) * float64(s.Demand().CPU) / 1000
		x.Work += cores * s.Estimate.Seconds()
		if len(s.DependsOn) == 0 {
			x.Cores += cores
			x.Tasks += s.Count
			d := s.Demand()
			x.Task = job.Resources{CPU: max(x.Task.CPU, d.CPU), Mem: max(x.Task.Mem, d.Mem), GPU: max(x.Task.GPU, d.GPU)}
		}
	}
	x.Priority, x.Objective = j.Terms.Priority, j.Terms.Objective(x.Chain)
	return x, true
}

// ValueFactor is how many times its objective a job may take before its completion has
// no value.
const ValueFactor = 3

// Left returns the time in which a job must be started so that it is completed before
// it loses its value, given how long ago it was accepted and the remaining chain of its
// tasks. A tenth is kept for deviations of the run times.
func Left(objective, elapsed, chain time.Duration) time.Duration {
	return ValueFactor*objective*9/10 - elapsed - chain
}
