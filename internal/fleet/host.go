package fleet

import (
	"net/netip"
	"time"
)

// State is what the system does with a host.
type State uint8

// States of a host.
const (
	// Free hosts belong to the spare pool and run nothing.
	Free State = iota
	// Starting hosts wait for their runner's task to start.
	Starting
	// Serving hosts take requests.
	Serving
	// Draining hosts take no new request and finish those they have.
	Draining
	// Stopping hosts wait for their runner's task to stop.
	Stopping
	// Maintenance hosts are with the platform.
	Maintenance
	// Failed hosts are set aside: they failed everything they started.
	Failed
)

var stateNames = [...]string{"free", "starting", "serving", "draining", "stopping", "maintenance", "failed"}

// FailureResetAfter is how long a runner serves before its host's failures are forgotten.
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
	// Next is the pool that a draining host moves to; empty means that it
	// leaves for maintenance.
	Next string `json:"next,omitempty"`
	// Task is the platform's identifier of the runner's task.
	Task string `json:"task,omitempty"`
	// Addr is where the runner takes requests; invalid when none runs.
	Addr netip.AddrPort `json:"addr"`
	// Slots is the number of requests that the runner takes at once.
	Slots int `json:"slots,omitempty"`
	// Changed is the version of the map that last changed the host's state.
	Changed uint64 `json:"changed"`
	// Since is the instant of that change.
	Since time.Time `json:"since"`
	// Maintained is when the host last came back from maintenance.
	Maintained time.Time `json:"maintained"`
	// Failures counts failed starts and lost runners since a runner last served
	// for FailureResetAfter.
	Failures int `json:"failures,omitempty"`
	// FailedPools names the pools of those failures, each once.
	FailedPools []string `json:"failedpools,omitempty"`
	// Booted is the boot instant that the host list gave when the host went
	// to maintenance. A different one in the list shows that it rebooted.
	Booted time.Time `json:"booted"`
	// Gone marks a draining host that no longer exists. It stays in the map
	// until its drain is complete, so that no other host serves at its address
	// while a daemon may still send requests there.
	Gone bool `json:"gone,omitempty"`
}

// Map is one zone's hosts, sorted by name.
type Map struct {
	Zone    string `json:"zone"`
	Version uint64 `json:"version"`
	// Writer is the incarnation of the manager that wrote this version.
	Writer string `json:"writer"`
	Hosts  []Host `json:"hosts"`
	// Roster lists the daemons that may route by this map, of every zone,
	// sorted by incarnation.
	Roster []Member `json:"roster"`
}
