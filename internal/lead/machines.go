package lead

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/kv"
	"gypsumtrestle.example/gypsumtrestle/internal/machine"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
	"gypsumtrestle.example/gypsumtrestle/internal/sched"
)

const (
	// wavesWait is how long the watch of the waves waits.
	wavesWait = 2 * time.Second
	// machineBurst is how many orders to machines may go out at once; the API
	// counts them by the second.
	machineBurst = 8
	// leaseMargin of the lease must be left for an order to a machine, since
	// the machines' API may not check terms.
	leaseMargin = 300 * time.Millisecond
)

// watchWaves takes the waves that operators ask for.
func (x *term) watchWaves(ctx context.Context) {
	var rev kv.Revision
	for ctx.Err() == nil {
		var err error
		if rev == 0 {
			rev, err = x.loadWaves(ctx)
		} else {
			rev, err = x.nextWaves(ctx, rev)
		}
		if err == nil {
			continue
		}
		if errors.Is(err, kv.ErrCompacted) {
			rev = 0
			continue
		}
		if ctx.Err() == nil {
			x.logger.Log("msg", "waves cannot be watched", "after", int64(rev), "err", err)
			clock.Sleep(ctx, retryPause)
		}
	}
}

// loadWaves lists the waves with the state that the store shows.
func (x *term) loadWaves(ctx context.Context) (kv.Revision, error) {
	items, rev, err := x.cfg.Store.List(ctx, x.cfg.Waves.Prefix)
	if err != nil {
		return 0, err
	}
	for _, it := range items {
		if err := x.takeWave(ctx, it); err != nil {
			return 0, err
		}
	}
	return rev, nil
}

func (x *term) nextWaves(ctx context.Context, rev kv.Revision) (kv.Revision, error) {
	events, asOf, err := x.cfg.Store.Watch(ctx, x.cfg.Waves.Prefix, rev, time.Now().Add(wavesWait))
	if err != nil {
		return rev, err
	}
	for _, e := range events {
		if e.Deleted {
			continue
		}
		if err := x.takeWave(ctx, e.Item); err != nil {
			return rev, err
		}
	}
	return asOf, nil
}

// takeWave takes a wave, unless the store shows that it is completed.
func (x *term) takeWave(ctx context.Context, it kv.Item) error {
	w, err := x.cfg.Waves.Decode(it.Value)
	if err != nil {
		x.logger.Log("msg", "wave cannot be used", "key", it.Key, "rev", int64(it.Rev), "err", err)
		return nil
	}
	key, done, err := x.cfg.Waves.Status(w.Number, true)
	if err != nil {
		return err
	}
	st, err := x.cfg.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return err
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.state.SetWave(*w, err == nil && string(st.Value) == string(done), clock.Now())
	x.wake()
	return nil
}

// storeWaves shows the state of waves to the operators.
func (x *term) storeWaves(ctx context.Context) error {
	x.mu.Lock()
	sts := x.state.WaveStatuses()
	x.mu.Unlock()
	for _, st := range sts {
		key, value, err := x.cfg.Waves.Status(st.Number, st.Completed)
		if err != nil {
			return err
		}
		if _, err := x.commit(ctx, kv.Txn{Writes: []kv.Write{{Key: key, Value: value}}}); err != nil {
			return errors.Wrap(err, "store wave status")
		}
		x.mu.Lock()
		x.state.WaveStatusStored(st)
		x.mu.Unlock()
	}
	return nil
}

// commit applies a transaction on condition that this term still leads.
func (x *term) commit(ctx context.Context, t kv.Txn) (kv.Revision, error) {
	t.Conds = append(t.Conds, kv.Cond{Key: job.LeaderKey, Rev: kv.Revision(x.id)})
	rev, err := x.cfg.Store.Commit(ctx, t)
	var conflict *kv.Conflict
	if errors.As(err, &conflict) && runner.Term(conflict.Find(job.LeaderKey).Rev) != x.id {
		return 0, errDeposed
	}
	return rev, err
}

// inheritIntents takes the machines that earlier terms may have ordered.
func (x *term) inheritIntents(it kv.Item) {
	m := make(map[machine.ID]sched.Intent)
	if err := cbor.Unmarshal(it.Value, &m); err != nil {
		x.logger.Log("msg", "orders to machines cannot be read", "rev", int64(it.Rev), "err", err)
	}
	x.state.IntentsStored(m)
	x.intentsRev = it.Rev
}

// storeIntents stores which machines this term may order.
func (x *term) storeIntents(ctx context.Context) error {
	x.mu.Lock()
	m, fresh := x.state.Intents(clock.Now())
	x.mu.Unlock()
	if !fresh {
		return nil
	}
	b, err := cbor.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "encode orders to machines")
	}
	rev, err := x.commit(ctx, kv.Txn{
		Conds:  []kv.Cond{{Key: job.MachinesKey, Rev: x.intentsRev}},
		Writes: []kv.Write{{Key: job.MachinesKey, Value: b}},
	})
	var conflict *kv.Conflict
	if errors.As(err, &conflict) {
		x.intentsRev = conflict.Find(job.MachinesKey).Rev
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "store orders to machines")
	}
	x.intentsRev = rev
	x.mu.Lock()
	x.state.IntentsStored(m)
	x.mu.Unlock()
	x.wake()
	return nil
}

// leased tells whether the lease surely holds for a while.
func (x *term) leased() bool {
	return clock.Now().Sub(clock.BootTime(x.renewed.Load())) < x.ttl-leaseMargin
}

// listPeriod is between two listings of the machines. Moves are known from the
// runners; the list shows machines that are off.
const listPeriod = 2 * time.Second

// listMachines follows the list of machines.
func (x *term) listMachines(ctx context.Context) {
	if x.cfg.Machines == nil {
		return
	}
	for ctx.Err() == nil {
		ms, err := x.cfg.Machines.List(ctx)
		if err != nil {
			if ctx.Err() == nil {
				x.logger.Log("msg", "machines cannot be listed", "err", err)
			}
		} else {
			x.mu.Lock()
			x.state.SetMachines(ms, clock.Now())
			x.mu.Unlock()
		}
		clock.Sleep(ctx, listPeriod)
	}
}

// orderMachine sends one order to a machine.
func (x *term) orderMachine(ctx context.Context, o sched.Command) {
	if err := x.machineOrders.Wait(ctx); err != nil {
		return // the term has ended
	}
	h := machine.Holder{Name: x.cfg.Self.Name, Term: x.id}
	v, err := machine.Refused, error(nil)
	switch {
	case x.cfg.Machines == nil:
		v = machine.Unknown
	case !x.leased():
		x.logger.Log("msg", "machine is not ordered: lease is not sure", "machine", o.Machine)
	case o.Kind == sched.MaintainMachine:
		v, err = x.cfg.Machines.Maintain(ctx, h, o.Machine, o.Wave)
	case o.Kind == sched.MoveMachine:
		v, err = x.cfg.Machines.Move(ctx, h, o.Machine, o.Pool)
	}
	if err != nil {
		x.logger.Log("msg", "order to machine has no answer", "machine", o.Machine, "err", err)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.state.HandleMachineReply(&o, v, err == nil, clock.Now())
	x.wake()
}
