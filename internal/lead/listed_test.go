package lead

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/kv"
	"gypsumtrestle.example/gypsumtrestle/internal/machine"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
	"gypsumtrestle.example/gypsumtrestle/internal/sched"
	"gypsumtrestle.example/gypsumtrestle/internal/standin/store"
)

// listAPI is a machine API whose list names no runner.
type listAPI struct {
	machine.API
	called   func()
	failures int // of the first calls
}

func (a *listAPI) List(context.Context) ([]machine.Machine, error) {
	a.called()
	if a.failures--; a.failures >= 0 {
		return nil, errors.New("list failed")
	}
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
		case 3, 4:
			if !tm.state.WaitsForPrevious() {
				t.Errorf("the runner has ended before list %d, want two lists that were requested after its removal", lists)
			}
			if lists == 4 {
				cancel()
			}
		}
	}}
	tm.listMachines(ctx)
	if tm.state.WaitsForPrevious() {
		t.Error("the lists that were requested after the removal did not end the runner")
	}
}

// waitingTerm returns a term that waits for a runner of the previous one, whose machine
// is down, and its state.
func waitingTerm(t *testing.T, lastCommand time.Duration) *term {
	t.Helper()
	tm := newTestTerm(t, &lossyStore{Store: &store.Store{}})
	lease := time.Minute
	tm.cfg.Registry.Prefix, tm.listWakeup = "runners/", make(chan struct{}, 1)
	tm.state = sched.New(2, clock.Now(), sched.Limits{MaxRunnerLease: lease, RunnerTakeover: lastCommand + lease + lease/20}, tm.logger)
	i := runner.Info{ID: "r", Incarnation: 1, Machine: "m", Service: "p", Addr: netip.MustParseAddrPort("127.0.0.1:9")}
	tm.state.InheritRoster([]sched.RosterEntry{{ID: i.ID, Incarnation: i.Incarnation, Addr: i.Addr}})
	tm.state.SetRunner(i, clock.Now())
	return tm
}

// TestListAwaited guards against tasks that wait up to a second longer than they must
// for a runner that has ended, because the machines are listed at fixed intervals.
func TestListAwaited(t *testing.T) {
	const lastCommand = 300 * time.Millisecond
	for name, at := range map[string]struct{ removal, failures int }{
		"the last command":                 {1, 0},
		"the removal of its entry":         {2, 0},
		"a list after one that failed":     {1, 1},
		"a list after several that failed": {1, 3},
	} {
		t.Run(name, func(t *testing.T) {
			tm := waitingTerm(t, lastCommand)
			began, lists := clock.Now(), 0
			remove := func() {
				tm.applyRunners(t.Context(), []kv.Event{{Item: kv.Item{Key: "runners/r"}, Deleted: true}})
			}
			if at.removal == 2 {
				go func() { <-time.After(lastCommand); remove() }()
			} else {
				remove()
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			tm.cfg.Machines = &listAPI{called: func() { lists++ }, failures: at.failures}
			go func() {
				defer cancel()
				for tm.waits() && ctx.Err() == nil {
					<-time.After(time.Millisecond)
				}
			}()
			tm.listMachines(ctx)
			waited := clock.Now().Sub(began)
			if bound := lastCommand + time.Duration(at.failures+2)*minPause; waited < lastCommand || waited > bound {
				t.Errorf("%d lists, the runner counts as ended after %v, want after %v and within %v", lists, waited, lastCommand, bound)
			}
		})
	}
}

// minPause is somewhat longer than the pause between two lists that are awaited.
const minPause = 220 * time.Millisecond

func (t *term) waits() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.WaitsForPrevious()
}
