package sched

import (
	"net/netip"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// pendingAck is a result that can be acknowledged once the progress that it
// changed is stored.
type pendingAck struct {
	seq     int
	task    job.Task
	job     *jobState // nil: nothing to store
	version uint64
}

// runnerState is the leader's record of a runner.
type runnerState struct {
	runner.Info
	// confirmedAddr is where this incarnation has replied, in this term or, by
	// the roster, in a previous one; not valid if it has not.
	confirmedAddr netip.AddrPort
	// announced is the entry of a later incarnation that has not replied; nil if
	// there is none.
	announced    *runner.Info
	announcedAt  clock.BootTime // when the entry was read
	tryAnnounced bool           // the next poll goes to the announced address
	// described is the incarnation that Machine is known of, and Service if it is set;
	// zero: none.
	described      runner.Incarnation
	registered     bool           // the store has an entry for it
	deregisteredAt clock.BootTime // when its entry was removed
	ended          bool           // this incarnation has ended
	endedAt        clock.BootTime // when that was recorded
	replied        bool           // it has replied in this term, in this incarnation
	unreachable    bool           // it did not reply to the last poll
	unlisted       bool           // the last list of machines that this term requested does not name it
	unlistedLate   bool           // the same, and that list was requested late enough; see RunnersListed
	machineReused  bool           // lists that this term requested have named another runner of its machine, and not this one since
	followsAnother bool           // an earlier incarnation had the ID in this term
	clock          clock.Reading
	leaseUntil     clock.RunnerTime // latest lease end that any term may have sent
	sentUntil      clock.RunnerTime // latest lease end that this term has sent
	applied        int              // highest result applied to the state
	acked          int              // highest result whose effect is stored
	polledAck      int              // highest result that the last poll acknowledged
	confirmedAck   int              // highest result that a poll with a reply acknowledged
	unacked        []pendingAck
	// withheld is the first result that must not be acknowledged; the results
	// after it are not acknowledged either. It is zero if there is none.
	withheld         int
	runs             map[job.Task]*run
	used             job.Resources
	longRunning      int            // number of long-running runs
	latencySensitive int            // number of runs with a target latency
	images           map[string]int // number of runs by image, nil until there are any
	past             []pastRun      // the last runs that ended, of which nextPast is replaced next
	nextPast         int
	blockedUntil     clock.BootTime // no starts before this time
	idleSince        clock.BootTime // since when it has no runs
	expiredAt        clock.BootTime // when its lease was first seen to be expired
	cordoned         bool           // leaves for planned maintenance: no new starts
	keptFor          map[*task]bool // tasks that room is kept for
	heldUntil        clock.BootTime // only long-running tasks are started before this time
	health           health
	isolated         *jobState      // only the suspects of this job are started; nil: no such limit
	isolatedAt       clock.BootTime // when that began
	abandoned        []abandonedRun
	unreported       bool // runs were abandoned, of which it has not reported the results
	lastReply        clock.BootTime
	polledAt         clock.BootTime // when the latest poll with a reply was sent
	reportedAt       clock.BootTime // when the latest report was received
	endedFrom        clock.BootTime // from when on the runs may have ended whose results it has
	lostAt           clock.BootTime // when it last counted as lost; zero: never
}

func newRunnerState(i runner.Info) *runnerState {
	return &runnerState{Info: i, runs: make(map[job.Task]*run)}
}

// target returns the address of commands to the runner. An incarnation keeps its
// address, so the confirmed one has precedence over that of an entry. While the
// runner does not reply there, every second poll goes to the address of an
// announced incarnation.
func (rs *runnerState) target() runner.Target {
	to := runner.Target{ID: rs.ID, Addr: rs.Addr, Zone: rs.Zone}
	switch {
	case rs.announced != nil && rs.unreachable && rs.tryAnnounced:
		to.Addr = rs.announced.Addr
	case rs.confirmedAddr.IsValid():
		to.Addr = rs.confirmedAddr
	}
	return to
}

// free returns the free capacity.
func (rs *runnerState) free() job.Resources { return rs.freeFor(nil) }

// freeFor returns the free capacity for a task, which includes what is kept for it.
func (rs *runnerState) freeFor(t *task) job.Resources {
	f := rs.Capacity.Sub(rs.used)
	for x := range rs.keptFor {
		if x != t {
			f = f.Sub(x.step.spec.Demand())
		}
	}
	return f
}

// reregisterTimeout is how long a reachable runner remains in use after its
// store entry was removed: entries that expired during an outage of the store
// are registered again within two seconds of its return.
const reregisterTimeout = 2 * time.Second

// leaseExpired reports whether the lease of all runs on the runner has expired,
// by the lower bound of the runner's clock.
func (rs *runnerState) leaseExpired(now clock.BootTime) bool {
	return rs.clock.LowerBound(now) > rs.leaseUntil.Add(expiryMargin)
}

// expiryMargin covers the rounding of the clocks to milliseconds.
const expiryMargin = 20 * time.Millisecond

// lease returns the lease end to send, the latest that the platform allows, and
// records it in leaseUntil. The estimate of the runner's clock may be ahead of
// the clock; the runner then shortens the lease. While the stored roster has no
// open entry for the runner, it returns the one that was sent last: leaseUntil may
// be later than what any term has sent, and than what the roster says.
func (s *State) lease(rs *runnerState, now clock.BootTime) clock.RunnerTime {
	if !s.rostered[rs.ID] {
		return rs.sentUntil
	}
	until := rs.clock.RunnerTime.Add(now.Sub(rs.clock.ReceivedAt)).Add(s.Limits.MaxRunnerLease)
	rs.leaseUntil, rs.sentUntil = max(rs.leaseUntil, until), max(rs.sentUntil, until)
	return until
}

// acknowledge advances acked past the results whose effect is stored.
func (rs *runnerState) acknowledge() {
	for len(rs.unacked) > 0 {
		a := rs.unacked[0]
		if a.job != nil && a.job.storedVersion < a.version || rs.withheld != 0 && a.seq >= rs.withheld {
			return
		}
		rs.acked = a.seq
		rs.unacked = rs.unacked[1:]
	}
}

// hasUnacked reports whether the runner has results whose effect is not stored
// yet.
func (rs *runnerState) hasUnacked() bool { return len(rs.unacked) > 0 && rs.withheld == 0 }

// remove deletes a run from its runner and its task.
func (rs *runnerState) remove(r *run) {
	if rs.runs[r.task.name] == r {
		delete(rs.runs, r.task.name)
		rs.used = rs.used.Sub(r.demand)
		r.uncount()
		rs.countRun(r, -1)
	}
	t := r.task
	for i, x := range t.runs {
		if x == r {
			t.runs = append(t.runs[:i], t.runs[i+1:]...)
			if len(t.runs) == 0 && !t.done {
				t.step.idle++
			}
			return
		}
	}
}

// countRun adds d to the numbers of long-running and latency-sensitive runs if
// r is one, and to that of its image.
func (rs *runnerState) countRun(r *run, d int) {
	if r.task.step.spec.LongRunning {
		rs.longRunning += d
	}
	if r.task.step.spec.TargetLatency > 0 {
		rs.latencySensitive += d
	}
	rs.countImage(r.task.step.spec.Image, d)
}

// add records a run.
func (rs *runnerState) add(r *run) {
	rs.runs[r.task.name] = r
	rs.used = rs.used.Add(r.demand)
	r.count()
	rs.countRun(r, 1)
	if t := r.task; len(t.runs) == 0 && !t.done {
		t.step.idle--
	}
	r.task.runs = append(r.task.runs, r)
}
