package caller

import (
	"context"
	"expvar"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/backend"
	"gypsumtrestle.example/gypsumtrestle/internal/claim"
	"gypsumtrestle.example/gypsumtrestle/internal/dispatch"
	"gypsumtrestle.example/gypsumtrestle/internal/operator"
	"gypsumtrestle.example/gypsumtrestle/internal/state"
	"gypsumtrestle.example/gypsumtrestle/internal/totals"
)

// dispatcher runs one job until it has a result.
type dispatcher interface {
	Do(ctx context.Context, j *dispatch.Job) dispatch.Result
}

// Server serves callers and, on the same port, the health probes and the
// operators' read-only pages.
type Server struct {
	Dispatch    dispatcher
	State       *state.Tracker
	Totals      *totals.Counter
	Incarnation string
	// Zone is the daemon's zone. Requests that ran in another zone are counted as
	// spilled.
	Zone string
	// Status returns the contents of the page at /status.
	Status func() *operator.Status
	Logger log.Logger
	// MaxBody and MaxHeader bound a request in bytes.
	MaxBody   int64
	MaxHeader int
	// ReadTimeout bounds how long a caller may take to send a header or a body.
	ReadTimeout time.Duration

	ready atomic.Bool
	// maxDeadline is the latest deadline of a request during a planned stop. It
	// is nil before the stop.
	maxDeadline atomic.Pointer[time.Time]
}

// SetReady sets whether /ready reports ready to the load balancer. A server
// that is not ready still serves the requests that it receives.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// Stop makes /ready report not ready from now on. Requests that arrive later
// get at most the given deadline, so that the planned stop interrupts none of
// them.
func (s *Server) Stop(last time.Time) { s.maxDeadline.Store(&last) }

// Ready reports whether /ready reports ready.
func (s *Server) Ready() bool { return s.ready.Load() && s.maxDeadline.Load() == nil }

// HTTP returns an HTTP server with the limits. Its ReadTimeout is not set:
// net/http would apply it while a request runs, and cancel the request.
func (s *Server) HTTP() *http.Server {
	return &http.Server{Handler: s.Handler(), MaxHeaderBytes: s.MaxHeader, ReadHeaderTimeout: s.ReadTimeout, IdleTimeout: s.ReadTimeout}
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.GET("/live", func(c echo.Context) error { return c.NoContent(http.StatusNoContent) })
	e.GET("/ready", s.readiness)
	e.GET("/key", s.mint)
	e.GET("/text", s.text)
	e.GET("/status", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Status()) })
	e.GET("/debug/vars", echo.WrapHandler(expvar.Handler()))
	e.Any("/:service", s.request)
	e.Any("/:service/*", s.request)
	e.HTTPErrorHandler = func(_ error, c echo.Context) {
		id, _ := requestID(c.Request().Header)
		c.Response().Header().Set(headerID, id)
		writeProblem(c.Response(), http.StatusNotFound, backend.NotRun, id, "expected a path /{service}/…")
	}
	return e
}

func (s *Server) readiness(c echo.Context) error {
	if !s.Ready() {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.NoContent(http.StatusNoContent)
}

// mint returns a new idempotency key whose owner is this daemon.
func (s *Server) mint(c echo.Context) error {
	return c.String(http.StatusOK, claim.Mint(time.Now(), s.Incarnation).String())
}

// text returns the active configuration text.
func (s *Server) text(c echo.Context) error {
	v := s.State.View()
	return c.JSON(http.StatusOK, operator.Record{Version: v.PlanVersion, Text: string(v.Source)})
}

// request serves one request to a service.
func (s *Server) request(c echo.Context) error {
	r, w := c.Request(), c.Response()
	now := time.Now()
	id, err := requestID(r.Header)
	w.Header().Set(headerID, id)
	if err != nil {
		s.reject(w, r, id, err)
		return nil
	}
	if s.ReadTimeout > 0 {
		// This fails only if the connection has failed.
		_ = http.NewResponseController(w).SetReadDeadline(now.Add(s.ReadTimeout))
	}
	v := s.State.View()
	if v.Text == nil {
		w.Header().Set("Retry-After", "1")
		// A request with an idempotency key may have run through another daemon.
		writeProblem(w, http.StatusServiceUnavailable, undispatchedOutcome(r), id, "no operators' text is in force yet")
		return nil
	}
	svc := v.Text.Service(c.Param("service"))
	if svc == nil {
		writeProblem(w, http.StatusNotFound, undispatchedOutcome(r), id, "no such service in the operators' text")
		return nil
	}
	j, err := s.job(r, id, svc, target(r, svc.Name), now)
	if err != nil {
		s.reject(w, r, id, err)
		return nil
	}
	// From here on, reading only detects that the caller has closed the
	// connection.
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	count := s.Totals.Of(totals.DayOf(now, v.Text.Clock), svc.Name)
	atomic.AddInt64(&count.Requests, 1)
	res := s.Dispatch.Do(r.Context(), j)
	s.respond(w, j, &res, count)
	return nil
}

// undispatchedOutcome returns the outcome of a request that is not dispatched.
// If it has an idempotency key, an earlier attempt may have run: the owner of
// the key was not queried.
func undispatchedOutcome(r *http.Request) backend.Outcome {
	if r.Header.Get(headerKey) != "" && !isIdempotent(r.Method) {
		return backend.Unknown
	}
	return backend.NotRun
}

// target returns the path and query below the service's prefix.
func target(r *http.Request, service string) string {
	t := strings.TrimPrefix(r.URL.EscapedPath(), "/"+service)
	if !strings.HasPrefix(t, "/") {
		t = "/" + t
	}
	if r.URL.RawQuery != "" {
		t += "?" + r.URL.RawQuery
	}
	return t
}

// reject writes the problem response for an invalid request. An earlier attempt
// with its key may have run, unless the error is in the key itself.
func (s *Server) reject(w http.ResponseWriter, r *http.Request, id string, err error) {
	status, outcome := http.StatusBadRequest, undispatchedOutcome(r)
	var bad *badInput
	if errors.As(err, &bad) {
		status = bad.status
		if status == http.StatusServiceUnavailable {
			w.Header().Set("Retry-After", "1")
		}
		if bad.neverRan {
			outcome = backend.NotRun
		}
	}
	writeProblem(w, status, outcome, id, err.Error())
}

// respond writes the result of a job, and counts it.
func (s *Server) respond(w http.ResponseWriter, j *dispatch.Job, res *dispatch.Result, count *totals.Count) {
	now := time.Now()
	s.count(j, res, count, now)
	if res.Outcome != backend.Answered {
		setRetryAfter(w.Header(), res.RetryAfter, now)
		writeProblem(w, problemStatus(res, now, j.Request.Deadline), res.Outcome, j.Request.ID, res.Reason)
		return
	}
	h := w.Header()
	for k, vs := range res.Response.Header {
		h[k] = vs
	}
	if h.Get(headerID) != j.Request.ID { // the stored response of an earlier attempt
		h.Set(headerID, j.Request.ID)
	}
	w.WriteHeader(res.Response.Status)
	_, _ = w.Write(res.Response.Body)
}

func (s *Server) count(j *dispatch.Job, res *dispatch.Result, count *totals.Count, now time.Time) {
	field := &count.Served
	switch {
	case res.Reason == backend.ReasonCancelled:
		field = &count.Cancelled
	case res.Outcome == backend.NotRun:
		field = &count.Refused
	case res.Reason == backend.ReasonDeadline, res.Outcome == backend.Answered && now.After(j.Request.Deadline):
		field = &count.Late
	case res.Outcome == backend.Unknown:
		field = &count.Unknown
	case res.Response.Status >= http.StatusInternalServerError:
		field = &count.Failed
	}
	atomic.AddInt64(field, 1)
	if res.Zone != "" && res.Zone != s.Zone {
		atomic.AddInt64(&count.Spilled, 1)
	}
	if res.Attempts > 1 {
		atomic.AddInt64(&count.Retried, int64(res.Attempts-1))
	}
}
