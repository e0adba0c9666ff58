// Package oplog writes log lines without blocking the caller. Lines pass through
// a bounded queue to one writer. Lines that do not fit into the queue are dropped
// and counted, and the count is logged with the next write. If a write fails, its
// lines are lost.
package oplog

import (
	"bytes"
	"io"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	// queueLines is the length of the queue.
	queueLines = 4096
	// flushDelay is how long lines are batched for one write.
	flushDelay = 100 * time.Millisecond
	// flushBytes is the size of a batch that is written before flushDelay ends.
	flushBytes = 4 << 10
)

// Writer queues each Write as one line.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}
}

// NewWriter returns a Writer to w and starts its goroutine. Close stops it.
func NewWriter(w io.Writer) *Writer {
	l := &Writer{lines: make(chan []byte, queueLines), stop: make(chan struct{}), done: make(chan struct{})}
	go l.run(w)
	return l
}

// Write queues a copy of the line, or drops it if the queue is full. It never
// fails.
func (l *Writer) Write(p []byte) (int, error) {
	select {
	case l.lines <- bytes.Clone(p):
	default:
		l.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines dropped since the count was last logged.
func (l *Writer) Dropped() int64 { return l.dropped.Load() }

// Close writes the queued lines and stops the goroutine.
func (l *Writer) Close() {
	close(l.stop)
	<-l.done
}

func (l *Writer) run(w io.Writer) {
	defer close(l.done)
	var buf []byte
	for {
		select {
		case line := <-l.lines:
			buf = append(buf, line...)
			buf = l.collect(buf)
			buf = l.flush(w, buf)
		case <-l.stop:
			buf = l.drain(buf)
			l.flush(w, buf)
			return
		}
	}
}

// collect adds lines for up to flushDelay, so that one system call writes many.
func (l *Writer) collect(buf []byte) []byte {
	t := time.NewTimer(flushDelay)
	defer t.Stop()
	for len(buf) < flushBytes {
		select {
		case line := <-l.lines:
			buf = append(buf, line...)
		case <-t.C:
			return buf
		case <-l.stop:
			return buf
		}
	}
	return buf
}

func (l *Writer) drain(buf []byte) []byte {
	for {
		select {
		case line := <-l.lines:
			buf = append(buf, line...)
		default:
			return buf
		}
	}
}

func (l *Writer) flush(w io.Writer, buf []byte) []byte {
	if n := l.dropped.Swap(0); n > 0 {
		buf = append(buf, "part=log msg=\"lines were dropped\" lines="...)
		buf = strconv.AppendInt(buf, n, 10)
		buf = append(buf, '\n')
	}
	if _, err := w.Write(buf); err != nil {
		// The failure cannot be logged, so it is counted as one dropped line.
		l.dropped.Add(1)
	}
	return buf[:0]
}
