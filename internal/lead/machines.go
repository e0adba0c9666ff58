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
	// waveWatchTimeout bounds one call to the watch of the waves.
	waveWatchTimeout = 2 * time.Second
	// machineBurst is how many commands to machines may be sent at once; the
	// machines' API limits the commands per second.
	machineBurst = 8
	// leaseMargin is how long the lease must remain valid for a command to be
	// sent to a machine, since the machines' API may not check terms.
	leaseMargin = 300 * time.Millisecond
)

// watchWaves applies the waves that operators request.
func (t *term) watchWaves(ctx context.Context) {
	var rev kv.Revision
	for ctx.Err() == nil {
		var err error
		if rev == 0 {
			rev, err = t.loadWaves(ctx)
		} else {
			rev, err = t.nextWaves(ctx, rev)
		}
		if err == nil {
			continue
		}
		if errors.Is(err, kv.ErrCompacted) {
			rev = 0
			continue
		}
		if ctx.Err() == nil {
			t.logger.Log("msg", "wave watch failed", "after", int64(rev), "err", err)
			clock.Sleep(ctx, retryDelay)
		}
	}
}

// loadWaves lists the waves with their stored status.
func (t *term) loadWaves(ctx context.Context) (kv.Revision, error) {
	items, rev, err := t.cfg.Store.List(ctx, t.cfg.Waves.Prefix)
	if err != nil {
		return 0, err
	}
	for _, it := range items {
		if err := t.applyWave(ctx, it); err != nil {
			return 0, err
		}
	}
	return rev, nil
}

func (t *term) nextWaves(ctx context.Context, rev kv.Revision) (kv.Revision, error) {
	events, asOf, err := t.cfg.Store.Watch(ctx, t.cfg.Waves.Prefix, rev, time.Now().Add(waveWatchTimeout))
	if err != nil {
		return rev, err
	}
	for _, e := range events {
		if e.Deleted {
			continue
		}
		if err := t.applyWave(ctx, e.Item); err != nil {
			return rev, err
		}
	}
	return asOf, nil
}

// applyWave adds a wave to the state, as completed if its stored status says
// so.
func (t *term) applyWave(ctx context.Context, it kv.Item) error {
	w, err := t.cfg.Waves.Decode(it.Value)
	if err != nil {
		t.logger.Log("msg", "wave decoding failed", "key", it.Key, "rev", int64(it.Rev), "err", err)
		return nil
	}
	key, done, err := t.cfg.Waves.Status(w.Number, true)
	if err != nil {
		return err
	}
	st, err := t.cfg.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.SetWave(*w, err == nil && string(st.Value) == string(done), clock.Now(), time.Now())
	t.notify()
	return nil
}

// storeWaves stores the status of waves for operators.
func (t *term) storeWaves(ctx context.Context) error {
	t.mu.Lock()
	sts := t.state.WaveStatuses()
	t.mu.Unlock()
	for _, st := range sts {
		key, value, err := t.cfg.Waves.Status(st.Number, st.Completed)
		if err != nil {
			return err
		}
		txn := kv.Txn{Writes: []kv.Write{{Key: key, Value: value}}}
		if st.Completed {
			txn.Deletes = []string{job.WaveKey(st.Number)}
		} else {
			due, err := cbor.Marshal(st.Due.UnixMilli())
			if err != nil {
				return errors.Wrap(err, "encode the due time of a wave")
			}
			txn.Writes = append(txn.Writes, kv.Write{Key: job.WaveKey(st.Number), Value: due})
		}
		if _, err := t.commit(ctx, txn); err != nil {
			return errors.Wrap(err, "store wave status")
		}
		t.mu.Lock()
		t.state.WaveStatusStored(st)
		t.mu.Unlock()
	}
	return nil
}

// commit applies a transaction on condition that this term still has the leader
// key.
func (t *term) commit(ctx context.Context, txn kv.Txn) (kv.Revision, error) {
	txn.Conds = append(txn.Conds, kv.Cond{Key: job.LeaderKey, Rev: kv.Revision(t.id)})
	rev, err := t.cfg.Store.Commit(ctx, txn)
	var conflict *kv.Conflict
	if errors.As(err, &conflict) && runner.Term(conflict.Find(job.LeaderKey).Rev) != t.id {
		return 0, errLostLeadership
	}
	return rev, err
}

// inheritIntents applies the stored intents: the machines that previous terms
// may have sent commands to.
func (t *term) inheritIntents(it kv.Item) {
	m := make(map[machine.ID]sched.Intent)
	if err := cbor.Unmarshal(it.Value, &m); err != nil {
		t.logger.Log("msg", "intents decoding failed", "rev", int64(it.Rev), "err", err)
	}
	t.state.IntentsStored(m)
	t.intentsRev = it.Rev
}

// inheritWave applies the stored due time of a wave.
func (t *term) inheritWave(number int, it kv.Item) {
	var due int64
	if err := cbor.Unmarshal(it.Value, &due); err != nil {
		t.logger.Log("msg", "due time of wave decoding failed, its full time is assumed", "wave", number, "rev", int64(it.Rev), "err", err)
		return
	}
	t.state.InheritWave(number, time.UnixMilli(due))
}

// storeIntents stores which machines this term may send commands to.
func (t *term) storeIntents(ctx context.Context) error {
	t.mu.Lock()
	m, changed := t.state.Intents(clock.Now())
	t.mu.Unlock()
	if !changed {
		return nil
	}
	b, err := cbor.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "encode machine intents")
	}
	rev, err := t.commit(ctx, kv.Txn{
		Conds:  []kv.Cond{{Key: job.MachinesKey, Rev: t.intentsRev}},
		Writes: []kv.Write{{Key: job.MachinesKey, Value: b}},
	})
	var conflict *kv.Conflict
	if errors.As(err, &conflict) {
		t.intentsRev = conflict.Find(job.MachinesKey).Rev
		t.mu.Lock()
		t.state.IntentsUnknown()
		t.mu.Unlock()
		return nil
	}
	if err != nil {
		if !errors.Is(err, kv.ErrRejected) {
			t.mu.Lock()
			t.state.IntentsUnknown()
			t.mu.Unlock()
		}
		return errors.Wrap(err, "store machine intents")
	}
	t.intentsRev = rev
	t.mu.Lock()
	t.state.IntentsStored(m)
	t.mu.Unlock()
	t.notify()
	return nil
}

// commandsUntil returns the time before which the lease is certain to stay valid
// for leaseMargin, so that commands may be sent to machines.
func (t *term) commandsUntil() clock.BootTime {
	return clock.BootTime(t.renewed.Load()).Add(t.ttl - leaseMargin)
}

// sendMachineCommand sends one command to a machine.
func (t *term) sendMachineCommand(ctx context.Context, c sched.Command) {
	if err := t.machineLimiter.Wait(ctx); err != nil {
		return // the term has ended
	}
	h := machine.Holder{Name: t.cfg.Self.Name, Term: t.id, Until: t.commandsUntil()}
	v, err := machine.Rejected, error(nil)
	switch {
	case t.cfg.Machines == nil:
		v = machine.Unknown
	case !h.Until.After(clock.Now()):
		t.logger.Log("msg", "machine command not sent: leader lease expired or about to expire", "machine", c.Machine)
	case c.Kind == sched.MaintainMachine:
		v, err = t.cfg.Machines.Maintain(ctx, h, c.Machine, c.Wave)
	case c.Kind == sched.MoveMachine:
		v, err = t.cfg.Machines.Move(ctx, h, c.Machine, c.Pool)
	}
	if err != nil {
		t.logger.Log("msg", "machine command failed", "machine", c.Machine, "err", err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.HandleMachineReply(&c, v, err == nil, clock.Now())
	t.notify()
}
