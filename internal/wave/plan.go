package wave

import (
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/fleet"
	"gypsumtrestle.example/gypsumtrestle/pkg/text"
)

// Input is everything that a plan depends on.
type Input struct {
	Now  time.Time
	Text *text.Text
	Zone string
	// Maps holds the maps of all zones; those of other zones may be old.
	Maps map[string]*fleet.Map
	// Hosts is the platform's host list; only the workers of Zone are used.
	Hosts []etcd.Host
	Usage []etcd.Usage
	// ExhaustedBudgets is the set of services that have used up today's
	// availability budget.
	ExhaustedBudgets map[string]bool
	// Reported holds the findings that were reported before, by subject.
	Reported map[string]string
}

// Kind is the kind of an Action.
type Kind uint8

// Kinds of actions.
const (
	// Grant starts a runner of Pool on a free host.
	Grant Kind = iota
	// Drain takes a host out of its pool, to Pool or, if empty, to maintenance.
	Drain
	// Resume returns a draining host to service.
	Resume
	// Maintain sends a host without a runner to maintenance.
	Maintain
	// Quarantine takes a host whose starts fail out of use.
	Quarantine
	// Report reports a finding to the operators; Subject identifies it.
	Report
)

// String returns the kind as logs print it.
func (k Kind) String() string {
	return [...]string{"grant", "drain", "resume", "maintain", "set aside", "report"}[k]
}

// Action is one decision of a plan.
type Action struct {
	Kind       Kind
	Host, Pool string
	Slots      int
	Booted     time.Time
	Subject    string
	Reason     string
}

// Event returns the edit of the zone's map, or nil for a Report.
func (a Action) Event() fleet.Event {
	switch a.Kind {
	case Grant:
		return fleet.Grant{Host: a.Host, Pool: a.Pool, Slots: a.Slots}
	case Drain:
		return fleet.Drain{Host: a.Host, Next: a.Pool}
	case Resume:
		return fleet.Resume{Host: a.Host}
	case Maintain:
		return fleet.Maintain{Host: a.Host, Booted: a.Booted}
	case Quarantine:
		return fleet.Quarantine{Host: a.Host}
	default:
		return nil
	}
}

// Plan returns the actions for the zone, in the order in which they apply.
func Plan(in Input) []Action {
	if in.Maps[in.Zone] == nil {
		return nil
	}
	p := newPlanner(&in)
	p.reportFindings()
	p.quarantine()
	p.resume()
	p.drainLeaving()
	p.planReplacements()
	p.grant()
	p.maintain()
	p.move()
	p.returnSurplus()
	p.reportOverdue()
	return p.actions
}
