package route

import (
	"sync/atomic"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/backend"
)

// Member is a runner in a snapshot, with its counters. All fields except the
// counters are immutable; the counters outlive the snapshot.
type Member struct {
	backend.Runner
	Pool    string
	leaving bool
	*counters
}

// counters is the state that a daemon keeps for one runner.
type counters struct {
	// own is the number of outstanding requests of this daemon.
	own atomic.Int32
	// others is the sum of the requests in the last reports of other daemons.
	others atomic.Int32
	// fullUntil is the time, in Unix nanoseconds, until which the runner is
	// treated as full because it rejected a request as busy. It is reset when a
	// request of this daemon on the runner ends.
	fullUntil atomic.Int64
	// reportedLeaving is set when the runner has reported that it is shutting
	// down. A new runner on the host has another address and thus other counters.
	reportedLeaving atomic.Bool
	ejection
}

// isLeaving reports whether the member accepts no new requests.
func (m *Member) isLeaving() bool { return m.leaving || m.reportedLeaving.Load() }

// group holds the members of one pool in one zone.
type group struct {
	zone    string
	members []Member
	// allowance limits the requests that this daemon sends to another zone; nil
	// for the daemon's own zone.
	allowance *allowance
}

// allowance is this daemon's share of the free slots that another zone reported
// for a pool.
type allowance struct {
	limit atomic.Int32
	used  atomic.Int32
	// expires is the time at which the report expires, in Unix nanoseconds.
	expires atomic.Int64
}

// free returns the number of requests that this daemon may still send.
func (a *allowance) free(now int64) int32 {
	if now >= a.expires.Load() {
		return 0
	}
	return a.limit.Load() - a.used.Load()
}

// Share returns the share of free slots of one daemon, by its rank among all
// daemons. The shares of the ranks 0 to of-1 add up to free.
func Share(free, rank, of int) int {
	if free <= 0 || of <= 0 || rank < 0 || rank >= of {
		return 0
	}
	return free*(rank+1)/of - free*rank/of
}

// set replaces the allowance.
func (a *allowance) set(allowed int, until time.Time) {
	a.limit.Store(int32(allowed))
	a.expires.Store(until.UnixNano())
}
