package claim

import (
	"container/heap"
	"time"

	"github.com/google/uuid"

	"gypsumtrestle.example/gypsumtrestle/internal/backend"
)

// MaxStoredResponse is the longest stored response. With its key it fits a message of
// 64 KB.
const MaxStoredResponse = 64<<10 - 512

// Defaults of a Table. A key takes 174 bytes, so both together leave room
// within the 64 MB for all control work; they admit 71 new keys a second.
const (
	defaultMaxKeys  = 1 << 16
	defaultMaxBytes = 8 << 20
)

// Verdict is the answer to a claim. The values are part of the messages.
type Verdict uint8

// Verdicts. Only Full allows the caller to be told that nothing ran.
const (
	// Unknown means that an attempt may have run.
	Unknown Verdict = iota
	// Granted means that the holder may run the request, once.
	Granted
	// Running means that another attempt holds the grant.
	Running
	// Answered means that the request ran. Its response may be stored.
	Answered
	// TooOld means that the key is past MaxAge.
	TooOld
	// Future means that the key was minted more than MaxSkew ahead.
	Future
	// NotOwner means that another incarnation is the key's home.
	NotOwner
	// Full means that the key is new and the table has no place for it. It
	// will not be granted later either.
	Full
)

var verdictNames = [...]string{"unknown", "granted", "running", "answered", "too-old", "future", "foreign", "full"}

// String returns the verdict's name for logs.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return "invalid"
}

// Holder identifies one attempt. A daemon uses each Call number once, so an
// attempt that asks again is told from a second attempt.
type Holder struct {
	Incarnation string
	Call        uint64
}

// Grant is the right to run a key's request once.
type Grant struct {
	Key   Key
	Token uint64
}

// Decision is the result of a claim.
type Decision struct {
	Verdict Verdict
	// Grant is set when Verdict is Granted.
	Grant Grant
	// Response is the stored response when Verdict is Answered. It is nil if the
	// response was too large or has been dropped.
	Response []byte
}

// state of a key that the table holds; a key that it does not hold is absent.
type state uint8

const (
	granted state = iota
	answered
	unknown
)

// entry is one key. A token is used for one grant only.
type entry struct {
	id     uuid.UUID
	minted time.Time
	state  state
	holder Holder
	token  uint64
	kept   []byte
	index  int // in the heap
}

// Table decides all claims for the keys whose home is Self. It does no I/O and
// is not safe for concurrent use.
type Table struct {
	Self string
	// MaxKeys bounds the keys held; a full table refuses new ones.
	MaxKeys int
	// MaxBytes bounds the stored responses together; the oldest are dropped.
	MaxBytes int

	entries map[uuid.UUID]*entry
	byAge   ageHeap
	stored  []*entry // in the order of their responses
	bytes   int
	token   uint64
	// refused is the newest minting instant of a key refused as Full. Keys up
	// to it are not granted any more: the refusal may reach its caller only
	// after a second attempt, which must not have run then.
	refused time.Time
	// dropped is the newest minting instant of a removed key. Keys up to it
	// are refused, whatever the clock says: it may have been set back.
	dropped time.Time
}

// init applies the defaults.
func (t *Table) init() {
	if t.entries != nil {
		return
	}
	t.entries = make(map[uuid.UUID]*entry)
	if t.MaxKeys == 0 {
		t.MaxKeys = defaultMaxKeys
	}
	if t.MaxBytes == 0 {
		t.MaxBytes = defaultMaxBytes
	}
}

// age returns TooOld or Future, or Granted for a key of an acceptable age.
func age(now time.Time, key Key) Verdict {
	switch minted := key.Minted(); {
	case minted.After(now.Add(MaxSkew)):
		return Future
	case now.Sub(minted) > MaxAge:
		return TooOld
	}
	return Granted
}

// Has tells whether the table has a fact about a key.
func (t *Table) Has(id uuid.UUID) bool { return t.entries[id] != nil }

// Claim decides whether a holder may run a key's request.
//
// A granted key is granted again only to the same call of the same holder,
// with the same token: the first grant may have been lost. This is safe since
// a holder uses the first grant of a call and ignores all later ones, and a
// restarted holder has another incarnation.
func (t *Table) Claim(now time.Time, key Key, holder Holder) Decision {
	t.init()
	if key.Owner != t.Self {
		return Decision{Verdict: NotOwner}
	}
	if v := age(now, key); v != Granted {
		return Decision{Verdict: v}
	}
	if !key.Minted().After(t.dropped) {
		return Decision{Verdict: TooOld}
	}
	if e := t.entries[key.ID]; e != nil {
		return e.decide(key, holder)
	}
	t.expire(now)
	if len(t.entries) >= t.MaxKeys && key.Minted().After(t.refused) {
		t.refused = key.Minted()
	}
	if !key.Minted().After(t.refused) {
		return Decision{Verdict: Full}
	}
	t.token++
	e := &entry{id: key.ID, minted: key.Minted(), holder: holder, token: t.token}
	t.entries[e.id] = e
	heap.Push(&t.byAge, e)
	return e.decide(key, holder)
}

func (e *entry) decide(key Key, holder Holder) Decision {
	switch {
	case e.state == answered:
		return Decision{Verdict: Answered, Response: e.kept}
	case e.state == unknown:
		return Decision{Verdict: Unknown}
	case e.holder != holder:
		return Decision{Verdict: Running}
	}
	return Decision{Verdict: Granted, Grant: Grant{Key: key, Token: e.token}}
}

// Report records how a grant ended. It tells whether that changed the key's
// state: a report of an earlier grant and a repeated one do not. Not-run
// releases the key; it is ignored once any other outcome was reported.
func (t *Table) Report(now time.Time, key Key, token uint64, outcome backend.Outcome, kept []byte) bool {
	t.init()
	t.expire(now)
	e := t.entries[key.ID]
	if e == nil || key.Owner != t.Self || e.token != token || e.state == answered {
		return false
	}
	switch {
	case outcome == backend.Answered:
		e.state = answered
		t.keep(e, kept)
	case e.state == unknown:
		return false
	case outcome == backend.NotRun:
		t.remove(e)
	default:
		e.state = unknown
	}
	return true
}

// keep stores a response and drops the oldest ones over the bound.
func (t *Table) keep(e *entry, kept []byte) {
	if len(kept) == 0 || len(kept) > MaxStoredResponse {
		return
	}
	e.kept = kept
	t.bytes += len(kept)
	t.stored = append(t.stored, e)
	for t.bytes > t.MaxBytes {
		t.drop(t.stored[0])
		t.stored = t.stored[1:]
	}
}

func (t *Table) drop(e *entry) {
	t.bytes -= len(e.kept)
	e.kept = nil
}

// expire removes the keys that Claim refuses for their age by any clock that
// is at most MaxSkew behind.
func (t *Table) expire(now time.Time) {
	for len(t.byAge) > 0 && now.Sub(t.byAge[0].minted) > MaxAge+MaxSkew {
		e := t.byAge[0]
		if e.minted.After(t.dropped) {
			t.dropped = e.minted
		}
		t.remove(e)
	}
	for len(t.stored) > 0 && t.stored[0].kept == nil {
		t.stored = t.stored[1:]
	}
}

func (t *Table) remove(e *entry) {
	delete(t.entries, e.id)
	heap.Remove(&t.byAge, e.index)
	t.drop(e)
}

// ageHeap has the key that was minted first at its root.
type ageHeap []*entry

func (h ageHeap) Len() int           { return len(h) }
func (h ageHeap) Less(i, j int) bool { return h[i].minted.Before(h[j].minted) }
func (h ageHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push is called by package heap.
func (h *ageHeap) Push(x any) {
	e := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop is called by package heap.
func (h *ageHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}
