package fleet

import (
	"net/netip"
	"time"
)

// Event is one edit of a Map: a transition of a host, a host that was added or
// no longer exists, or a change of the roster.
type Event interface {
	apply(m *Map, now time.Time) error
}

// Grant assigns a free host to a pool; the host must start a runner.
type Grant struct {
	Host, Pool string
	Slots      int
}

// Started reports that a starting host's task is running.
type Started struct {
	Host, Task string
	Addr       netip.AddrPort
}

// StartFailed abandons a starting host's task. The host is drained to the spare
// pool, because older maps may list it as serving its current pool.
type StartFailed struct{ Host, Task, Spare string }

// Lost reports that a starting or serving host's task ended without being
// stopped. The host starts a new task in the same pool. This needs no
// confirmation: a request that is routed by an older map reaches the same
// service. Failed is set if the task failed. It is not set if the task was
// cancelled or ran past its lease, which is no evidence against the host.
type Lost struct {
	Host, Task string
	Failed     bool
}

// Drain stops new requests to a host. Next is the pool that the host moves to;
// empty means maintenance.
type Drain struct{ Host, Next string }

// Resume returns a draining host to service in its pool.
type Resume struct{ Host string }

// Drained reports that Confirmations has no wait left for the drain of version
// Changed.
type Drained struct {
	Host    string
	Changed uint64
}

// Stopped reports that a stopping host's task has ended. The host becomes free
// in the spare pool, or goes to maintenance. Booted is the host's boot time in
// the host list.
type Stopped struct {
	Host, Task, Spare string
	Booted            time.Time
}

// Maintain sends a host without a task to maintenance.
type Maintain struct {
	Host   string
	Booted time.Time
}

// Maintained reports that a host has returned from maintenance.
type Maintained struct{ Host, Spare string }

// Quarantine takes a free host out of use because its starts fail.
type Quarantine struct{ Host string }

// HostAdded adds a host to the spare pool. Maintained is its boot time.
type HostAdded struct {
	Host, Rack, Spare string
	Maintained        time.Time
}

// HostGone reports that the host list has a host as gone. A host to which
// daemons may still send requests drains first; any other host is removed.
type HostGone struct{ Host string }

// Join adds a daemon to the roster.
type Join struct{ Name, Zone, Incarnation string }

// Leave removes a daemon from the roster. NewerIncarnation is set if Proof is
// Replaced.
type Leave struct {
	Incarnation      string
	Proof            Proof
	NewerIncarnation string
}
