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

// Request is the request of one exchange. Body is encoded as JSON unless nil.
type Request struct {
	Kind   Kind
	Method string
	URL    *url.URL
	Zone   string
	Body   any
	// Tag, unless nil, makes the request conditional: its entity tag is sent as
	// If-None-Match, and is replaced by the tag of a successful response.
	Tag *string
}

// StatusError is a response whose status is not 2xx. HTTP is that status. Code
// and Message are those of the Status in the body, if it has one.
type StatusError struct {
	HTTP    int
	Code    int
	Message string
}

func (e *StatusError) Error() string {
	return errors.Errorf("status %d: %s", e.HTTP, e.Message).Error()
}

// Rejected reports whether the response proves that nothing was done. Server
// errors do not, since a timeout behind the gateway is one of them. Neither do
// 408 and 499, with which gateways report a cancelled call.
func (e *StatusError) Rejected() bool {
	return e.HTTP >= 400 && e.HTTP < 500 && e.HTTP != http.StatusRequestTimeout && e.HTTP != 499
}

// Exchanger sends requests over its own connections, within a budget.
type Exchanger struct {
	client        http.Client
	writes, reads *rate.Limiter
}

// NewExchanger returns an Exchanger. It uses HTTP/1.1 only, where the bytes
// written to a connection belong to one request at a time.
func NewExchanger(b Budget) *Exchanger {
	x := &Exchanger{client: http.Client{
		Transport: &http.Transport{
			DialContext:         dial,
			MaxIdleConnsPerHost: 4,
			IdleConnTimeout:     30 * time.Second,
		},
		// Following a redirect would send the request twice.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
	x.writes, x.reads = b.limiters()
	return x
}

// Close closes the idle connections.
func (x *Exchanger) Close() { x.client.CloseIdleConnections() }

// connTrace records the connection of a request, and how many bytes had been
// sent over it before.
type connTrace struct {
	conn       atomic.Pointer[conn]
	sentBefore atomic.Int64
}

func (t *connTrace) gotConn(info httptrace.GotConnInfo) {
	if c, ok := info.Conn.(*conn); ok {
		t.sentBefore.Store(c.bytesSent())
		t.conn.Store(c)
	}
}

func (t *connTrace) sent() bool {
	c := t.conn.Load()
	return c != nil && c.bytesSent() > t.sentBefore.Load()
}

// Open sends a request and returns the body of a successful response. If it
// fails, sent reports whether any byte of the request was sent.
func (x *Exchanger) Open(ctx context.Context, q Request) (body io.ReadCloser, sent bool, err error) {
	var b []byte
	if q.Body != nil {
		if b, err = json.Marshal(q.Body); err != nil {
			return nil, false, err
		}
	}
	if err := x.acquire(ctx, q.Kind); err != nil {
		return nil, false, errors.Wrap(err, "wait for the rate limit")
	}
	t := &connTrace{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
	req, err := http.NewRequestWithContext(ctx, q.Method, q.URL.String(), bytes.NewReader(b))
	if err != nil {
		return nil, false, err
	}
	// Without GetBody the transport cannot retry a request that has a body.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Zone", q.Zone)
	if q.Tag != nil && *q.Tag != "" {
		req.Header.Set("If-None-Match", *q.Tag)
	}
	resp, err := x.client.Do(req)
	if err != nil {
		return nil, t.sent(), err
	}
	if resp.StatusCode/100 != 2 {
		defer func() { _ = resp.Body.Close() }()
		return nil, true, statusError(resp)
	}
	if q.Tag != nil {
		*q.Tag = resp.Header.Get("ETag")
	}
	return resp.Body, true, nil
}

// Do makes a complete exchange and decodes the response into out, unless nil. A
// response of more than max bytes is an error.
func (x *Exchanger) Do(ctx context.Context, q Request, out any, max int64) (sent bool, err error) {
	body, sent, err := x.Open(ctx, q)
	if err != nil {
		return sent, err
	}
	defer func() { _ = body.Close() }()
	b, err := io.ReadAll(io.LimitReader(body, max+1))
	switch {
	case err != nil:
		return true, errors.Wrap(err, "read response")
	case int64(len(b)) > max:
		return true, errors.Errorf("response larger than %d bytes", max)
	case out == nil:
		return true, nil
	}
	return true, errors.Wrap(json.Unmarshal(b, out), "decode response")
}

func statusError(resp *http.Response) error {
	const max = 4 << 10
	e := &StatusError{HTTP: resp.StatusCode}
	b, err := io.ReadAll(io.LimitReader(resp.Body, max))
	if err != nil {
		return e
	}
	var s Status
	if json.Unmarshal(b, &s) == nil {
		e.Code, e.Message = s.Code, s.Message
	}
	return e
}
