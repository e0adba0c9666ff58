package caller

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/backend"
	"gypsumtrestle.example/gypsumtrestle/internal/claim"
	"gypsumtrestle.example/gypsumtrestle/internal/dispatch"
	"gypsumtrestle.example/gypsumtrestle/internal/intake"
	"gypsumtrestle.example/gypsumtrestle/pkg/text"
)

// Headers of requests and responses.
const (
	headerDeadline = "Deadline"
	headerID       = "Request-Id"
	headerKey      = "Idempotency-Key"
	headerPriority = "Priority"
)

const (
	// defaultUrgency is the urgency that RFC 9218 gives a request without one.
	defaultUrgency = 3
	maxUrgency     = 7
	maxID          = 128 // bytes, of a request ID that a caller chose
)

// requestID returns the caller's request ID, or a new one if the caller sent
// none. An ID that could break a log line or a header is rejected.
func requestID(h http.Header) (string, error) {
	id := h.Get(headerID)
	if id == "" {
		return uuid.NewString(), nil
	}
	if len(id) > maxID || strings.ContainsFunc(id, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return uuid.NewString(), &badInput{status: http.StatusBadRequest, detail: "Request-Id: expected up to 128 printable ASCII characters without spaces"}
	}
	return id, nil
}

// job reads and validates a request to a service. It reads the entire body, so
// that a caller that sends slowly occupies no slot.
func (s *Server) job(r *http.Request, id string, svc *text.Service, target string, now time.Time) (*dispatch.Job, error) {
	key, err := idempotencyKey(r)
	if err != nil {
		return nil, err
	}
	deadline, err := requestDeadline(r.Header, now, svc.Limit)
	if err != nil {
		return nil, err
	}
	if last := s.maxDeadline.Load(); last != nil && last.Before(deadline) {
		deadline = *last
	}
	class, err := priorityClass(r.Header)
	if err != nil {
		return nil, err
	}
	body, err := s.body(r, now)
	if err != nil {
		return nil, err
	}
	return &dispatch.Job{
		Service: svc.Name, Class: class, Key: key, Idempotent: isIdempotent(r.Method),
		Request: &backend.Request{
			ID: id, Method: r.Method, Target: target,
			Header: r.Header, Body: body, Deadline: deadline,
		},
	}, nil
}

// body reads the body. The time that it waits for room and the time in which it
// must arrive are bounded by ReadTimeout.
func (s *Server) body(r *http.Request, now time.Time) (content []byte, err error) {
	var deadline time.Time
	if s.ReadTimeout > 0 {
		deadline = now.Add(s.ReadTimeout)
	}
	b, err := intake.Read(r, s.MaxBody, deadline)
	if err == nil {
		err = b.Decode(r.Context(), deadline, func(b []byte) { content = b })
	}
	switch {
	case err == nil:
		return content, nil
	case errors.Is(err, intake.ErrTooLong):
		return nil, &badInput{status: http.StatusRequestEntityTooLarge, detail: "body: expected at most " + strconv.FormatInt(s.MaxBody, 10) + " bytes"}
	case errors.Is(err, intake.ErrBusy):
		return nil, &badInput{status: http.StatusServiceUnavailable, detail: "body: too many large bodies at a time"}
	case errors.Is(err, intake.ErrSlow):
		return nil, &badInput{status: http.StatusRequestTimeout, detail: "body: expected whole within " + s.ReadTimeout.String()}
	}
	return nil, &badInput{status: http.StatusBadRequest, detail: "body: could not be read whole"}
}

// isIdempotent reports whether a method is idempotent by RFC 9110, section
// 9.2.2.
func isIdempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// requestDeadline returns the caller's deadline, or the service's limit from
// now if that is earlier or the caller sent none.
func requestDeadline(h http.Header, now time.Time, limit time.Duration) (time.Time, error) {
	last := now.Add(limit)
	v := h.Get(headerDeadline)
	if v == "" {
		return last, nil
	}
	d, err := time.Parse(time.RFC3339Nano, v)
	if err != nil {
		return last, &badInput{status: http.StatusBadRequest, detail: "Deadline: expected an RFC 3339 instant, such as 2026-12-04T10:00:00.5Z"}
	}
	if d.Before(last) {
		return d, nil
	}
	return last, nil
}

// priorityClass returns the class for the urgency in a Priority header of RFC
// 9218. Unknown parameters are ignored, as that RFC requires.
func priorityClass(h http.Header) (text.Class, error) {
	for _, member := range strings.Split(strings.Join(h.Values(headerPriority), ","), ",") {
		v, ok := strings.CutPrefix(strings.TrimSpace(member), "u=")
		if !ok {
			continue
		}
		v, _, _ = strings.Cut(v, ";")
		u, err := strconv.Atoi(v)
		if err != nil || u < 0 || u > maxUrgency {
			return text.Normal, &badInput{status: http.StatusBadRequest, detail: "Priority: expected an urgency of u=0 to u=7"}
		}
		return text.ClassOf(u), nil
	}
	return text.ClassOf(defaultUrgency), nil
}

// idempotencyKey returns the idempotency key, which may have the quotes of a
// structured field string. It is empty for idempotent methods, which need none.
func idempotencyKey(r *http.Request) (string, error) {
	values := r.Header.Values(headerKey)
	if len(values) == 0 || isIdempotent(r.Method) {
		return "", nil
	}
	key := strings.Trim(strings.TrimSpace(values[0]), `"`)
	if _, err := claim.ParseKey(key); err != nil || len(values) > 1 {
		return "", &badInput{status: http.StatusBadRequest, detail: "Idempotency-Key: expected one UUIDv7 or a key from /key", neverRan: true}
	}
	return key, nil
}
