package lead

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/machine"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
	"gypsumtrestle.example/gypsumtrestle/internal/sched"
	"gypsumtrestle.example/gypsumtrestle/internal/standin/store"
)

// listAPI is a machine API whose list names no runner.
type listAPI struct {
	machine.API
	called func()
}

func (a *listAPI) List(context.Context) ([]machine.Machine, error) {
	a.called()
	return []machine.Machine{{ID: "m", State: machine.Down}}, nil
}

// TestListRequestedBeforeRemoval guards against a runner of the previous term that
// counts as ended by a list that was requested while its entry was in the store.
func TestListRequestedBeforeRemoval(t *testing.T) {
	tm := newTestTerm(t, &lossyStore{Store: &store.Store{}})
	lease := time.Minute
	tm.state = sched.New(2, clock.Now(), sched.Limits{MaxRunnerLease: lease, RunnerTakeover: lease + lease/20}, tm.logger)
	i := runner.Info{ID: "r", Incarnation: 1, Machine: "m", Service: "p", Addr: netip.MustParseAddrPort("127.0.0.1:9")}
	tm.state.InheritRoster([]sched.RosterEntry{{ID: i.ID, Incarnation: i.Incarnation, Addr: i.Addr}})
	tm.state.SetRunner(i, clock.Now())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	lists := 0
	tm.cfg.Machines = &listAPI{called: func() {
		tm.mu.Lock()
		defer tm.mu.Unlock()
		lists++
		switch lists {
		case 2:
			tm.state.DeregisterRunner(i.ID, clock.Now())
		case 3:
			if !tm.state.WaitsForPrevious() {
				t.Error("the list that was requested before the removal ended the runner")
			}
			cancel()
		}
	}}
	tm.listMachines(ctx)
	if tm.state.WaitsForPrevious() {
		t.Error("the list that was requested after the removal did not end the runner")
	}
}
