package etcd

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd/gateway"
)

// Watch implements Store. The events of one revision reach f together or not
// at all, so a caller that resumes after the last revision it saw has no gap.
// It returns ErrCompacted when the store no longer has the revision.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, f func(Event)) error {
	c.init()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(c.Timeout, func() { cancel(errors.New("no message in time")) })
	defer silence.Stop()
	q := request{kind: gateway.Watch, op: "watch", key: prefix, method: http.MethodPost, path: []string{"v3/watch"}}
	q.body = gateway.WatchRequest{Create: gateway.WatchCreate{
		Key: []byte(prefix), RangeEnd: gateway.PrefixEnd(prefix), StartRevision: after + 1,
	}}
	body, sent, err := c.x.Open(ctx, c.wire(q))
	if err != nil {
		return q.outcome(sent, reason(ctx, err))
	}
	defer func() { _ = body.Close() }()
	limited := &io.LimitedReader{R: body}
	for dec := json.NewDecoder(limited); ; silence.Reset(c.WatchIdleTimeout) {
		limited.N = maxBody
		var m gateway.Stream[gateway.WatchResponse]
		if err := dec.Decode(&m); err != nil {
			return q.outcome(true, reason(ctx, err))
		}
		if err := deliver(m, f); err != nil {
			return q.outcome(true, err)
		}
	}
}

// reason prefers the reason why ctx ended to the read error that followed it.
func reason(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// deliver hands the events of one message to f.
func deliver(m gateway.Stream[gateway.WatchResponse], f func(Event)) error {
	switch {
	case m.Error != nil:
		return errors.New(m.Error.Message)
	case m.Result == nil:
		return errors.New("message without a result")
	case m.Result.CompactRevision != 0:
		return errors.Wrapf(ErrCompacted, "oldest revision is %d", m.Result.CompactRevision)
	case m.Result.Canceled:
		return errors.Errorf("cancelled: %s", m.Result.CancelReason)
	}
	for _, e := range m.Result.Events {
		f(Event{Pair: pair(e.Kv), Deleted: e.Type == gateway.Delete})
	}
	return nil
}
