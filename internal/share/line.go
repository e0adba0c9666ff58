package share

import (
	"slices"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
)

const (
	// burstTime is how much later than its acceptance the tag of a job within the share
	// may be. It is the time in which callers retry a request, which comes at once for
	// several.
	burstTime = 2 * time.Second
	// minBurst is how many jobs a workspace may send at once at least. With 4, random
	// arrivals put 5% of the jobs of workspaces within weights of 1 and 2 beyond the share.
	minBurst = 8
)

// Lines are the start tags of all workspaces. The zero value has none.
type Lines struct {
	byName map[string]*line
}

// line is the state of one workspace.
type line struct {
	weight  float64
	last    clock.BootTime // tag of the last job within the share
	arrived clock.BootTime // the latest acceptance
}

// Tag is the result for one job.
type Tag struct {
	At     clock.BootTime // start tag; zero: the job has no share to keep to
	Beyond bool           // the job is beyond the share
	Lead   time.Duration  // of the tag over the acceptance
}

// Next returns the tag of the next job of a workspace in the order of acceptance. A weight
// of 0 sets no share. A job that was accepted after another is not taken to be earlier:
// the times come from the clocks of several hosts.
func (l *Lines) Next(workspace string, accepted clock.BootTime, weight float64) Tag {
	if workspace == "" || weight <= 0 {
		return Tag{}
	}
	x := l.byName[workspace]
	if x == nil {
		if l.byName == nil {
			l.byName = make(map[string]*line)
		}
		x = &line{arrived: accepted} // which is negative before the boot of the host
		l.byName[workspace] = x
	}
	x.weight = weight
	x.arrived = max(x.arrived, accepted)
	t := Tag{At: x.next(x.arrived)}
	t.Lead = t.At.Sub(x.arrived)
	t.Beyond = t.Lead > x.burst()
	if !t.Beyond {
		x.last = t.At
	}
	return t
}

// Beyond returns the workspaces of which a job that is accepted now would be beyond the
// share, ordered by name.
func (l *Lines) Beyond(now clock.BootTime) []string {
	var names []string
	for name, x := range l.byName {
		at := max(x.arrived, now)
		if x.weight > 0 && x.next(at).Sub(at) > x.burst() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Configure changes the weight of a workspace for the next jobs.
func (l *Lines) Configure(workspace string, weight float64) {
	if x := l.byName[workspace]; x != nil {
		x.weight = weight
	}
}

// Len returns the number of workspaces with tags.
func (l *Lines) Len() int { return len(l.byName) }

// Sweep drops the workspaces that are not kept, unless their tags still count.
func (l *Lines) Sweep(now clock.BootTime, kept func(workspace string) bool) {
	for name, x := range l.byName {
		if !kept(name) && now.After(x.last) {
			delete(l.byName, name)
		}
	}
}

// next returns the tag of a job that is accepted at a time.
func (x *line) next(at clock.BootTime) clock.BootTime {
	if x.last == 0 {
		return at
	}
	return max(at, x.last.Add(x.interval()))
}

// interval is the time between two jobs at the weight.
func (x *line) interval() time.Duration {
	return time.Duration(min(float64(time.Second)/x.weight, float64(time.Hour)))
}

// burst returns the allowance. The first of its jobs has no lead.
func (x *line) burst() time.Duration { return max(burstTime, (minBurst-1)*x.interval()) }
