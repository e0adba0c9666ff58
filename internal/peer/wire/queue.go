package wire

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/peer/message"
)

// Bounds of what waits for one link's writer.
const (
	maxQueued      = 1024
	maxQueuedBytes = 1 << 20
)

// ErrFull closes a link that is too slow for what is sent on it.
var ErrFull = errors.New("send queue is full")

// ErrStopped ends a link after its Shutdown.
var ErrStopped = errors.New("stopped")

// item is a message that waits: encoded, or typed while a newer one may
// still supersede it.
type item struct {
	typed   message.Message
	encoded []byte
	// last ends the link after this message.
	last bool
}

// Queue holds what waits for one link's writer, in order. A state message
// (Load, FreeSlots, Confirm) takes the place of the one that it supersedes.
type Queue struct {
	// Ready holds one element while msgs is not empty.
	Ready chan struct{}

	mu    sync.Mutex
	msgs  []item
	bytes int
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{Ready: make(chan struct{}, 1)} }

// Push never blocks. The link must be closed when it returns ErrFull.
func (q *Queue) Push(m message.Message) error {
	it := item{typed: m}
	if !isState(m) {
		b, err := message.Encode(m)
		if err != nil {
			return err
		}
		_, last := m.(message.Shutdown)
		it = item{encoded: b, last: last}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, old := range q.msgs {
		if supersedes(m, old.typed) {
			q.msgs[i].typed = m
			return nil
		}
	}
	if len(q.msgs) >= maxQueued || q.bytes+len(it.encoded) > maxQueuedBytes {
		return ErrFull
	}
	q.msgs = append(q.msgs, it)
	q.bytes += len(it.encoded)
	select {
	case q.Ready <- struct{}{}:
	default:
	}
	return nil
}

// Flush writes what is queued. It returns ErrStopped after a Shutdown.
func (q *Queue) Flush(ctx context.Context, c *Conn) error {
	for _, it := range q.take() {
		b := it.encoded
		if it.typed != nil {
			var err error
			if b, err = message.Encode(it.typed); err != nil {
				Counters.Add(Oversized, 1) // a new link would meet it again
				continue
			}
		}
		if err := c.WriteFrame(ctx, b); err != nil {
			return err
		}
		if it.last {
			return ErrStopped
		}
	}
	return nil
}

func (q *Queue) take() []item {
	q.mu.Lock()
	defer q.mu.Unlock()
	msgs := q.msgs
	q.msgs, q.bytes = nil, 0
	return msgs
}

func isState(m message.Message) bool {
	switch m.(type) {
	case message.Load, message.FreeSlots, message.Confirm:
		return true
	}
	return false
}

// supersedes tells whether m takes the place of old. Each of these messages
// carries the whole of what it reports on.
func supersedes(m, old message.Message) bool {
	switch m := m.(type) {
	case message.Load:
		_, ok := old.(message.Load)
		return ok
	case message.FreeSlots:
		_, ok := old.(message.FreeSlots)
		return ok
	case message.Confirm:
		old, ok := old.(message.Confirm)
		return ok && old.Zone == m.Zone
	}
	return false
}

// Recent holds the newest state messages that were broadcast. A new link
// starts with them, since the ones sent while it was down are lost.
type Recent struct {
	load     message.Load
	room     message.FreeSlots
	confirms map[string]message.Confirm
}

// Add keeps m if it is a state message.
func (r *Recent) Add(m message.Message) {
	switch m := m.(type) {
	case message.Load:
		r.load = m
	case message.FreeSlots:
		r.room = m
	case message.Confirm:
		if r.confirms == nil {
			r.confirms = make(map[string]message.Confirm)
		}
		r.confirms[m.Zone] = m
	}
}

// Replay queues what a new link needs to know.
func (r *Recent) Replay(q *Queue, ownZone bool) error {
	var msgs []message.Message
	if ownZone {
		if len(r.load.Pools) > 0 {
			msgs = append(msgs, r.load)
		}
		for _, c := range r.confirms {
			msgs = append(msgs, c)
		}
	} else if r.room.Free != nil {
		msgs = append(msgs, r.room)
	}
	for _, m := range msgs {
		if err := q.Push(m); err != nil {
			return err
		}
	}
	return nil
}
