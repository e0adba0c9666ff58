package backend

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"
)

// maxInterim bounds the 1xx answers before the final one.
const maxInterim = 8

// Failures of a request or an answer.
var (
	errRequest   = errors.New("request cannot be sent")
	errMalformed = errors.New("malformed answer")
	errLarge     = errors.New("answer exceeds the bound")
	errUnframed  = errors.New("answer without length")
)

// Exchange sends one request to a runner and reads the answer. It tries once;
// whether the request can have run is in the Result.
func (c *Client) Exchange(ctx context.Context, r Runner, req *Request) Result {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	out, err := wireRequest(r, req)
	if err != nil {
		return Result{Outcome: NotRun, Reason: ReasonInvalid}
	}
	if ctx.Err() != nil {
		return Result{Outcome: NotRun, Reason: stopReason(ctx, req)}
	}
	cn, err := c.get(ctx, r.Addr)
	if err != nil {
		return Result{Outcome: NotRun, Reason: connectReason(ctx, req, err)}
	}
	return c.exchangeOn(ctx, cn, req, out)
}

// exchangeOn runs the exchange on a connection, and keeps or closes it.
func (c *Client) exchangeOn(ctx context.Context, cn *conn, req *Request, out *http.Request) Result {
	cn.written = 0
	// The context ends at the deadline too, so that no deadline is set here
	// and no other party resets it.
	err := cn.SetDeadline(time.Time{})
	stop := context.AfterFunc(ctx, func() { _ = cn.SetDeadline(past) })
	res, reusable := Result{Outcome: NotRun, Reason: ReasonConnectionLost}, false
	if err == nil {
		res, reusable = c.converse(ctx, cn, req, out)
	}
	// A stop function that has started may still set the deadline.
	if stop() && reusable {
		c.put(cn)
	} else {
		c.drop(cn)
	}
	return res
}

// converse writes the request and reads the answer. It also reports whether
// the connection is in order for the next exchange.
func (c *Client) converse(ctx context.Context, cn *conn, req *Request, out *http.Request) (Result, bool) {
	cn.bw.Reset(cn)
	err := out.Write(cn.bw)
	if err == nil {
		err = cn.bw.Flush()
	}
	if err != nil {
		return c.unsent(ctx, cn, req, out, err), false
	}
	a, keep, err := c.readAnswer(cn, out)
	if err != nil {
		return Result{Outcome: Unknown, Reason: answerReason(ctx, req, err)}, false
	}
	res := judge(req, a)
	if res.Outcome == Answered && !time.Now().Before(req.Deadline) {
		return Result{Outcome: Unknown, Reason: ReasonDeadline}, false
	}
	return res, keep && res.Outcome != Unknown
}

// unsent judges a failed write. A server may refuse and close before it has
// read the whole request, so its refusal is looked for.
func (c *Client) unsent(ctx context.Context, cn *conn, req *Request, out *http.Request, err error) Result {
	if cn.written == 0 {
		return Result{Outcome: NotRun, Reason: answerReason(ctx, req, err)}
	}
	if ctx.Err() == nil {
		if a, _, readErr := c.readAnswer(cn, out); readErr == nil {
			if res := judge(req, a); res.Outcome == NotRun {
				return res
			}
		}
	}
	return Result{Outcome: Unknown, Reason: answerReason(ctx, req, err)}
}

// judge gives the result of a whole answer.
func judge(req *Request, a *Response) Result {
	if ids := a.Header[headerRequestID]; len(ids) != 1 || ids[0] != req.ID {
		return Result{Outcome: Unknown, Reason: ReasonIDMismatch}
	}
	if a.Status != http.StatusServiceUnavailable || a.Header.Get(headerOutcome) != outcomeNotRun {
		return Result{Outcome: Answered, Reason: ReasonOK, Response: a}
	}
	if a.Header.Get(headerLeaving) == "true" {
		return Result{Outcome: NotRun, Reason: ReasonLeaving, Leaving: true}
	}
	return Result{Outcome: NotRun, Reason: ReasonBusy}
}

// writable tells whether a request can be written as it is. Request.Write
// checks neither the method nor the headers.
func writable(req *Request) bool {
	if req.ID == "" || strings.TrimSpace(req.ID) != req.ID || !httpguts.ValidHeaderFieldValue(req.ID) {
		return false
	}
	if req.Method == http.MethodConnect || !httpguts.ValidHeaderFieldName(req.Method) || !strings.HasPrefix(req.Target, "/") {
		return false
	}
	for name, values := range req.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return false
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return false
			}
		}
	}
	return true
}

// wireRequest builds the request as it is written.
func wireRequest(r Runner, req *Request) (*http.Request, error) {
	if !writable(req) {
		return nil, errRequest
	}
	u, err := url.ParseRequestURI(req.Target)
	if err != nil {
		return nil, err
	}
	h := endToEnd(req.Header)
	h[headerRequestID] = []string{req.ID}
	// A server that knows the deadline need not finish what nobody waits for.
	h[headerDeadline] = []string{req.Deadline.UTC().Format(time.RFC3339Nano)}
	if h["User-Agent"] == nil {
		h["User-Agent"] = noUserAgent
	}
	out := &http.Request{
		Method: req.Method, URL: u, Host: r.Addr.String(), Header: h,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: http.NoBody, ContentLength: int64(len(req.Body)),
	}
	if len(req.Body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(req.Body))
	}
	return out, nil
}

// readAnswer reads a whole answer. It also reports whether the connection may
// carry another exchange; surplus bytes are noticed by its watch.
func (c *Client) readAnswer(cn *conn, out *http.Request) (*Response, bool, error) {
	resp, err := c.readHeader(cn, out)
	if err != nil {
		return nil, false, err
	}
	defer resp.Body.Close() //nolint:errcheck // the body is read to its end or the connection is closed
	bodiless := out.Method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	chunked := len(resp.TransferEncoding) == 1 && resp.TransferEncoding[0] == "chunked"
	if !bodiless && !chunked && resp.ContentLength < 0 {
		return nil, false, errUnframed
	}
	limit := c.MaxBody
	if limit == 0 {
		limit = defaultMaxBody
	}
	if !bodiless && resp.ContentLength > limit {
		return nil, false, errLarge
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, false, err
	}
	if int64(len(body)) > limit {
		return nil, false, errLarge
	}
	removeHopByHop(resp.Header)
	a := &Response{Status: resp.StatusCode, Header: resp.Header, Body: body}
	return a, !resp.Close, nil
}

// readHeader reads up to the header of the final answer.
func (c *Client) readHeader(cn *conn, out *http.Request) (*http.Response, error) {
	cn.allowed = c.MaxHeader
	if cn.allowed == 0 {
		cn.allowed = defaultMaxHeader
	}
	defer func() { cn.allowed = math.MaxInt64 }()
	// ReadResponse does not tell the end before an answer from one within it.
	if _, err := cn.br.Peek(1); err != nil {
		return nil, err
	}
	for range maxInterim {
		resp, err := http.ReadResponse(cn.br, out)
		if err != nil {
			return nil, err
		}
		// ReadResponse takes any version; the framing rules are those of HTTP/1.
		if resp.ProtoMajor != 1 || resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errMalformed
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
	return nil, errMalformed
}

// stopReason tells a deadline from a cancellation.
func stopReason(ctx context.Context, req *Request) string {
	if errors.Is(ctx.Err(), context.Canceled) && time.Now().Before(req.Deadline) {
		return ReasonCancelled
	}
	return ReasonDeadline
}

// connectReason names why there is no connection.
func connectReason(ctx context.Context, req *Request, err error) string {
	switch {
	case errors.Is(err, errClosed):
		return ReasonClosed
	case errors.Is(err, errConnections):
		return ReasonConnections
	case ctx.Err() != nil:
		return stopReason(ctx, req)
	default:
		return ReasonRefused
	}
}

// answerReason names why writing or reading failed.
func answerReason(ctx context.Context, req *Request, err error) string {
	var failed net.Error
	switch {
	case ctx.Err() != nil || errors.Is(err, os.ErrDeadlineExceeded):
		return stopReason(ctx, req)
	case errors.Is(err, errLarge):
		return ReasonTooLarge
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, errUnframed):
		return ReasonTruncated
	case errors.Is(err, io.EOF), errors.As(err, &failed), errors.Is(err, io.ErrClosedPipe):
		return ReasonConnectionLost
	default:
		return ReasonMalformed
	}
}
