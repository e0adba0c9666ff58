package entry

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/kv"
)

// Verdict is what a caller is told of a submission.
type Verdict int

// Verdicts.
const (
	Accepted Verdict = iota
	Refused          // the job is not stored, and this attempt will not store it
	Unknown          // the job may be stored, now or later
)

func (v Verdict) String() string { return [...]string{"accepted", "refused", "unknown"}[v] }

const (
	// batchRows is how many jobs one transaction stores, at a condition and a
	// write each.
	batchRows = kv.MaxEntries / 2
	// batchWait is how long the first job of a batch waits for others.
	batchWait = 2 * time.Millisecond
	// writers is how many transactions of a daemon may be open at once.
	writers = 4
	// queueLength bounds the jobs that wait for a writer.
	queueLength = 256
)

// item is one submission on its way.
type item struct {
	key      string
	value    []byte
	deadline time.Time
	verdict  chan Verdict
	unsure   bool // an earlier transaction had no answer
}

// JobWriter stores jobs in batches.
type JobWriter struct {
	Store  kv.Store
	Logger log.Logger

	queue chan *item
	done  chan struct{}
}

// NewJobWriter returns an intake that Run serves.
func NewJobWriter(s kv.Store, l log.Logger) *JobWriter {
	return &JobWriter{Store: s, Logger: l, queue: make(chan *item, queueLength), done: make(chan struct{})}
}

// Done is closed when Run has returned.
func (in *JobWriter) Done() <-chan struct{} { return in.done }

// Run stores jobs until the context ends.
func (in *JobWriter) Run(ctx context.Context) error {
	defer close(in.done)
	sem := make(chan struct{}, writers)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case first := <-in.queue:
			batch := in.collect(ctx, first)
			sem <- struct{}{}
			go func() {
				defer func() { <-sem }()
				in.store(ctx, batch)
			}()
		}
	}
}

func (in *JobWriter) collect(ctx context.Context, first *item) []*item {
	batch := []*item{first}
	t := time.NewTimer(batchWait)
	defer t.Stop()
	for len(batch) < batchRows {
		select {
		case it := <-in.queue:
			batch = append(batch, it)
		case <-t.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

// Submit stores a job and waits for the verdict until the deadline.
func (in *JobWriter) Submit(ctx context.Context, j *job.Job, deadline time.Time) Verdict {
	b, err := job.EncodeJob(j)
	if err != nil {
		in.Logger.Log("msg", "job cannot be stored", "job", j.ID, "err", err)
		return Refused
	}
	return in.put(ctx, job.Key(j.ID), b, deadline)
}

// put creates a key and waits for the verdict. A key that exists is accepted.
func (in *JobWriter) put(ctx context.Context, key string, value []byte, deadline time.Time) Verdict {
	it := &item{key: key, value: value, deadline: deadline, verdict: make(chan Verdict, 1)}
	select {
	case in.queue <- it:
	default:
		return Refused
	}
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	select {
	case v := <-it.verdict:
		return v
	case <-t.C:
	case <-ctx.Done():
	}
	return Unknown
}

// store commits a batch, again and again while that may still help.
func (in *JobWriter) store(ctx context.Context, batch []*item) {
	for len(batch) > 0 {
		t := kv.Txn{}
		for _, it := range batch {
			t.Conds = append(t.Conds, kv.Cond{Key: it.key})
			t.Writes = append(t.Writes, kv.Write{Key: it.key, Value: it.value})
		}
		_, err := in.Store.Commit(ctx, t)
		var conflict *kv.Conflict
		switch {
		case err == nil:
			answerAll(batch, Accepted)
			return
		case errors.As(err, &conflict):
			rest := batch[:0:0]
			for _, it := range batch {
				if conflict.Find(it.key).Rev != 0 {
					it.verdict <- Accepted
				} else {
					rest = append(rest, it)
				}
			}
			batch = rest
		case errors.Is(err, kv.ErrRefused):
			in.Logger.Log("msg", "jobs are not stored", "jobs", len(batch), "first", batch[0].key, "err", err)
			batch = in.refuse(batch)
			clock.Sleep(ctx, retryPause)
		default:
			in.Logger.Log("msg", "storing jobs had no answer", "jobs", len(batch), "first", batch[0].key, "err", err)
			for _, it := range batch {
				it.unsure = true
			}
			batch = in.late(batch)
		}
	}
}

func answerAll(batch []*item, v Verdict) {
	for _, it := range batch {
		it.verdict <- v
	}
}

// refuse answers the jobs that surely are not stored, and returns the others,
// whose time is not up.
func (in *JobWriter) refuse(batch []*item) []*item {
	rest := batch[:0:0]
	for _, it := range batch {
		if !it.unsure {
			it.verdict <- Refused
		} else {
			rest = append(rest, it)
		}
	}
	return in.late(rest)
}

// late answers the jobs whose time is up, and returns the others.
func (in *JobWriter) late(batch []*item) []*item {
	rest := batch[:0:0]
	for _, it := range batch {
		if time.Now().After(it.deadline) {
			it.verdict <- Unknown
		} else {
			rest = append(rest, it)
		}
	}
	return rest
}
