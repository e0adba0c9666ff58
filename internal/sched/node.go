package sched

import (
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// noted is an end that waits for the progress that it changed to be stored.
type noted struct {
	n       int
	task    job.Task
	work    *work // nil: nothing to store
	version uint64
}

// node is a runner as the leader knows it.
type node struct {
	runner.Info
	listed    bool           // the store lists it
	unlisted  clock.BootTime // since when it is not listed
	over      bool           // this life has ended
	contacted bool           // it has answered an order of this term in this life
	silent    bool           // its last look got no answer
	clock     clock.Reading
	until     clock.RunnerTime // latest lease end ever sent in this term
	applied   int              // highest end whose effect is in the state
	noted     int              // highest end whose effect is in the store
	ends      []noted
	// withheld is the first end that must not be noted, with all after it, and
	// zero if there is none.
	withheld  int
	runs      map[job.Task]*run
	used      job.Resources
	lasting   int            // runs that last
	serving   int            // runs with a target
	blocked   clock.BootTime // no starts before this
	idle      clock.BootTime // since when it runs nothing
	lapsedAt  clock.BootTime // when its lease was first seen to have lapsed
	cordoned  bool           // leaves for planned work: no new starts
	health    health
	lastHeard clock.BootTime
}

func newNode(i runner.Info) *node {
	return &node{Info: i, runs: make(map[job.Task]*run)}
}

// target is whom orders to the runner are meant for.
func (n *node) target() runner.Target { return runner.Target{ID: n.ID, Addr: n.Addr, Zone: n.Zone} }

// free is the room for further tasks.
func (n *node) free() job.Resources { return n.Capacity.Sub(n.used) }

// relistTime is how long a runner that answers is used after the store has
// dropped its entry: entries that lapsed during an outage of the store are back
// within two seconds of its return.
const relistTime = 2 * time.Second

// lapsed tells whether the lease of everything on the runner has surely ended.
func (n *node) lapsed(now clock.BootTime) bool {
	return n.clock.LowerBound(now) > n.until.Add(lapseMargin)
}

// lapseMargin covers the rounding of the clocks to milliseconds.
const lapseMargin = 20 * time.Millisecond

// usable tells whether new runs may be ordered on a runner.
func (s *State) usable(n *node, now clock.BootTime) bool {
	listed := n.listed || now.Sub(n.unlisted) < relistTime
	return listed && !n.over && n.withheld == 0 && s.rostered[n.ID] && n.contacted && !n.silent && !n.Draining && !n.cordoned && !n.blocked.After(now)
}

// lease returns a lease end as far ahead as the platform allows. The estimate
// of the runner's clock may be ahead of it; the runner then shortens the lease.
// It is not extended while the stored roster has no open row for the runner.
func (s *State) lease(n *node, now clock.BootTime) clock.RunnerTime {
	if !s.rostered[n.ID] {
		return n.until
	}
	until := n.clock.RunnerTime.Add(now.Sub(n.clock.ReceivedAt)).Add(s.Limits.MaxRunnerLease)
	n.until = max(n.until, until)
	return until
}

// settle moves the noted mark past ends whose effect is stored.
func (n *node) settle() {
	for len(n.ends) > 0 {
		e := n.ends[0]
		if e.work != nil && e.work.flushed < e.version || n.withheld != 0 && e.n >= n.withheld {
			return
		}
		n.noted = e.n
		n.ends = n.ends[1:]
	}
}

// unsettled tells whether ends are listed whose effect is not in the store yet.
func (n *node) unsettled() bool { return len(n.ends) > 0 && n.withheld == 0 }

// drop forgets a run.
func (n *node) drop(r *run) {
	if n.runs[r.task.name] == r {
		delete(n.runs, r.task.name)
		n.used = n.used.Sub(r.demand)
		n.count(r, -1)
	}
	t := r.task
	for i, x := range t.runs {
		if x == r {
			t.runs = append(t.runs[:i], t.runs[i+1:]...)
			return
		}
	}
}

// count keeps the numbers of runs of some kinds.
func (n *node) count(r *run, d int) {
	if r.task.step.spec.LongRunning {
		n.lasting += d
	}
	if r.task.step.spec.TargetLatency > 0 {
		n.serving += d
	}
}

// add records a run.
func (n *node) add(r *run) {
	n.runs[r.task.name] = r
	n.used = n.used.Add(r.demand)
	n.count(r, 1)
	r.task.runs = append(r.task.runs, r)
}
