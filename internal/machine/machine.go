// Package machine defines the interface to the platform's machine API, which
// moves machines between pools and takes them down for maintenance. A machine
// hosts runners, one after the other: a new runner each time it comes up.
package machine

import (
	"context"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// ID is the ID of a machine.
type ID string

// State is the state of a machine.
type State int

// States of a machine.
const (
	Up State = iota
	Moving
	Maintenance
	Down
)

// Machine is one entry of the machine list.
type Machine struct {
	ID       ID
	Pool     string
	State    State
	Zone     string
	Labels   []string
	Capacity job.Resources
	Runner   runner.ID
}

// ErrNoResponse means that the command may have been carried out.
var ErrNoResponse = errors.New("no response from machine API")

// Verdict is the reply to a command.
type Verdict int

// Verdicts on a command.
const (
	Accepted  Verdict = iota // also if it was carried out before
	Fenced                   // a holder of a higher term has sent a command to the machine
	Busy                     // the machine is not up, or is leaving
	WrongWave                // the machine does not belong to the wave
	Unknown                  // no such machine, or it cannot join the pool
	Rejected                 // nothing was done; try again later
)

func (v Verdict) String() string {
	return [...]string{"accepted", "fenced", "busy", "other-wave", "unknown", "refused"}[v]
}

// Holder is the sender of commands. Each machine has one holder at a time.
type Holder struct {
	Name string
	Term runner.Term
	// Until is when the holder's permission ends: a command that was not sent
	// before must not be sent, for example by a process that was paused.
	Until clock.BootTime
}

// API lists machines and sends them commands. A command whose outcome is unknown
// returns ErrNoResponse.
type API interface {
	List(ctx context.Context) ([]Machine, error)
	Move(ctx context.Context, h Holder, id ID, pool string) (Verdict, error)
	Maintain(ctx context.Context, h Holder, id ID, wave int) (Verdict, error)
}
