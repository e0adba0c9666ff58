package claim

import (
	"container/heap"
	"time"

	"github.com/google/uuid"

	"gypsumtrestle.example/gypsumtrestle/internal/backend"
)

// MaxStoredResponse is the maximum size of a stored response, in bytes. With its
// key, such a response fits into a message of 64 KB.
const MaxStoredResponse = 64<<10 - 512

// Defaults of Table fields. A key uses 174 bytes, so keys and responses together
// stay well below the limit of 64 MB for all control data. The limit of keys
// allows 71 new keys per second.
const (
	defaultMaxKeys  = 1 << 16
	defaultMaxBytes = 8 << 20
)

// Verdict is the reply to a claim. The values are part of the messages.
type Verdict uint8

// Verdicts. Only after Full may the caller get the response not-run.
const (
	// Unknown means that an attempt may have run.
	Unknown Verdict = iota
	// Granted means that the holder may run the request, once.
	Granted
	// Running means that another attempt holds the grant.
	Running
	// Answered means that the request ran. Its response may have been stored.
	Answered
	// TooOld means that the key is older than MaxAge.
	TooOld
	// Future means that the time of the key is more than MaxSkew in the future.
	Future
	// NotOwner means that another incarnation owns the key.
	NotOwner
	// Full means that the key is new and the table is full. The key will not be
	// granted later either.
	Full
)

var verdictNames = [...]string{"unknown", "granted", "running", "answered", "too-old", "future", "foreign", "full"}

// String returns the name that logs use.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return "invalid"
}

// Holder identifies one attempt. A daemon uses each Call number for one attempt, so
// that a repeated claim can be distinguished from a second attempt.
type Holder struct {
	Incarnation string
	Call        uint64
}

// Grant is the right to run the request of a key once.
type Grant struct {
	Key   Key
	Token uint64
}

// Decision is the result of a claim.
type Decision struct {
	Verdict Verdict
	// Grant is set if Verdict is Granted.
	Grant Grant
	// Response is the stored response if Verdict is Answered. It is nil if there
	// was none, or if it was too large or has been dropped.
	Response []byte
}

// state is the state of a key in the table. New and released keys are not in the
// table.
type state uint8

const (
	granted state = iota
	answered
	unknown
)

// entry is the record of one key. Each token is used for one grant only.
type entry struct {
	id       uuid.UUID
	minted   time.Time
	state    state
	holder   Holder
	token    uint64
	response []byte
	index    int // in the heap
}

// Table decides all claims for the keys that the incarnation Self owns. It does no
// I/O and is not safe for concurrent use.
type Table struct {
	Self string
	// MaxKeys is the maximum number of keys; a full table rejects new ones. 0
	// means 65536.
	MaxKeys int
	// MaxBytes is the maximum total size of stored responses; above it, the
	// oldest ones are dropped. 0 means 8 MiB.
	MaxBytes int

	entries     map[uuid.UUID]*entry
	byAge       ageHeap
	stored      []*entry // with a stored response, oldest first
	storedBytes int
	token       uint64
	// fullUntil is the latest time in a key that was rejected as Full. New keys
	// up to it are not granted: the rejection may reach its caller only after
	// a second attempt, which must not run.
	fullUntil time.Time
	// removedUntil is the latest time in a key that was removed for its age. Keys
	// up to it are rejected regardless of the clock, which may have been set
	// back.
	removedUntil time.Time
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

// checkAge returns TooOld, Future, or Granted if the age of the key is acceptable.
func checkAge(now time.Time, key Key) Verdict {
	switch minted := key.Minted(); {
	case minted.After(now.Add(MaxSkew)):
		return Future
	case now.Sub(minted) > MaxAge:
		return TooOld
	}
	return Granted
}

// Has reports whether the table contains a key.
func (t *Table) Has(id uuid.UUID) bool { return t.entries[id] != nil }

// Claim decides whether a holder may run the request of a key.
//
// A granted key is granted again only to the same call of the same holder, with
// the same token, since the first grant may have been lost. This is safe because a
// holder uses the first grant of a call and ignores all later ones, and a restarted
// holder has another incarnation.
func (t *Table) Claim(now time.Time, key Key, holder Holder) Decision {
	t.init()
	if key.Owner != t.Self {
		return Decision{Verdict: NotOwner}
	}
	if v := checkAge(now, key); v != Granted {
		return Decision{Verdict: v}
	}
	if !key.Minted().After(t.removedUntil) {
		return Decision{Verdict: TooOld}
	}
	if e := t.entries[key.ID]; e != nil {
		return e.decide(key, holder)
	}
	t.expire(now)
	if len(t.entries) >= t.MaxKeys && key.Minted().After(t.fullUntil) {
		t.fullUntil = key.Minted()
	}
	if !key.Minted().After(t.fullUntil) {
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
		return Decision{Verdict: Answered, Response: e.response}
	case e.state == unknown:
		return Decision{Verdict: Unknown}
	case e.holder != holder:
		return Decision{Verdict: Running}
	}
	return Decision{Verdict: Granted, Grant: Grant{Key: key, Token: e.token}}
}

// Report records the outcome of a grant. It reports whether the state of the key
// changed: a report of an earlier grant or a repeated report does not change it.
// The outcome NotRun releases the key; it is ignored after any other outcome.
func (t *Table) Report(now time.Time, key Key, token uint64, outcome backend.Outcome, response []byte) bool {
	t.init()
	t.expire(now)
	e := t.entries[key.ID]
	if e == nil || key.Owner != t.Self || e.token != token || e.state == answered {
		return false
	}
	switch {
	case outcome == backend.Answered:
		e.state = answered
		t.storeResponse(e, response)
	case e.state == unknown:
		return false
	case outcome == backend.NotRun:
		t.remove(e)
	default:
		e.state = unknown
	}
	return true
}

// storeResponse stores a response and drops the oldest ones above MaxBytes.
func (t *Table) storeResponse(e *entry, response []byte) {
	if len(response) == 0 || len(response) > MaxStoredResponse {
		return
	}
	e.response = response
	t.storedBytes += len(response)
	t.stored = append(t.stored, e)
	for t.storedBytes > t.MaxBytes {
		t.dropResponse(t.stored[0])
		t.stored = t.stored[1:]
	}
}

func (t *Table) dropResponse(e *entry) {
	t.storedBytes -= len(e.response)
	e.response = nil
}

// expire removes the keys that are too old, even for a clock that is MaxSkew
// behind.
func (t *Table) expire(now time.Time) {
	for len(t.byAge) > 0 && now.Sub(t.byAge[0].minted) > MaxAge+MaxSkew {
		e := t.byAge[0]
		if e.minted.After(t.removedUntil) {
			t.removedUntil = e.minted
		}
		t.remove(e)
	}
	for len(t.stored) > 0 && t.stored[0].response == nil {
		t.stored = t.stored[1:]
	}
}

func (t *Table) remove(e *entry) {
	delete(t.entries, e.id)
	heap.Remove(&t.byAge, e.index)
	t.dropResponse(e)
}

// ageHeap is a heap with the oldest key at its root.
type ageHeap []*entry

func (h ageHeap) Len() int           { return len(h) }
func (h ageHeap) Less(i, j int) bool { return h[i].minted.Before(h[j].minted) }
func (h ageHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *ageHeap) Push(x any) {
	e := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *ageHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}
