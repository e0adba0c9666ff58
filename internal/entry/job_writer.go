package entry

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/kv"
)

// Verdict is the result of a submission or cancellation for the caller.
type Verdict int

// Verdicts.
const (
	Accepted   Verdict = iota
	Rejected           // the job is not stored, and this attempt will not store it
	Unknown            // the job may be stored, now or later
	Overloaded         // as Rejected; its pool cannot complete it in time
)

func (v Verdict) String() string {
	return [...]string{"accepted", "refused", "unknown", "overloaded"}[v]
}

const (
	// maxBatch bounds the jobs of one transaction. Each job takes a condition and
	// a write.
	maxBatch = kv.MaxEntries / 2
	// batchWait is how long the first job of a batch waits for others.
	batchWait = 2 * time.Millisecond
	// maxOpenTxns bounds the concurrent transactions of a daemon.
	maxOpenTxns = 4
	// queueLength bounds the jobs that wait for a transaction.
	queueLength = 256
)

// pendingWrite is a submission that has no verdict yet.
type pendingWrite struct {
	key            string
	value          []byte
	deadline       time.Time
	verdict        chan Verdict
	outcomeUnknown bool // an earlier transaction may have stored it
	// repeats are submissions of the same key in the same batch, which get the
	// same verdict: a transaction must not contain a key twice.
	repeats []*pendingWrite
}

// resolve sends the verdict to the submission and its repeats.
func (p *pendingWrite) resolve(v Verdict) {
	p.verdict <- v
	for _, r := range p.repeats {
		r.verdict <- v
	}
}

// JobWriter stores jobs in batches.
type JobWriter struct {
	Store  kv.Store
	Logger log.Logger

	queue chan *pendingWrite
	done  chan struct{}
}

// NewJobWriter returns a writer; its Run method must be called to store jobs.
func NewJobWriter(s kv.Store, l log.Logger) *JobWriter {
	return &JobWriter{Store: s, Logger: l, queue: make(chan *pendingWrite, queueLength), done: make(chan struct{})}
}

// Done returns a channel that is closed when Run has returned.
func (w *JobWriter) Done() <-chan struct{} { return w.done }

// Run stores jobs until the context ends.
func (w *JobWriter) Run(ctx context.Context) error {
	defer close(w.done)
	var open sync.WaitGroup
	defer open.Wait()
	sem := make(chan struct{}, maxOpenTxns)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case first := <-w.queue:
			batch := w.collect(ctx, first)
			sem <- struct{}{}
			open.Go(func() {
				defer func() { <-sem }()
				w.store(ctx, batch)
			})
		}
	}
}

// collect returns a batch of first and the jobs that are queued within batchWait.
func (w *JobWriter) collect(ctx context.Context, first *pendingWrite) []*pendingWrite {
	batch := []*pendingWrite{first}
	t := time.NewTimer(batchWait)
	defer t.Stop()
	for len(batch) < maxBatch {
		select {
		case p := <-w.queue:
			batch = add(batch, p)
		case <-t.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

// add adds a submission to a batch.
func add(batch []*pendingWrite, p *pendingWrite) []*pendingWrite {
	for _, first := range batch {
		if first.key == p.key {
			first.repeats = append(first.repeats, p)
			if p.deadline.After(first.deadline) {
				first.deadline = p.deadline
			}
			return batch
		}
	}
	return append(batch, p)
}

// Submit stores a job and waits for the verdict until the deadline.
func (w *JobWriter) Submit(ctx context.Context, j *job.Job, deadline time.Time) Verdict {
	b, err := job.EncodeJob(j)
	if err != nil {
		w.Logger.Log("msg", "job encoding failed", "job", j.ID, "err", err)
		return Rejected
	}
	return w.put(ctx, job.Key(j.ID), b, deadline)
}

// put creates a key and waits for the verdict. If the key already exists, the
// verdict is Accepted.
func (w *JobWriter) put(ctx context.Context, key string, value []byte, deadline time.Time) Verdict {
	p := &pendingWrite{key: key, value: value, deadline: deadline, verdict: make(chan Verdict, 1)}
	select {
	case w.queue <- p:
	default:
		return Rejected
	}
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	select {
	case v := <-p.verdict:
		return v
	case <-t.C:
	case <-ctx.Done():
	}
	return Unknown
}

// store commits a batch. It repeats the transaction until all jobs have a verdict
// or the context ends.
func (w *JobWriter) store(ctx context.Context, batch []*pendingWrite) {
	defer func() { resolveAll(batch, Unknown) }()
	for len(batch) > 0 && ctx.Err() == nil {
		t := kv.Txn{}
		for _, p := range batch {
			t.Conds = append(t.Conds, kv.Cond{Key: p.key})
			t.Writes = append(t.Writes, kv.Write{Key: p.key, Value: p.value})
		}
		_, err := w.Store.Commit(ctx, t)
		var conflict *kv.Conflict
		switch {
		case err == nil:
			resolveAll(batch, Accepted)
			batch = nil
		case errors.As(err, &conflict):
			remainder := batch[:0:0]
			for _, p := range batch {
				if conflict.Find(p.key).Rev != 0 {
					p.resolve(Accepted)
				} else {
					remainder = append(remainder, p)
				}
			}
			batch = remainder
		case errors.Is(err, kv.ErrRejected):
			w.Logger.Log("msg", "job write rejected", "jobs", len(batch), "first", batch[0].key, "err", err)
			batch = w.resolveRejected(batch)
			clock.Sleep(ctx, retryDelay)
		default:
			w.Logger.Log("msg", "job write outcome unknown", "jobs", len(batch), "first", batch[0].key, "err", err)
			for _, p := range batch {
				p.outcomeUnknown = true
			}
			batch = w.resolveExpired(batch)
			clock.Sleep(ctx, retryDelay)
		}
	}
}

func resolveAll(batch []*pendingWrite, v Verdict) {
	for _, p := range batch {
		p.resolve(v)
	}
}

// resolveRejected handles a rejected transaction. Jobs that no earlier
// transaction may have stored get the verdict Rejected; the others get Unknown
// if their deadline has passed and are returned if not.
func (w *JobWriter) resolveRejected(batch []*pendingWrite) []*pendingWrite {
	remainder := batch[:0:0]
	for _, p := range batch {
		if !p.outcomeUnknown {
			p.resolve(Rejected)
		} else {
			remainder = append(remainder, p)
		}
	}
	return w.resolveExpired(remainder)
}

// resolveExpired sends the verdict Unknown to jobs whose deadline has passed, and
// returns the others.
func (w *JobWriter) resolveExpired(batch []*pendingWrite) []*pendingWrite {
	remainder := batch[:0:0]
	for _, p := range batch {
		if time.Now().After(p.deadline) {
			p.resolve(Unknown)
		} else {
			remainder = append(remainder, p)
		}
	}
	return remainder
}
