package estimate

import (
	"container/list"
	"math"
	"time"
)

// Key names the steps whose tasks take about the same time.
type Key struct {
	Queue string
	Step  int
	Image string
}

const (
	// maxKeys bounds the entries of a table. An entry takes about 800 bytes.
	maxKeys = 512
	// maxImage is the length from which an image is not learned. Callers choose the
	// names, and a table keeps them.
	maxImage = 256
)

// Table holds the learned run times. The zero value is empty. It is not safe for
// concurrent use.
type Table struct {
	entries map[Key]*list.Element // of *entry
	recent  list.List             // the most recently used first
	version uint64
}

// Version changes whenever Expect may return another value than before.
func (t *Table) Version() uint64 { return t.version }

// Len returns the number of keys.
func (t *Table) Len() int { return len(t.entries) }

// Expect returns the run time to expect of the tasks of a step, and whether it is
// learned. Otherwise it is the declared one.
func (t *Table) Expect(k Key, declared time.Duration) (ran time.Duration, learned bool) {
	el := t.entries[k]
	if el == nil {
		return declared, false
	}
	t.recent.MoveToFront(el)
	return el.Value.(*entry).expect(declared)
}

// Peek is Expect, but does not count as a use of the entry.
func (t *Table) Peek(k Key, declared time.Duration) (ran time.Duration, learned bool) {
	el := t.entries[k]
	if el == nil {
		return declared, false
	}
	return el.Value.(*entry).expect(declared)
}

// Change says that the declared estimates of a key have proved wrong, or right again.
type Change struct {
	Key   Key
	Wrong bool
	Steps int // samples
	// Ran is the typical run time. Declared and Learned are the typical errors of the
	// declared and the learned value, as factors.
	Ran               time.Duration
	Declared, Learned float64
}

// Observe records a step of n tasks of which most have ended. It returns a Change if
// there is one.
func (t *Table) Observe(k Key, declared time.Duration, s *Siblings, n int) *Change {
	ran := s.typical(n)
	if ran <= 0 || len(k.Image) >= maxImage {
		return nil
	}
	el := t.entries[k]
	if el == nil {
		el = t.add(k)
	}
	t.recent.MoveToFront(el)
	e := el.Value.(*entry)
	was, used := e.wrong, e.learns()
	e.add(ran, declared, s.deviation())
	if used || e.learns() || declared == 0 {
		t.version++
	}
	if e.wrong == was {
		return nil
	}
	return &Change{
		Key: k, Wrong: e.wrong, Steps: e.n, Ran: seconds(math.Exp(e.median)),
		Declared: math.Exp(e.declaredError), Learned: math.Exp(e.learnedError),
	}
}

// add adds an entry for a key, and evicts the one that has not been used for the
// longest time if there are too many.
func (t *Table) add(k Key) *list.Element {
	if t.entries == nil {
		t.entries = make(map[Key]*list.Element)
	}
	if len(t.entries) >= maxKeys {
		last := t.recent.Back()
		delete(t.entries, last.Value.(*entry).key)
		t.recent.Remove(last)
		t.version++
	}
	el := t.recent.PushFront(&entry{key: k})
	t.entries[k] = el
	return el
}

// right reports whether a declared estimate is right to within half of the run time,
// which is known to within the given deviation.
func right(declared, ran, deviation time.Duration) bool {
	return declared > 0 && (declared-ran).Abs() <= ran/2+deviation
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
