package quota

import "gypsumtrestle.example/gypsumtrestle/internal/job"

// Account is what one workspace may have running, and its cap. The methods of a nil
// account allow everything and record nothing.
type Account struct {
	Name  string
	limit job.Resources // a zero amount: no limit on that resource
	// fromConfig is set once a configuration has given the limit; recorded is the
	// revision of the job record that gave it before that.
	fromConfig bool
	recorded   int64
	jobs       int // in the state that refer to the account
	runs       int
	used       job.Resources // by runs in the ledger
	previous   job.Resources // upper bound for unknown runs of previous leaders
	demand     Demand
}

// Add counts a run of a task with the given resources.
func (a *Account) Add(r job.Resources) {
	if a != nil {
		a.used = a.used.Add(r)
		a.runs++
	}
}

// Remove is the reverse of Add, once the run has certainly ended.
func (a *Account) Remove(r job.Resources) {
	if a != nil {
		a.used = a.used.Sub(r)
		a.runs--
	}
}

// Used returns what the runs in the ledger use, and their number.
func (a *Account) Used() (r job.Resources, runs int) { return a.used, a.runs }

// Previous returns the upper bound for unknown runs of previous leaders.
func (a *Account) Previous() job.Resources { return a.previous }

// SetPrevious replaces that bound.
func (a *Account) SetPrevious(r job.Resources) { a.previous = r }

// Limit returns the cap.
func (a *Account) Limit() job.Resources { return a.limit }

// Configure sets the cap to that of a configuration in force.
func (a *Account) Configure(limit job.Resources) {
	if a != nil {
		a.limit, a.fromConfig = limit, true
	}
}

// Recorded sets the cap to that of a job record with the given revision, unless a
// configuration or a later record has set it.
func (a *Account) Recorded(limit job.Resources, rev int64) {
	if a != nil && !a.fromConfig && rev >= a.recorded {
		a.limit, a.recorded = limit, rev
	}
}

// Fits reports whether n tasks may be started together.
func (a *Account) Fits(r job.Resources, n int) bool {
	return a == nil || within(a.counted().Add(times(r, n)), a.limit)
}

// FitsBeside is Fits for tasks that leave room for the long-running tasks that wait.
func (a *Account) FitsBeside(r job.Resources, n int) bool {
	return a == nil || within(a.counted().Add(a.demand.LongRunning).Add(times(r, n)), a.limit)
}

// TooLarge reports whether n tasks together exceed the cap even if nothing else runs.
func (a *Account) TooLarge(r job.Resources, n int) bool {
	return a != nil && !within(times(r, n), a.limit)
}

// Over reports whether what may be running exceeds the cap, as after it was lowered.
func (a *Account) Over() bool { return a != nil && !within(a.counted(), a.limit) }

func (a *Account) counted() job.Resources { return a.used.Add(a.previous) }

// within reports whether a usage is within a limit.
func within(r, limit job.Resources) bool {
	return (limit.CPU == 0 || r.CPU <= limit.CPU) && (limit.Mem == 0 || r.Mem <= limit.Mem) && (limit.GPU == 0 || r.GPU <= limit.GPU)
}

func times(r job.Resources, n int) job.Resources {
	return job.Resources{CPU: r.CPU * n, Mem: r.Mem * n, GPU: r.GPU * n}
}
