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

// maxInterim is the maximum number of 1xx responses before the final one.
const maxInterim = 8

// Errors of a request or a response.
var (
	errRequest   = errors.New("request is invalid and cannot be sent")
	errMalformed = errors.New("malformed response")
	errTooLarge  = errors.New("response exceeds the size limit")
	errUnframed  = errors.New("response has neither a length nor chunked encoding")
)

// Exchange sends one request to a runner and reads the response. It tries once;
// the Result indicates whether the request can have run.
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

// exchangeOn runs the exchange on a connection, and then makes the connection
// idle or closes it.
func (c *Client) exchangeOn(ctx context.Context, cn *conn, req *Request, out *http.Request) Result {
	cn.written = 0
	// The context also ends at the deadline of the request. It alone sets the
	// deadline of the connection, so no other code resets it.
	err := cn.SetDeadline(time.Time{})
	stop := context.AfterFunc(ctx, func() { _ = cn.SetDeadline(past) })
	res, reusable := Result{Outcome: NotRun, Reason: ReasonConnectionLost}, false
	if err == nil {
		res, reusable = c.roundTrip(ctx, cn, req, out)
	}
	// If stop returns false, the function has started and may still set the
	// deadline.
	if stop() && reusable {
		c.put(cn)
	} else {
		c.drop(cn)
	}
	return res
}

// roundTrip writes the request and reads the response. It also reports whether
// the connection can be used for the next exchange.
func (c *Client) roundTrip(ctx context.Context, cn *conn, req *Request, out *http.Request) (Result, bool) {
	cn.bw.Reset(cn)
	err := out.Write(cn.bw)
	if err == nil {
		err = cn.bw.Flush()
	}
	if err != nil {
		return c.writeFailed(ctx, cn, req, out, err), false
	}
	resp, reusable, err := c.readResponse(cn, out)
	if err != nil {
		return Result{Outcome: Unknown, Reason: failureReason(ctx, req, err)}, false
	}
	res := resultOf(req, resp)
	if res.Outcome == Answered && !time.Now().Before(req.Deadline) {
		return Result{Outcome: Unknown, Reason: ReasonDeadline}, false
	}
	return res, reusable && res.Outcome != Unknown
}

// writeFailed returns the result of a failed write. A server may reject a
// request and close the connection before it has read all of it, so writeFailed
// still reads the response.
func (c *Client) writeFailed(ctx context.Context, cn *conn, req *Request, out *http.Request, err error) Result {
	if cn.written == 0 {
		return Result{Outcome: NotRun, Reason: failureReason(ctx, req, err)}
	}
	if ctx.Err() == nil {
		if resp, _, readErr := c.readResponse(cn, out); readErr == nil {
			if res := resultOf(req, resp); res.Outcome == NotRun {
				return res
			}
		}
	}
	return Result{Outcome: Unknown, Reason: failureReason(ctx, req, err)}
}

// resultOf returns the result of a complete response.
func resultOf(req *Request, resp *Response) Result {
	if ids := resp.Header[headerRequestID]; len(ids) != 1 || ids[0] != req.ID {
		return Result{Outcome: Unknown, Reason: ReasonIDMismatch}
	}
	if resp.Status != http.StatusServiceUnavailable || resp.Header.Get(headerOutcome) != outcomeNotRun {
		return Result{Outcome: Answered, Reason: ReasonOK, Response: resp}
	}
	if resp.Header.Get(headerLeaving) == "true" {
		return Result{Outcome: NotRun, Reason: ReasonLeaving, Leaving: true}
	}
	return Result{Outcome: NotRun, Reason: ReasonBusy}
}

// writable reports whether a request can be written unchanged. Request.Write
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

// wireRequest returns the request in the form in which it is written.
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
	// With the deadline, a server can abort work for which its caller no longer
	// waits.
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

// readResponse reads a complete response. It also reports whether the
// connection may be used for another exchange. The watch of the idle connection
// detects surplus bytes.
func (c *Client) readResponse(cn *conn, out *http.Request) (*Response, bool, error) {
	resp, err := c.readHeader(cn, out)
	if err != nil {
		return nil, false, err
	}
	defer resp.Body.Close() //nolint:errcheck // either the entire body was read or the connection is closed
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
		return nil, false, errTooLarge
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, false, err
	}
	if int64(len(body)) > limit {
		return nil, false, errTooLarge
	}
	removeHopByHop(resp.Header)
	response := &Response{Status: resp.StatusCode, Header: resp.Header, Body: body}
	return response, !resp.Close, nil
}

// readHeader reads up to the header of the final response.
func (c *Client) readHeader(cn *conn, out *http.Request) (*http.Response, error) {
	cn.readBudget = c.MaxHeader
	if cn.readBudget == 0 {
		cn.readBudget = defaultMaxHeader
	}
	defer func() { cn.readBudget = math.MaxInt64 }()
	// ReadResponse returns the same error for a connection that ended before the
	// response as for one that ended within it.
	if _, err := cn.br.Peek(1); err != nil {
		return nil, err
	}
	for range maxInterim {
		resp, err := http.ReadResponse(cn.br, out)
		if err != nil {
			return nil, err
		}
		// ReadResponse accepts any version, but the framing rules here are those of
		// HTTP/1.
		if resp.ProtoMajor != 1 || resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errMalformed
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
	return nil, errMalformed
}

// stopReason returns the reason of an ended context: deadline exceeded or
// cancelled.
func stopReason(ctx context.Context, req *Request) string {
	if errors.Is(ctx.Err(), context.Canceled) && time.Now().Before(req.Deadline) {
		return ReasonCancelled
	}
	return ReasonDeadline
}

// connectReason returns the reason why no connection is available.
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

// failureReason returns the reason why writing or reading failed.
func failureReason(ctx context.Context, req *Request, err error) string {
	var failed net.Error
	switch {
	case ctx.Err() != nil || errors.Is(err, os.ErrDeadlineExceeded):
		return stopReason(ctx, req)
	case errors.Is(err, errTooLarge):
		return ReasonTooLarge
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, errUnframed):
		return ReasonTruncated
	case errors.Is(err, io.EOF), errors.As(err, &failed), errors.Is(err, io.ErrClosedPipe):
		return ReasonConnectionLost
	default:
		return ReasonMalformed
	}
}
