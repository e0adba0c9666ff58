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

// storeState is the last known state of the map's and the text's key.
type storeState struct {
	current bool // false until read, and after a write of unknown outcome
	m       *fleet.Map
	// Revisions of the map's and the text's key, zero if absent.
	mapRev, textRev int64
	text            uint64 // version of the text
}

func (m *Manager) mapKey() string { return "/gt/map/" + m.Self.Zone }

// load reads the map and the text at the start of a term, after a write that did
// not apply or whose outcome is unknown, and if the Tracker has a newer text.
func (m *Manager) load(ctx context.Context) error {
	if m.store.current && m.store.text >= m.State.View().PlanVersion {
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

// accept records the values of the map's and the text's key. If the map in the
// store is older than the active one, the store was restored from a backup: the
// next write continues from the active map, so that versions never decrease.
func (m *Manager) accept(pairs []etcd.Pair) error {
	next := storeState{m: &fleet.Map{Zone: m.Self.Zone}}
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
				return errors.Wrapf(err, "activate text of %s", p.Key)
			}
			next.textRev = p.Modified
		}
	}
	next.text = m.State.View().PlanVersion // newer than the store's if the store was restored
	if next.mapRev != 0 {
		m.State.UpdateMap(next.m)
	}
	if v := m.State.View().Maps[m.Self.Zone]; v != nil && v.Version > next.m.Version {
		next.m = v
	}
	next.current = true
	// A task list read before this map may lack tasks of the map, which would
	// then be treated as lost.
	m.store, m.seen.tasksAt = next, time.Time{}
	return nil
}

// write stores the map and reports whether the write was applied. If the map or
// the text in the store has changed, write records the stored values and returns
// false. After an error, storeState.current is not set, so that load reads the
// store.
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
	return false, errors.New("write map: manager key no longer held")
}
