package admission

import (
	"time"

	"gypsumtrestle.example/gypsumtrestle/pkg/text"
)

// ID identifies a request within one Scheduler. The generation distinguishes
// the request from later ones that reuse its entry.
type ID struct {
	index int32
	gen   uint32
}

// entry is one queued or running request.
type entry struct {
	gen         uint32
	class       text.Class
	running     bool
	spare       bool      // runs above the daemon's share of slots
	prev, next  int32     // neighbours in the queue of the class; next also links the free list
	latestStart time.Time // zero without a deadline
	started     time.Time
	charge      float64 // slot time charged at the start, in seconds
}

// noEntry is the index that stands for no entry.
const noEntry = -1

// fifo is a doubly linked list over entries.
type fifo struct {
	head, tail int32
	n          int
}

// entries stores requests in one slice and reuses the entries of ended ones.
type entries struct {
	all      []entry
	freeHead int32
}

// alloc returns the index of a new entry.
func (e *entries) alloc(c text.Class, latestStart time.Time) int32 {
	if len(e.all) == 0 {
		e.freeHead = noEntry
	}
	i := e.freeHead
	if i == noEntry {
		i = int32(len(e.all))
		e.all = append(e.all, entry{gen: 1}) // the zero ID is never valid
	} else {
		e.freeHead = e.all[i].next
	}
	x := &e.all[i]
	*x = entry{gen: x.gen, class: c, latestStart: latestStart, prev: noEntry, next: noEntry}
	return i
}

// release adds the entry to the free list and invalidates its ID.
func (e *entries) release(i int32) {
	e.all[i].gen++
	e.all[i].next = e.freeHead
	e.freeHead = i
}

// get returns the entry of an ID, or nil if the request has ended.
func (e *entries) get(id ID) *entry {
	if int(id.index) >= len(e.all) || e.all[id.index].gen != id.gen {
		return nil
	}
	return &e.all[id.index]
}

// push appends entry i to the queue.
func (q *fifo) push(e *entries, i int32) {
	if q.n == 0 {
		q.head = i
	} else {
		e.all[q.tail].next = i
		e.all[i].prev = q.tail
	}
	q.tail = i
	q.n++
}

// unshift inserts entry i at the head of the queue.
func (q *fifo) unshift(e *entries, i int32) {
	if q.n == 0 {
		q.tail = i
	} else {
		e.all[q.head].prev = i
		e.all[i].next = q.head
	}
	q.head = i
	q.n++
}

// remove unlinks entry i from the queue.
func (q *fifo) remove(e *entries, i int32) {
	x := &e.all[i]
	if x.prev != noEntry {
		e.all[x.prev].next = x.next
	} else {
		q.head = x.next
	}
	if x.next != noEntry {
		e.all[x.next].prev = x.prev
	} else {
		q.tail = x.prev
	}
	x.prev, x.next = noEntry, noEntry
	q.n--
}
