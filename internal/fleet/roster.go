package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Member is a daemon that may route by a map.
type Member struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Incarnation string `json:"incarnation"`
	// Joined is the version of the map that first listed the daemon.
	Joined uint64 `json:"joined"`
}

// Proof is the reason why a daemon is certain to send no more requests.
type Proof uint8

// Proofs that a daemon sends no more requests.
const (
	// Replaced means that a newer incarnation has the daemon's name.
	Replaced Proof = iota
	// EntryGone means that the host list reports the daemon's entry host as
	// gone.
	EntryGone
	// ShutDown means that the daemon sent a shutdown notice after it confirmed
	// 0 outstanding requests.
	ShutDown
)

// String returns the proof as status and logs print it.
func (p Proof) String() string {
	return [...]string{"newer incarnation", "entry host gone", "bye"}[p]
}

// HasMember reports whether the daemon incarnation may route by this map.
func (m *Map) HasMember(incarnation string) bool {
	_, ok := m.member(incarnation)
	return ok
}

// Newer reports whether incarnation a started after b under the same name.
func Newer(a, b string) bool {
	i, j := strings.LastIndexByte(a, '.'), strings.LastIndexByte(b, '.')
	if i < 0 || j < 0 || a[:i] != b[:j] {
		return false
	}
	// Start times in base 36 have no leading zeros, so the longer one is later.
	a, b = a[i+1:], b[j+1:]
	return len(a) > len(b) || len(a) == len(b) && a > b
}

func (m *Map) member(incarnation string) (int, bool) {
	return slices.BinarySearchFunc(m.Roster, incarnation, func(r Member, n string) int {
		return strings.Compare(r.Incarnation, n)
	})
}

func (e Join) apply(m *Map, _ time.Time) error {
	i, ok := m.member(e.Incarnation)
	if ok {
		return errors.Errorf("daemon %s is already in the roster", e.Incarnation)
	}
	m.Roster = slices.Insert(m.Roster, i, Member{e.Name, e.Zone, e.Incarnation, m.Version})
	return nil
}

func (e Leave) apply(m *Map, _ time.Time) error {
	i, ok := m.member(e.Incarnation)
	if !ok {
		return errors.Errorf("daemon %s is not in the roster", e.Incarnation)
	}
	if e.Proof == Replaced && !Newer(e.NewerIncarnation, e.Incarnation) {
		return errors.Errorf("daemon %s is not replaced by %s", e.Incarnation, e.NewerIncarnation)
	}
	m.Roster = slices.Delete(m.Roster, i, i+1)
	return nil
}
