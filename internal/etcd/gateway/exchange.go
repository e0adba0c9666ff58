package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

// Request is one exchange. Body is encoded as JSON unless nil.
type Request struct {
	Kind   Kind
	Method string
	URL    *url.URL
	Zone   string
	Body   any
	// Tag, unless nil, makes the request conditional: the entity tag in it is
	// sent as If-None-Match, and that of a successful answer replaces it.
	Tag *string
}

// StatusError is an answer other than success.
type StatusError struct {
	HTTP    int
	Code    int
	Message string
}

func (e *StatusError) Error() string {
	return errors.Errorf("status %d: %s", e.HTTP, e.Message).Error()
}

// Refused reports that the answer proves that nothing was done. Server errors
// prove nothing, since a timeout behind the gateway is one of them; neither do
// 408 and 499, by which gateways report a cancelled call.
func (e *StatusError) Refused() bool {
	return e.HTTP >= 400 && e.HTTP < 500 && e.HTTP != http.StatusRequestTimeout && e.HTTP != 499
}

// Exchanger sends requests over connections of its own, within a budget.
type Exchanger struct {
	client        http.Client
	writes, reads *rate.Limiter
}

// NewExchanger returns an Exchanger. It speaks HTTP/1.1 only, where the bytes
// written to a connection belong to one request at a time.
func NewExchanger(b Budget) *Exchanger {
	x := &Exchanger{client: http.Client{
		Transport: &http.Transport{
			DialContext:         dial,
			MaxIdleConnsPerHost: 4,
			IdleConnTimeout:     30 * time.Second,
		},
		// A followed redirect would send a request twice.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
	x.writes, x.reads = b.limiters()
	return x
}

// Close closes the idle connections.
func (x *Exchanger) Close() { x.client.CloseIdleConnections() }

// trace remembers the connection that carries a request.
type trace struct {
	conn atomic.Pointer[conn]
	from atomic.Int64
}

func (t *trace) gotConn(info httptrace.GotConnInfo) {
	if c, ok := info.Conn.(*conn); ok {
		t.from.Store(c.count())
		t.conn.Store(c)
	}
}

func (t *trace) sent() bool {
	c := t.conn.Load()
	return c != nil && c.count() > t.from.Load()
}

// Open sends a request and returns the body of a successful answer. When it
// fails, sent reports whether any byte of the request left.
func (x *Exchanger) Open(ctx context.Context, q Request) (body io.ReadCloser, sent bool, err error) {
	var b []byte
	if q.Body != nil {
		if b, err = json.Marshal(q.Body); err != nil {
			return nil, false, err
		}
	}
	if err := x.take(ctx, q.Kind); err != nil {
		return nil, false, errors.Wrap(err, "wait for a turn")
	}
	t := &trace{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
	r, err := http.NewRequestWithContext(ctx, q.Method, q.URL.String(), bytes.NewReader(b))
	if err != nil {
		return nil, false, err
	}
	// Without GetBody the transport cannot repeat a request that has a body.
	r.GetBody = nil
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Zone", q.Zone)
	if q.Tag != nil && *q.Tag != "" {
		r.Header.Set("If-None-Match", *q.Tag)
	}
	w, err := x.client.Do(r)
	if err != nil {
		return nil, t.sent(), err
	}
	if w.StatusCode/100 != 2 {
		defer func() { _ = w.Body.Close() }()
		return nil, true, statusError(w)
	}
	if q.Tag != nil {
		*q.Tag = w.Header.Get("ETag")
	}
	return w.Body, true, nil
}

// Do makes a whole exchange and decodes the answer into out, unless nil.
// Answers over max bytes are errors.
func (x *Exchanger) Do(ctx context.Context, q Request, out any, max int64) (sent bool, err error) {
	body, sent, err := x.Open(ctx, q)
	if err != nil {
		return sent, err
	}
	defer func() { _ = body.Close() }()
	b, err := io.ReadAll(io.LimitReader(body, max+1))
	switch {
	case err != nil:
		return true, errors.Wrap(err, "read answer")
	case int64(len(b)) > max:
		return true, errors.Errorf("answer of more than %d bytes", max)
	case out == nil:
		return true, nil
	}
	return true, errors.Wrap(json.Unmarshal(b, out), "decode answer")
}

func statusError(w *http.Response) error {
	const max = 4 << 10
	e := &StatusError{HTTP: w.StatusCode}
	b, err := io.ReadAll(io.LimitReader(w.Body, max))
	if err != nil {
		return e
	}
	var s Status
	if json.Unmarshal(b, &s) == nil {
		e.Code, e.Message = s.Code, s.Message
	}
	return e
}
