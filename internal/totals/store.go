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

// Prefix is where the platform's service keeps the totals: a key for each day
// and daemon incarnation. It lies outside the prefix that daemons follow, so
// that their watches do not carry totals.
const Prefix = "/gttotal/"

const (
	// FlushEvery is the longest that counts stay in memory alone.
	FlushEvery = 30 * time.Second
	// flushTimeout bounds one write, also at shutdown.
	flushTimeout = 3 * time.Second
	// keepDays is how long a finished day stays in memory after its last
	// change: requests that straddle midnight still count for their own day.
	keepDays = 2
)

// store is what the Writer needs of the platform's service.
type store interface {
	Do(ctx context.Context, t etcd.Txn) (etcd.TxnResult, error)
}

// Writer writes one daemon's counts to the platform's service.
type Writer struct {
	Counter     *Counter
	Store       store
	Incarnation string
	Logger      log.Logger

	// written is what the service is known to hold.
	written map[Day]map[string]Count
}

// Run writes changed counts until ctx ends, and once more then.
func (w *Writer) Run(ctx context.Context) error {
	tick := time.NewTicker(FlushEvery)
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
		w.Logger.Log("msg", "totals not written, kept in memory", "err", err)
	}
}

// Flush writes the days whose counts changed since they were last written.
func (w *Writer) Flush(ctx context.Context, now time.Time) error {
	for day, counts := range w.Counter.snapshot() {
		if maps.Equal(counts, w.written[day]) {
			continue
		}
		if err := w.write(ctx, day, counts); err != nil {
			return err
		}
	}
	old := DayOf(now.AddDate(0, 0, -keepDays), time.UTC)
	maps.DeleteFunc(w.written, func(d Day, _ map[string]Count) bool { return d < old })
	w.Counter.drop(old)
	return nil
}

func (w *Writer) write(ctx context.Context, day Day, counts map[string]Count) error {
	value, err := json.Marshal(counts)
	if err != nil {
		return errors.Wrapf(err, "totals of %s", day)
	}
	key := Prefix + string(day) + "/" + w.Incarnation
	if _, err := w.Store.Do(ctx, etcd.Txn{Puts: []etcd.Put{{Key: key, Value: value}}}); err != nil {
		return errors.Wrapf(err, "totals of %s", day)
	}
	if w.written == nil {
		w.written = make(map[Day]map[string]Count)
	}
	w.written[day] = counts
	return nil
}
