// Package job defines jobs, which consist of steps of tasks, the queues that
// callers submit them to, and the progress of each job.
package job

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ID is the ID of a job. It is chosen by the caller and has 16 hexadecimal
// digits.
type ID string

// Valid reports whether id has 16 hexadecimal digits.
func (id ID) Valid() bool {
	if len(id) != 16 {
		return false
	}
	for _, c := range []byte(id) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// Resources is a quantity of CPU, memory and GPUs.
type Resources struct {
	CPU int `cbor:"1,keyasint,omitempty"` // thousandths of a core
	Mem int `cbor:"2,keyasint,omitempty"` // megabytes
	GPU int `cbor:"3,keyasint,omitempty"`
}

// Fits reports whether r fits into free.
func (r Resources) Fits(free Resources) bool {
	return r.CPU <= free.CPU && r.Mem <= free.Mem && r.GPU <= free.GPU
}

// Add returns the sum.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.Mem + o.Mem, r.GPU + o.GPU}
}

// Sub returns the difference.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.Mem - o.Mem, r.GPU - o.GPU}
}

// Step is a group of equal tasks.
type Step struct {
	Count          int           `cbor:"1,keyasint"`
	Resources      Resources     `cbor:"2,keyasint"`
	Estimate       time.Duration `cbor:"3,keyasint,omitempty"`  // the caller's estimate of a task's run time
	DependsOn      []int         `cbor:"4,keyasint,omitempty"`  // earlier steps that must be done first
	Checkpointing  bool          `cbor:"5,keyasint,omitempty"`  // tasks write checkpoints
	Gang           bool          `cbor:"6,keyasint,omitempty"`  // all tasks must run at the same time
	SameRack       bool          `cbor:"7,keyasint,omitempty"`  // tasks are slow across racks
	Label          string        `cbor:"8,keyasint,omitempty"`  // label that the runner must have
	Rack           string        `cbor:"9,keyasint,omitempty"`  // rack of the data; other racks are slow
	PerRunner      int           `cbor:"10,keyasint,omitempty"` // maximum number of tasks of one occurrence on a runner; 0: no limit
	Speculative    bool          `cbor:"11,keyasint,omitempty"` // copies may run in parallel
	LongRunning    bool          `cbor:"12,keyasint,omitempty"` // tasks run until the job is cancelled
	Image          string        `cbor:"13,keyasint,omitempty"` // image that the tasks run; tasks with equal images behave alike
	TargetLatency  time.Duration `cbor:"14,keyasint,omitempty"` // limit for the tail latency of a long-running task
	BestEffort     bool          `cbor:"15,keyasint,omitempty"` // tasks use the CPU that others leave idle
	MaxUnavailable int           `cbor:"16,keyasint,omitempty"` // maximum number of tasks that may be unavailable once planned maintenance has stopped one
}

// Demand returns what a task occupies of its runner's capacity. A best-effort
// task occupies no CPU.
func (s *Step) Demand() Resources {
	r := s.Resources
	if s.BestEffort {
		r.CPU = 0
	}
	return r
}

// Job is a job as a caller submitted it. It is immutable.
type Job struct {
	ID       ID            `cbor:"1,keyasint"`
	Queue    string        `cbor:"2,keyasint"`
	Service  string        `cbor:"3,keyasint"` // service of the queue when the job was accepted
	Spec     string        `cbor:"4,keyasint"`
	Steps    []Step        `cbor:"5,keyasint"`
	FirstDue time.Time     `cbor:"6,keyasint,omitempty"` // due time of occurrence 0
	Period   time.Duration `cbor:"7,keyasint,omitempty"`
	Repeats  int           `cbor:"8,keyasint,omitempty"` // number of occurrences; 0: a job without due times, which runs once
	Accepted time.Time     `cbor:"9,keyasint"`
	// Terms are those of the queue when the job was accepted; nil: an earlier version
	// stored the job.
	Terms *Terms `cbor:"10,keyasint,omitempty"`
	// Workspace is the name of the workspace that submitted it; empty: none, or an
	// earlier version stored the job. Limits are those of the workspace at that time.
	Workspace string           `cbor:"11,keyasint,omitempty"`
	Limits    *WorkspaceLimits `cbor:"12,keyasint,omitempty"`
}

const (
	// maxTasks bounds the tasks of one occurrence of a job, since the leader
	// holds a record of each in memory.
	maxTasks = 20_000
	// MaxSteps bounds the steps of a job, since each has at least one task.
	MaxSteps = maxTasks
	// maxRepeats bounds the occurrences of a job.
	maxRepeats = 1_000_000
)

// Validate returns an error if the job is malformed.
func (j *Job) Validate() error {
	if !j.ID.Valid() {
		return errors.Errorf("job id %q, expected 16 hexadecimal digits", j.ID)
	}
	if len(j.Steps) == 0 {
		return errors.Errorf("job %s: no steps", j.ID)
	}
	if j.Repeats < 0 || j.Repeats > maxRepeats {
		return errors.Errorf("job %s: %d repeats, limit %d", j.ID, j.Repeats, maxRepeats)
	}
	tasks := 0
	for i := range j.Steps {
		s := &j.Steps[i]
		if s.Count <= 0 {
			return errors.Errorf("job %s: step %d: count %d", j.ID, i, s.Count)
		}
		if tasks += min(s.Count, maxTasks+1); tasks > maxTasks {
			return errors.Errorf("job %s: more than %d tasks", j.ID, maxTasks)
		}
		for _, a := range s.DependsOn {
			if a < 0 || a >= i {
				return errors.Errorf("job %s: step %d: after %d, expected an earlier step", j.ID, i, a)
			}
		}
	}
	return nil
}

// Occurrences returns how many times the steps run.
func (j *Job) Occurrences() int { return max(j.Repeats, 1) }

// Due returns the due time of occurrence k; the zero time means at once.
func (j *Job) Due(k int) time.Time {
	if j.Repeats == 0 {
		return time.Time{}
	}
	if j.Period > 0 && time.Duration(k) > math.MaxInt64/j.Period {
		return j.FirstDue.Add(math.MaxInt64)
	}
	return j.FirstDue.Add(time.Duration(k) * j.Period)
}

// LongRunning reports whether the job runs until it is cancelled.
func (j *Job) LongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// Task is the name of one task of a job.
type Task struct {
	Job   ID
	Occ   int
	Step  int
	Index int
}

// String returns the form of the name that is sent to runners.
func (t Task) String() string {
	b := make([]byte, 0, 32)
	b = append(b, t.Job...)
	b = append(b, '.')
	b = strconv.AppendInt(b, int64(t.Occ), 10)
	b = append(b, '.')
	b = strconv.AppendInt(b, int64(t.Step), 10)
	b = append(b, '.')
	b = strconv.AppendInt(b, int64(t.Index), 10)
	return string(b)
}

// StepName returns the name of the task's step.
func (t Task) StepName() string {
	n := t.String()
	return n[:strings.LastIndexByte(n, '.')]
}

// ParseTask parses a name returned by String.
func ParseTask(s string) (Task, error) {
	f := strings.Split(s, ".")
	if len(f) != 4 {
		return Task{}, errors.Errorf("invalid task name %q", s)
	}
	t := Task{Job: ID(f[0])}
	for i, p := range []*int{&t.Occ, &t.Step, &t.Index} {
		n, err := strconv.Atoi(f[i+1])
		if err != nil || n < 0 {
			return Task{}, errors.Errorf("invalid task name %q", s)
		}
		*p = n
	}
	return t, nil
}
