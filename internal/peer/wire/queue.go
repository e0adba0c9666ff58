package wire

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/peer/message"
)

// Limits of the messages that wait for the writer of one link: their number,
// and their encoded bytes.
const (
	maxQueued      = 1024
	maxQueuedBytes = 1 << 20
)

// ErrFull is the reason for closing a link that is too slow for the messages
// that are sent on it.
var ErrFull = errors.New("send queue is full")

// ErrStopped is the reason for closing a link after a Shutdown was sent on it.
var ErrStopped = errors.New("link stopped")

// item is a waiting message. It is encoded when it is queued, or when it is
// sent if a newer one may still supersede it.
type item struct {
	typed   message.Message
	encoded []byte
	// endsLink is set if the link ends after this message.
	endsLink bool
}

// Queue holds the messages that wait for the writer of one link, in order. A
// state message (Load, FreeSlots, Confirm) replaces the one that it supersedes.
type Queue struct {
	// Ready holds one element while msgs is not empty.
	Ready chan struct{}

	mu    sync.Mutex
	msgs  []item
	bytes int
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{Ready: make(chan struct{}, 1)} }

// Push queues a message and never blocks. If it returns ErrFull, the link must
// be closed.
func (q *Queue) Push(m message.Message) error {
	it := item{typed: m}
	if !isState(m) {
		b, err := message.Encode(m)
		if err != nil {
			return err
		}
		_, endsLink := m.(message.Shutdown)
		it = item{encoded: b, endsLink: endsLink}
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

// Flush writes the queued messages. It returns ErrStopped after a Shutdown.
func (q *Queue) Flush(ctx context.Context, c *Conn) error {
	for _, it := range q.take() {
		b := it.encoded
		if it.typed != nil {
			var err error
			if b, err = message.Encode(it.typed); err != nil {
				Counters.Add(Oversized, 1) // not an error of the link: the message would fail on a new one too
				continue
			}
		}
		if err := c.WriteFrame(ctx, b); err != nil {
			return err
		}
		if it.endsLink {
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

// supersedes reports whether m replaces old. Each of these messages carries the
// complete state that it reports.
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

// Recent holds the newest state messages that were broadcast. They are the
// first messages on a new link, because those that were sent while there was no
// link are lost.
type Recent struct {
	load      message.Load
	freeSlots message.FreeSlots
	confirms  map[string]message.Confirm
}

// Add records m if it is a state message.
func (r *Recent) Add(m message.Message) {
	switch m := m.(type) {
	case message.Load:
		r.load = m
	case message.FreeSlots:
		r.freeSlots = m
	case message.Confirm:
		if r.confirms == nil {
			r.confirms = make(map[string]message.Confirm)
		}
		r.confirms[m.Zone] = m
	}
}

// Replay queues the newest state messages for a new link.
func (r *Recent) Replay(q *Queue, ownZone bool) error {
	var msgs []message.Message
	if ownZone {
		if len(r.load.Pools) > 0 {
			msgs = append(msgs, r.load)
		}
		for _, c := range r.confirms {
			msgs = append(msgs, c)
		}
	} else if r.freeSlots.Free != nil {
		msgs = append(msgs, r.freeSlots)
	}
	for _, m := range msgs {
		if err := q.Push(m); err != nil {
			return err
		}
	}
	return nil
}
