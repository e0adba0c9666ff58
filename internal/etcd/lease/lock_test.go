package lease_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/etcd/lease"
	"gypsumtrestle.example/gypsumtrestle/internal/standin/platform/kv"
)

// gated is a store whose calls fail while down is set and block while paused is
// set. While stale is set, its reads return the first state.
type gated struct {
	etcd.Store
	down, paused, stale atomic.Bool
}

var errDown = errors.New("down")

func (g *gated) wait() error {
	for g.paused.Load() {
		time.Sleep(100 * time.Millisecond) // fake time of synctest
	}
	if g.down.Load() {
		return errDown
	}
	return nil
}

func (g *gated) Get(ctx context.Context, key string) (etcd.Pair, error) {
	if err := g.wait(); err != nil {
		return etcd.Pair{}, err
	}
	if g.stale.Load() {
		return etcd.Pair{}, nil
	}
	return g.Store.Get(ctx, key)
}

func (g *gated) List(ctx context.Context, prefix string) ([]etcd.Pair, int64, error) {
	if err := g.wait(); err != nil {
		return nil, 0, err
	}
	if g.stale.Load() {
		return nil, 1, nil
	}
	return g.Store.List(ctx, prefix)
}

func (g *gated) Do(ctx context.Context, t etcd.Txn) (etcd.TxnResult, error) {
	if err := g.wait(); err != nil {
		return etcd.TxnResult{}, err
	}
	return g.Store.Do(ctx, t)
}

func (g *gated) Grant(ctx context.Context, ttl int64) (int64, error) {
	if err := g.wait(); err != nil {
		return 0, err
	}
	return g.Store.Grant(ctx, ttl)
}

func (g *gated) KeepAlive(ctx context.Context, lease int64) error {
	if err := g.wait(); err != nil {
		return err
	}
	return g.Store.KeepAlive(ctx, lease)
}

func (g *gated) Revoke(ctx context.Context, lease int64) error {
	if err := g.wait(); err != nil {
		return err
	}
	return g.Store.Revoke(ctx, lease)
}

// Guards against two holders at the same time, and against a paused holder whose
// later write is still accepted.
func TestLockOfPausedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &kv.Store{}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		gates := []*gated{{Store: store}, {Store: store}}
		var locks []*lease.Lock
		for i, g := range gates {
			l := &lease.Lock{Store: g, Key: "/gt/manager/waco", Value: []byte{'0' + byte(i)}}
			locks = append(locks, l)
			go l.Run(ctx) //nolint:errcheck // ends with ctx
			time.Sleep(time.Second)
		}
		step := func(d time.Duration) (holder int, held lease.Held) {
			holder = -1
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				holder = -1
				for i, l := range locks {
					h, ok := l.Held(time.Now())
					if ok && holder >= 0 {
						t.Fatal("two holders")
					}
					if ok {
						holder, held = i, h
					}
				}
			}
			return holder, held
		}
		first, before := step(time.Minute)
		if first != 0 {
			t.Fatalf("holder %d", first)
		}
		gates[0].paused.Store(true)
		second, after := step(15 * time.Second)
		if second != 1 || after.Created == before.Created {
			t.Fatalf("holder %d, create revisions %d and %d", second, before.Created, after.Created)
		}
		gates[0].paused.Store(false)
		if holder, _ := step(time.Minute); holder != 1 {
			t.Errorf("holder %d after the pause", holder)
		}
		res, err := store.Do(ctx, etcd.Txn{
			Conds: []etcd.Cond{{Key: "/gt/manager/waco", Created: before.Created}},
			Puts:  []etcd.Put{{Key: "/gt/map/waco", Value: []byte("old")}},
		})
		if err != nil || res.Applied {
			t.Errorf("Do of the first holder = %+v, %v", res, err)
		}
		cancel()
		synctest.Wait()
		if p, err := store.Get(t.Context(), "/gt/manager/waco"); err != nil || p.Key != "" {
			t.Errorf("key after shutdown = %+v, %v", p, err)
		}
	})
}

// Guards against a lock that expires during an outage shorter than its lease, or
// that is released because a read returns an older state.
func TestLockSurvivesShortOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &kv.Store{}
		g := &gated{Store: store}
		l := &lease.Lock{Store: g, Key: "/l", Value: []byte("1")}
		ctx, cancel := context.WithCancel(t.Context())
		go l.Run(ctx) //nolint:errcheck // ends with ctx
		time.Sleep(time.Second)
		before, _ := l.Held(time.Now())
		for i := range 50 {
			g.stale.Store(i%2 == 0)
			g.down.Store(true)
			time.Sleep(3 * time.Second)
			g.down.Store(false)
			time.Sleep(6 * time.Second)
			if h, ok := l.Held(time.Now()); !ok || h.Created != before.Created {
				t.Fatalf("Held = %+v, %v, before the outage %+v", h, ok, before)
			}
		}
		g.stale.Store(false)
		if _, err := store.Do(ctx, etcd.Txn{Puts: []etcd.Put{{Key: "/l", Delete: true}}}); err != nil {
			t.Error(err)
		}
		time.Sleep(5 * time.Second)
		if h, ok := l.Held(time.Now()); !ok || h.Created == before.Created {
			t.Errorf("Held = %+v, %v after the key was deleted", h, ok)
		}
		cancel()
	})
}

// Guards against a registration that is not written again after an outage,
// remains after its process has ended, or replaces that of a newer incarnation.
func TestRegistration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &kv.Store{}
		g := &gated{Store: store}
		key := func() string {
			p, err := store.Get(t.Context(), "/gt/daemon/waco/a")
			if err != nil {
				t.Error(err)
			}
			return string(p.Value)
		}
		run := func(value string) (stop func() error) {
			r := &lease.Registration{Store: g, Key: "/gt/daemon/waco/a", Value: []byte(value), Superseded: func(p etcd.Pair) bool {
				return string(p.Value) > value
			}}
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error, 1)
			go func() { done <- r.Run(ctx) }()
			return func() error { cancel(); return <-done }
		}
		stop1 := run("1")
		time.Sleep(time.Minute)
		if key() != "1" {
			t.Errorf("value %q", key())
		}
		g.down.Store(true)
		time.Sleep(time.Minute)
		if key() != "" {
			t.Errorf("value %q during the outage", key())
		}
		g.down.Store(false)
		time.Sleep(20 * time.Second)
		if key() != "1" {
			t.Errorf("value %q after the outage", key())
		}
		stop2 := run("2")
		time.Sleep(20 * time.Second)
		if err := stop1(); !errors.Is(err, lease.ErrSuperseded) || key() != "2" {
			t.Errorf("Run of the older incarnation = %v, value %q", err, key())
		}
		if err := stop2(); !errors.Is(err, context.Canceled) || key() != "" {
			t.Errorf("Run = %v, value %q after shutdown", err, key())
		}
	})
}
