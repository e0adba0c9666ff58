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

// Watch implements Store. It delivers all events of a revision or none of them,
// so a caller that resumes after the last revision it received misses nothing.
// It returns ErrCompacted if the store no longer has the revision.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, f func(Event)) error {
	c.init()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idleTimer := time.AfterFunc(c.Timeout, func() { cancel(errors.New("idle timeout: no message received")) })
	defer idleTimer.Stop()
	q := request{kind: gateway.Watch, op: "watch", key: prefix, method: http.MethodPost, path: []string{"v3/watch"}}
	q.body = gateway.WatchRequest{Create: gateway.WatchCreate{
		Key: []byte(prefix), RangeEnd: gateway.PrefixEnd(prefix), StartRevision: after + 1,
	}}
	body, sent, err := c.exchanger.Open(ctx, c.gatewayRequest(q))
	if err != nil {
		return q.outcome(sent, reason(ctx, err))
	}
	defer func() { _ = body.Close() }()
	limited := &io.LimitedReader{R: body}
	for dec := json.NewDecoder(limited); ; idleTimer.Reset(c.WatchIdleTimeout) {
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

// reason returns the cause of the end of ctx, if it has ended, and else err: a
// cancelled read fails with an error that does not give the cause.
func reason(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// deliver calls f with the events of one message.
func deliver(m gateway.Stream[gateway.WatchResponse], f func(Event)) error {
	switch {
	case m.Error != nil:
		return errors.New(m.Error.Message)
	case m.Result == nil:
		return errors.New("watch message has no result")
	case m.Result.CompactRevision != 0:
		return errors.Wrapf(ErrCompacted, "oldest available revision %d", m.Result.CompactRevision)
	case m.Result.Canceled:
		return errors.Errorf("cancelled by the store: %s", m.Result.CancelReason)
	}
	for _, e := range m.Result.Events {
		f(Event{Pair: pair(e.Kv), Deleted: e.Type == gateway.Delete})
	}
	return nil
}
