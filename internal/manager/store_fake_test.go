package manager_test

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/fleet"
)

func (a access) Get(_ context.Context, key string) (etcd.Pair, error) {
	defer a.enter()()
	return a.keys[key], nil
}

func (a access) List(_ context.Context, prefix string) ([]etcd.Pair, int64, error) {
	defer a.enter()()
	var out []etcd.Pair
	for key, p := range a.keys {
		if strings.HasPrefix(key, prefix) {
			out = append(out, p)
		}
	}
	return out, a.rev, nil
}

func (a access) Do(_ context.Context, t etcd.Txn) (etcd.TxnResult, error) {
	defer a.enter()()
	for _, c := range t.Conds {
		p := a.keys[c.Key]
		if c.Created != 0 && p.Created != c.Created || (c.Modified != 0 || c.Created == 0) && p.Modified != c.Modified {
			var res etcd.TxnResult
			for _, key := range t.Else {
				if p, ok := a.keys[key]; ok {
					res.Else = append(res.Else, p)
				}
			}
			return res, nil
		}
	}
	for _, p := range t.Puts {
		if _, ok := a.leases[p.Lease]; p.Lease != 0 && !ok {
			return etcd.TxnResult{}, etcd.ErrNoLease
		}
		a.put(p.Key, p.Value, p.Lease)
		if p.Key == "/gt/map/a" {
			a.recordWrite(p.Value)
			if a.lostReplies > 0 {
				a.lostReplies--
				return etcd.TxnResult{}, &etcd.UnknownError{Op: "txn", Key: p.Key, Err: errors.New("response lost")}
			}
		}
	}
	return etcd.TxnResult{Applied: true, Revision: a.rev}, nil
}

// recordWrite checks and records a map that was written.
func (w *world) recordWrite(value []byte) {
	var m fleet.Map
	if err := json.Unmarshal(value, &m); err != nil {
		w.t.Error(err)
	}
	if err := m.Validate(); err != nil {
		w.t.Error(err)
	}
	if n := len(w.versions); n > 0 && m.Version != w.versions[n-1]+1 {
		w.t.Errorf("map version %d written after %d, want one higher", m.Version, w.versions[n-1])
	}
	w.versions, w.written = append(w.versions, m.Version), m
}

func (a access) Watch(context.Context, string, int64, func(etcd.Event)) error { return nil }

func (a access) Grant(_ context.Context, ttl int64) (int64, error) {
	defer a.enter()()
	a.rev++
	a.leases[a.rev] = time.Now().Add(time.Duration(ttl) * time.Second)
	return a.rev, nil
}

func (a access) KeepAlive(_ context.Context, lease int64) error {
	defer a.enter()()
	if end, ok := a.leases[lease]; !ok || !time.Now().Before(end) {
		return etcd.ErrNoLease
	}
	a.leases[lease] = time.Now().Add(6 * time.Second)
	return nil
}

func (a access) Revoke(_ context.Context, lease int64) error {
	defer a.lock()()
	delete(a.leases, lease)
	return nil
}
