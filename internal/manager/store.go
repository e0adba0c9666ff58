package manager

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/fleet"
)

const textKey = "/gt/text"

// stored is what the manager knows of the store's keys.
type stored struct {
	current bool // false until read, and after a write of unknown outcome
	m       *fleet.Map
	// Revisions of the map's and the text's key, zero if absent.
	mapRev, textRev int64
	text            uint64 // version of the text
}

func (m *Manager) mapKey() string { return "/gt/map/" + m.Self.Zone }

// load reads the map and the text after a term begins, after a write that did
// not apply or whose outcome is unknown, and when the Tracker has a newer text.
func (m *Manager) load(ctx context.Context) error {
	if m.store.current && m.store.text >= m.State.View().Plan {
		return nil
	}
	var pairs []etcd.Pair
	for _, key := range []string{m.mapKey(), textKey} {
		p, err := m.Store.Get(ctx, key)
		if err != nil {
			return errors.Wrapf(err, "read %s", key)
		}
		p.Key = key
		pairs = append(pairs, p)
	}
	return m.accept(pairs)
}

// accept takes the values of the map's and the text's key. If the store has an
// older map than the one in force, it was restored: the next write continues
// from the one in force, so that versions never fall.
func (m *Manager) accept(pairs []etcd.Pair) error {
	next := stored{m: &fleet.Map{Zone: m.Self.Zone}}
	for _, p := range pairs {
		switch {
		case p.Created == 0:
		case p.Key == m.mapKey():
			v := new(fleet.Map)
			if err := json.Unmarshal(p.Value, v); err != nil {
				return errors.Wrapf(err, "decode %s", p.Key)
			}
			next.m, next.mapRev = v, p.Modified
		case p.Key == textKey:
			var v struct {
				Version uint64
				Text    string
			}
			if err := json.Unmarshal(p.Value, &v); err != nil {
				return errors.Wrapf(err, "decode %s", p.Key)
			}
			if _, err := m.State.UpdatePlan(v.Version, []byte(v.Text)); err != nil {
				return errors.Wrapf(err, "text of %s", p.Key)
			}
			next.textRev = p.Modified
		}
	}
	next.text = m.State.View().Plan // the store's, unless it was restored to an older one
	if next.mapRev != 0 {
		m.State.UpdateMap(next.m)
	}
	if v := m.State.View().Maps[m.Self.Zone]; v != nil && v.Version > next.m.Version {
		next.m = v
	}
	next.current = true
	// Lists read before this map could make tasks that it names look lost.
	m.store, m.seen.tasksAt = next, time.Time{}
	return nil
}

// write puts the map. After it, the store's state is current only if the write
// is known to have applied.
func (m *Manager) write(ctx context.Context, next *fleet.Map) (bool, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return false, errors.Wrapf(err, "encode map %s", next.Zone)
	}
	m.store.current = false
	res, err := m.Store.Do(ctx, etcd.Txn{
		Conds: []etcd.Cond{
			{Key: m.key(), Created: m.created},
			{Key: m.mapKey(), Modified: m.store.mapRev},
			{Key: textKey, Modified: m.store.textRev},
		},
		Puts: []etcd.Put{{Key: m.mapKey(), Value: value}},
		Else: []string{m.key(), m.mapKey(), textKey},
	})
	if err != nil {
		return false, errors.Wrapf(err, "write map %s version %d", next.Zone, next.Version)
	}
	if res.Applied {
		m.store.m, m.store.mapRev, m.store.current = next, res.Revision, true
		m.State.UpdateMap(next)
		return true, nil
	}
	for _, p := range res.Else {
		if p.Key == m.key() && p.Created == m.created {
			return false, m.accept(res.Else)
		}
	}
	return false, errors.New("the manager key is not held any more")
}
