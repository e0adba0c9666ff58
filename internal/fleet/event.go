package fleet

import (
	"net/netip"
	"time"
)

// Event is one edit of a Map: a step of a host's state machine, a host that
// appeared or is gone, or a change of the roster.
type Event interface {
	apply(m *Map, now time.Time) error
}

// Grant gives a free host to a pool; its runner is to be started.
type Grant struct {
	Host, Pool string
	Slots      int
}

// Started reports that a starting host's task runs.
type Started struct {
	Host, Task string
	Addr       netip.AddrPort
}

// StartFailed gives up a starting host's task. The host is drained to the
// spare pool, because older maps may show it as serving its present pool.
type StartFailed struct{ Host, Task, Spare string }

// Lost reports that a starting or serving host's task has ended by itself. The
// host starts a new task in the same pool, which needs no confirmation: a
// request that is routed by an older map reaches the same service. Failed is
// set if the task failed, rather than being cancelled or outliving its lease,
// which say nothing of the host.
type Lost struct {
	Host, Task string
	Failed     bool
}

// Drain stops new work to a host. Next is the pool to move to; empty means
// maintenance.
type Drain struct{ Host, Next string }

// Resume returns a draining host to service in its pool.
type Resume struct{ Host string }

// Drained reports that Confirmations shows no wait for the drain of version Changed.
type Drained struct {
	Host    string
	Changed uint64
}

// Stopped reports that a stopping host's task has ended. The host becomes free
// in the spare pool, or goes to maintenance. Booted is the host's boot instant
// in the host list.
type Stopped struct {
	Host, Task, Spare string
	Booted            time.Time
}

// Maintain sends a host without a task to maintenance.
type Maintain struct {
	Host   string
	Booted time.Time
}

// Maintained reports that a host is back from maintenance.
type Maintained struct{ Host, Spare string }

// Quarantine takes a free host out of use because its starts fail.
type Quarantine struct{ Host string }

// HostAdded adds a host to the spare pool. Maintained is its boot instant.
type HostAdded struct {
	Host, Rack, Spare string
	Maintained        time.Time
}

// HostGone reports that the host list has a host as gone. A host that daemons
// may still send to drains first; any other is removed.
type HostGone struct{ Host string }

// Join adds a daemon to the roster.
type Join struct{ Name, Zone, Incarnation string }

// Leave removes a daemon from the roster. Newer is set for Proof Replaced.
type Leave struct {
	Incarnation      string
	Proof            Proof
	NewerIncarnation string
}
