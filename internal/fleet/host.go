package fleet

import (
	"net/netip"
	"time"
)

// State is the state of a host.
type State uint8

// States of a host.
const (
	// Free hosts belong to the spare pool and have no task.
	Free State = iota
	// Starting hosts wait for their runner's task to start.
	Starting
	// Serving hosts accept requests.
	Serving
	// Draining hosts accept no new requests and finish those they have.
	Draining
	// Stopping hosts wait for their runner's task to stop.
	Stopping
	// Maintenance hosts are being maintained by the platform.
	Maintenance
	// Failed hosts are quarantined because their starts fail.
	Failed
)

var stateNames = [...]string{"free", "starting", "serving", "draining", "stopping", "maintenance", "failed"}

// FailureResetAfter is how long a runner must serve before its host's failures
// are cleared.
const FailureResetAfter = 10 * time.Minute

// String returns the state's name as status and logs print it.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

// Host is one machine of a zone.
type Host struct {
	Name string `json:"name"`
	Rack string `json:"rack"`
	// Pool is the one pool that the host belongs to.
	Pool  string `json:"pool"`
	State State  `json:"state"`
	// Next is the pool that a draining host moves to; empty means maintenance.
	Next string `json:"next,omitempty"`
	// Task is the platform's ID of the runner's task.
	Task string `json:"task,omitempty"`
	// Addr is the address at which the runner accepts requests; it is invalid
	// if no runner serves.
	Addr netip.AddrPort `json:"addr"`
	// Slots is the number of requests that the runner handles at once.
	Slots int `json:"slots,omitempty"`
	// Changed is the version of the map that last changed the host's state.
	Changed uint64 `json:"changed"`
	// Since is the time of that change.
	Since time.Time `json:"since"`
	// Maintained is when the host last returned from maintenance.
	Maintained time.Time `json:"maintained"`
	// Failures counts failed starts and lost runners since a runner last served
	// for FailureResetAfter.
	Failures int `json:"failures,omitempty"`
	// FailedPools names the pools of those failures, each once.
	FailedPools []string `json:"failedpools,omitempty"`
	// Booted is the boot time in the host list when the host went to
	// maintenance. A different boot time in the list shows that the host has
	// rebooted.
	Booted time.Time `json:"booted"`
	// Gone is set for a draining host that no longer exists. It stays in the
	// map until its drain is complete, so that no other host serves at its
	// address while a daemon may still send requests there.
	Gone bool `json:"gone,omitempty"`
}

// Map is one zone's hosts, sorted by name.
type Map struct {
	Zone    string `json:"zone"`
	Version uint64 `json:"version"`
	// Writer is the incarnation of the manager that wrote this version.
	Writer string `json:"writer"`
	Hosts  []Host `json:"hosts"`
	// Roster lists the daemons of all zones that may route by this map, sorted
	// by incarnation.
	Roster []Member `json:"roster"`
}
