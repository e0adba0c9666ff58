package trace

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
)

const (
	// maxQueuedEvents limits the events in memory while the writer is slow.
	maxQueuedEvents = 4096
	flushInterval   = time.Second
	flushSize       = 32 << 10 // bytes
)

// Recorder writes events to W. A nil Recorder records nothing.
type Recorder struct {
	Daemon string
	W      io.Writer
	Logger log.Logger

	once    sync.Once
	queue   chan Event
	jobs    atomic.Uint64
	dropped atomic.Int64
}

func (r *Recorder) init() {
	r.once.Do(func() { r.queue = make(chan Event, maxQueuedEvents) })
}

// Job returns the next request number.
func (r *Recorder) Job() uint64 {
	if r == nil {
		return 0
	}
	return r.jobs.Add(1)
}

// Add queues an event. If the queue is full, the event is dropped and counted,
// since a slow disk must not delay requests.
func (r *Recorder) Add(e Event) {
	if r == nil {
		return
	}
	r.init()
	e.Daemon = r.Daemon
	if e.At.IsZero() {
		e.At = time.Now()
	}
	select {
	case r.queue <- e:
	default:
		r.dropped.Add(1)
	}
}

// Run writes events until ctx ends, and then the remaining events of the queue.
func (r *Recorder) Run(ctx context.Context) error {
	if r == nil {
		<-ctx.Done()
		return nil
	}
	r.init()
	if err := r.write(ctx); err != nil {
		r.Logger.Log("msg", "trace write failed, recording stopped", "err", err)
		<-ctx.Done()
	}
	if n := r.dropped.Load(); n > 0 {
		r.Logger.Log("msg", "trace incomplete", "dropped", n)
	}
	return nil
}

func (r *Recorder) write(ctx context.Context) error {
	b := &lines{w: r.W}
	tick := time.NewTicker(flushInterval)
	defer tick.Stop()
	for {
		select {
		case e := <-r.queue:
			if err := b.add(e); err != nil {
				return err
			}
		case <-tick.C:
			if err := b.flush(); err != nil {
				return err
			}
		case <-ctx.Done():
			return r.writeQueued(b)
		}
	}
}

// writeQueued writes the remaining events of the queue.
func (r *Recorder) writeQueued(b *lines) error {
	for {
		select {
		case e := <-r.queue:
			if err := b.add(e); err != nil {
				return err
			}
		default:
			return b.flush()
		}
	}
}

// lines buffers events and writes complete lines only, so that the trace of a
// killed daemon is readable.
type lines struct {
	w io.Writer
	b bytes.Buffer
}

func (l *lines) add(e Event) error {
	if err := json.NewEncoder(&l.b).Encode(e); err != nil {
		return errors.Wrap(err, "write trace")
	}
	if l.b.Len() < flushSize {
		return nil
	}
	return l.flush()
}

func (l *lines) flush() error {
	_, err := l.b.WriteTo(l.w)
	return errors.Wrap(err, "write trace")
}
