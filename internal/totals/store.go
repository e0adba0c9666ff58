package totals

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
)

// Prefix is the prefix of the totals in the key-value store. Each day and daemon
// incarnation has a key. The prefix is not part of the one that daemons watch, so
// that their watches do not transfer totals.
const Prefix = "/gttotal/"

const (
	// FlushInterval is the interval between writes. While the store is available,
	// it is the longest time that counts exist in memory only.
	FlushInterval = 30 * time.Second
	// flushTimeout bounds the write at shutdown.
	flushTimeout = 3 * time.Second
	// retentionDays is how many days a finished day stays in memory: requests
	// that are in progress at midnight still count for the day of their arrival.
	retentionDays = 2
)

// store is the part of the key-value store that Writer uses.
type store interface {
	Do(ctx context.Context, t etcd.Txn) (etcd.TxnResult, error)
}

// Writer writes the counts of one daemon to the key-value store.
type Writer struct {
	Counter     *Counter
	Store       store
	Incarnation string
	Logger      log.Logger

	// written holds the counts that are certainly stored.
	written map[Day]map[string]Count
}

// Run writes changed counts every FlushInterval until ctx ends, and then once more.
func (w *Writer) Run(ctx context.Context) error {
	tick := time.NewTicker(FlushInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			w.log(w.Flush(ctx, time.Now()))
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
			defer cancel()
			w.log(w.Flush(last, time.Now()))
			return nil
		}
	}
}

func (w *Writer) log(err error) {
	if err != nil && w.Logger != nil {
		w.Logger.Log("msg", "totals write failed, counts kept in memory", "err", err)
	}
}

// Flush writes the days whose counts have changed since they were last written.
// It stops at the first failed write. If all succeed, it removes the days before
// retentionDays ago from memory.
// It stops at the first failed write. If all succeed, it removes the days before
// retentionDays ago from memory.
func (w *Writer) Flush(ctx context.Context, now time.Time) error {
	for day, counts := range w.Counter.snapshot() {
		if maps.Equal(counts, w.written[day]) {
			continue
		}
		if err := w.write(ctx, day, counts); err != nil {
			return err
		}
	}
	old := DayOf(now.AddDate(0, 0, -retentionDays), time.UTC)
	maps.DeleteFunc(w.written, func(d Day, _ map[string]Count) bool { return d < old })
	w.Counter.drop(old)
	return nil
}

func (w *Writer) write(ctx context.Context, day Day, counts map[string]Count) error {
	value, err := json.Marshal(counts)
	if err != nil {
		return errors.Wrapf(err, "encode totals of %s", day)
	}
	key := Prefix + string(day) + "/" + w.Incarnation
	if _, err := w.Store.Do(ctx, etcd.Txn{Puts: []etcd.Put{{Key: key, Value: value}}}); err != nil {
		return errors.Wrapf(err, "write totals of %s", day)
	}
	if w.written == nil {
		w.written = make(map[Day]map[string]Count)
	}
	w.written[day] = counts
	return nil
}
