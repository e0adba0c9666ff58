// Package machine is what the product needs of the platform's API for
// machines: moving them between pools and taking them down for upkeep. A
// machine is a host of runners; each life of it is one runner.
package machine

import (
	"context"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// ID names a machine.
type ID string

// State is what a machine does.
type State int

// States.
const (
	Up State = iota
	Moving
	Maintenance
	Down
)

// Machine is one row of the list.
type Machine struct {
	ID       ID
	Pool     string
	State    State
	Zone     string
	Labels   []string
	Capacity job.Resources
	Runner   runner.ID
}

// ErrNoResponse means that the order may have been carried out.
var ErrNoResponse = errors.New("machines' API gave no answer")

// Verdict is the answer to an order.
type Verdict int

// Verdicts.
const (
	Accepted  Verdict = iota // also if it had been carried out before
	Fenced                   // a later holder has ordered the machine
	Busy                     // it is not up, or is leaving
	WrongWave                // it does not belong to the wave
	Unknown                  // no such machine, or the pool is not for it
	Refused                  // nothing was done; try again later
)

func (v Verdict) String() string {
	return [...]string{"accepted", "fenced", "busy", "other-wave", "unknown", "refused"}[v]
}

// Holder is who orders; for each machine one holder at a time.
type Holder struct {
	Name string
	Term runner.Term
}

// API orders machines.
type API interface {
	List(ctx context.Context) ([]Machine, error)
	Move(ctx context.Context, h Holder, id ID, pool string) (Verdict, error)
	Maintain(ctx context.Context, h Holder, id ID, wave int) (Verdict, error)
}
