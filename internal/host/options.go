package host

import "net/netip"

// Admission is when an entry daemon may reject jobs because of the load.
type Admission string

// Values of Admission.
const (
	AdmissionOff  Admission = "off"
	AdmissionOn   Admission = "on"
	AdmissionAuto Admission = "auto" // if the configuration has workspaces
)

// Options are the settings of a daemon that its operators choose.
type Options struct {
	Metrics netip.AddrPort // address that serves the metrics
	// DirectLimit is the number of runners up to which the daemon calls them itself as
	// the leader.
	DirectLimit int
	Together    bool // tasks are placed without regard to interference
	// Admission is when jobs are rejected that an overloaded pool cannot complete in time.
	Admission Admission
}
