package crash

import (
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
)

const (
	// FreshFor is how long after its start a run is suspected first: a task that
	// crashes the runners that start it does so at once. It covers the delay of
	// the replies from which start and crash are dated.
	FreshFor = 150 * time.Millisecond
	// ProvenAfter is how long a run must go on to clear its task.
	ProvenAfter = 3 * time.Second
	// MaxCrashes is after how many immediate crashes a task is given up if the last
	// one followed its start alone.
	MaxCrashes = 2
	// MaxSharedCrashes is after how many crashes of any kind a task is given up.
	MaxSharedCrashes = 4
	// MaxPossibleCrashes is after how many immediate crashes a task is given up if
	// it is not known of all of them that they followed a start of the task.
	MaxPossibleCrashes = 3
	// MaxUncertainCrashes is after how many possible crashes a long-running task is
	// given up if fewer than MaxCrashes of them are certain.
	MaxUncertainCrashes = 5
)

// Record is what is known of the crashes of runners under a task. The zero value
// is that of a task without any.
type Record struct {
	// Crashes is how many runners crashed under a run that they had confirmed, since
	// a run last cleared the task.
	Crashes int
	// Immediate is how many of these came just after the start, since the task last
	// went on after one apart from other jobs. It is not stored: a later leader
	// assumes that all did.
	Immediate int
	Suspect   bool // the task is started only apart from other jobs
	// Unresolved is how many starts there were of which it is not known whether they
	// crashed the runner. Those of a suspect count from before they are sent.
	Unresolved int
}

// Possible returns how many runners may have crashed under the task.
func (r Record) Possible() int { return r.Crashes + r.Unresolved }

// NeedsStablePool reports whether a task should be started only while few other runners
// crash, because what it has left of its starts must tell whether it crashes its runners.
// That holds for long-running tasks, and for others with unresolved starts.
func (r Record) NeedsStablePool() bool { return r.Possible() >= MaxCrashes }

// RestartsExhausted reports whether a long-running task must not be started again though
// others of its job are at work.
func (r Record) RestartsExhausted() bool {
	return r.Possible() >= MaxUncertainCrashes || r.Possible() >= MaxSharedCrashes && r.Crashes >= MaxCrashes
}

// Exhausted reports whether a suspect that is not long-running must not be started
// again, because too many of its starts may have crashed a runner unseen.
func (r Record) Exhausted() bool {
	return r.Unresolved > 0 && (r.Immediate+r.Unresolved >= MaxPossibleCrashes || r.Possible() >= MaxSharedCrashes)
}

// WentOn returns the record after the runner of a suspect has gone on after a counted
// start apart from other jobs. The task may still crash it later.
func (r Record) WentOn() Record {
	r.Immediate, r.Unresolved = 0, max(r.Unresolved-1, 0)
	return r
}

// Run is a run that was on a runner when the runner crashed.
type Run struct {
	Record
	Job job.ID
	// ConfirmedAt is when the leader first knew that the runner had carried out
	// the start; zero if it never knew. Then the runner may have crashed before it
	// received the start.
	ConfirmedAt clock.BootTime
	// Counted is set if the start is in Unresolved.
	Counted bool
}

// IsFresh reports whether a run that was confirmed at a time, or never, may have
// crashed its runner, which last replied at heard, just after its start.
func IsFresh(confirmedAt, heard clock.BootTime) bool {
	return confirmedAt == 0 || confirmedAt.After(heard.Add(-FreshFor))
}

// IsProven reports whether a run that was confirmed at a time clears its task if
// it goes on at now.
func IsProven(confirmedAt, now clock.BootTime) bool {
	return confirmedAt != 0 && now.Sub(confirmedAt) >= ProvenAfter
}

// Verdict is the decision on the task of a run.
type Verdict struct {
	Record
	Charged bool // the crash counts against the task, or may do so
	GiveUp  bool // the job of the task fails
	// Uncertain is set if GiveUp rests on unresolved starts.
	Uncertain bool
}

// Charge decides on the runs of a runner that has crashed, in their order, given
// when it last replied. A suspect that had just been started is charged alone.
// Without one, the runs that had just been started are suspected, and the
// others as well if it is not the first crash for them. A start that was not
// confirmed counts as unresolved.
func Charge(runs []Run, heard clock.BootTime) []Verdict {
	verdicts := make([]Verdict, len(runs))
	suspectStarted := false
	fresh := make(map[job.ID]bool)
	for i := range runs {
		r := &runs[i]
		verdicts[i].Record = r.Record
		if IsFresh(r.ConfirmedAt, heard) {
			fresh[r.Job] = true
			suspectStarted = suspectStarted || r.Suspect
		}
	}
	for i := range runs {
		r, v := &runs[i], &verdicts[i]
		isFresh := IsFresh(r.ConfirmedAt, heard)
		if suspectStarted && (!isFresh || !r.Suspect) {
			continue
		}
		v.Charged = true
		confirmed := r.ConfirmedAt != 0
		switch {
		case confirmed:
			v.Crashes++
			if isFresh {
				v.Immediate++
			}
			if r.Counted {
				v.Unresolved--
			}
		case !r.Counted:
			v.Unresolved++
		}
		v.Suspect = r.Suspect || isFresh || v.Crashes >= MaxCrashes
		alone := confirmed && isFresh && len(fresh) == 1
		certain := alone && v.Immediate >= MaxCrashes || v.Crashes >= MaxSharedCrashes
		v.GiveUp = r.Suspect && (certain || v.Exhausted())
		v.Uncertain = v.GiveUp && !certain
	}
	return verdicts
}
