package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/backend"
	"gypsumtrestle.example/gypsumtrestle/internal/claim"
	"gypsumtrestle.example/gypsumtrestle/internal/dispatch"
	"gypsumtrestle.example/gypsumtrestle/internal/state"
	"gypsumtrestle.example/gypsumtrestle/internal/totals"
)

const (
	readLimit = time.Second
	bodyLimit = 64
	plan      = "zones = [\"a\"]\nweigh = \"rollout\"\n[[service]]\nname = \"ascent\"\nrunners = 1\nspare = true\n"
)

// fakeDispatcher implements dispatcher and records the jobs that it receives.
type fakeDispatcher struct {
	jobs []*dispatch.Job
	do   func(ctx context.Context, j *dispatch.Job) dispatch.Result
}

func (d *fakeDispatcher) Do(ctx context.Context, j *dispatch.Job) dispatch.Result {
	d.jobs = append(d.jobs, j)
	if d.do == nil {
		return dispatch.Result{Outcome: backend.Answered, Response: &backend.Response{Status: http.StatusOK, Body: []byte(j.Request.ID)}}
	}
	return d.do(ctx, j)
}

// pipeListener is a listener for in-memory connections.
type pipeListener chan net.Conn

func (p pipeListener) Accept() (net.Conn, error) {
	c, ok := <-p
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (p pipeListener) Close() error   { close(p); return nil }
func (p pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// exchange sends the bytes of a request to a server with an active
// configuration text. It returns nil if the server closes the connection
// without a response.
func exchange(t *testing.T, s *Server, raw string) *backend.Response {
	t.Helper()
	s.State, s.Totals = new(state.Tracker), new(totals.Counter)
	s.MaxBody, s.MaxHeader, s.ReadTimeout = bodyLimit, 1<<10, readLimit
	if _, err := s.State.UpdatePlan(1, []byte(plan)); err != nil {
		t.Fatal(err)
	}
	l, srv := make(pipeListener, 1), s.HTTP()
	go func() { _ = srv.Serve(l) }()
	defer func() { _ = srv.Close() }()
	c, server := net.Pipe()
	defer func() { _ = c.Close() }()
	l <- server
	go func() { _, _ = io.WriteString(c, raw) }()
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return &backend.Response{Status: res.StatusCode, Header: res.Header, Body: b}
}

func post(path string, headers ...string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: x\r\n" + strings.Join(headers, "\r\n") + "\r\n\r\n"
}

// TestFaultyRequests guards against invalid requests that occupy a slot or get
// a misleading response. Each must get a 4xx status in a problem response with
// its ID, and the outcome not-run only if no daemon can have run its key.
func TestFaultyRequests(t *testing.T) {
	key := "Idempotency-Key: " + claim.Mint(time.Now(), "d.1").String()
	const id, withBody, noBody = "Request-Id: r1", "Content-Length: 9", "Content-Length: 0"
	for _, tc := range []struct {
		name, raw string
		status    int
		outcome   string // empty if net/http itself responds
	}{
		{"long header", post("/ascent/x", "X: "+strings.Repeat("x", 8<<10)), 431, ""},
		{"slow header", "POST /ascent/x HTTP/1.1\r\nHost", 400, ""},
		{"long body", post("/ascent/x", id, "Content-Length: 65"), 413, "not-run"},
		{"long body, keyed", post("/ascent/x", id, key, "Content-Length: 65"), 413, "unknown"},
		{"long chunked body", post("/ascent/x", id, "Transfer-Encoding: chunked") + "41\r\n" + strings.Repeat("x", 65) + "\r\n0\r\n\r\n", 413, "not-run"},
		{"slow body", post("/ascent/x", id, withBody) + "part", 408, "not-run"},
		{"slow body, keyed", post("/ascent/x", id, key, withBody) + "part", 408, "unknown"},
		{"deadline", post("/ascent/x", id, "Deadline: soon", noBody), 400, "not-run"},
		{"deadline, keyed", post("/ascent/x", id, key, "Deadline: soon", noBody), 400, "unknown"},
		{"priority", post("/ascent/x", id, "Priority: u=9", noBody), 400, "not-run"},
		{"priority, keyed", post("/ascent/x", id, key, "Priority: u=9", noBody), 400, "unknown"},
		{"request id, keyed", post("/ascent/x", "Request-Id: a b", key, noBody), 400, "unknown"},
		{"key", post("/ascent/x", id, "Idempotency-Key: k", noBody), 400, "not-run"},
		{"key and deadline", post("/ascent/x", id, "Idempotency-Key: k", "Deadline: soon", noBody), 400, "not-run"},
		{"two keys", post("/ascent/x", id, key, key, noBody), 400, "not-run"},
		{"no service", post("/", noBody), 404, "not-run"},
		{"unknown service", post("/other/x", id, noBody), 404, "not-run"},
		{"unknown service, keyed", post("/other/x", id, key, noBody), 404, "unknown"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := new(fakeDispatcher)
				res := exchange(t, &Server{Dispatch: d}, tc.raw)
				if len(d.jobs) > 0 {
					t.Error("invalid request was dispatched")
				}
				if res == nil || res.Status != tc.status {
					t.Fatalf("got response %v, want status %d", res, tc.status)
				}
				if tc.outcome != "" {
					wantProblem(t, res, tc.outcome)
				}
			})
		})
	}
}

// wantProblem checks that a response is a problem response of RFC 9457 and that
// its members agree with the headers.
func wantProblem(t *testing.T, res *backend.Response, outcome string) {
	t.Helper()
	var p problem
	if err := json.Unmarshal(res.Body, &p); err != nil {
		t.Fatalf("decode problem: %v in %q", err, res.Body)
	}
	if p.Outcome != outcome || res.Header.Get("Outcome") != outcome {
		t.Errorf("outcome %q, header %q, want %q", p.Outcome, res.Header.Get("Outcome"), outcome)
	}
	if p.Request == "" || p.Request != res.Header.Get(headerID) {
		t.Errorf("request %q, header %q, want the same ID", p.Request, res.Header.Get(headerID))
	}
	if p.Type != "about:blank" || p.Status != res.Status || p.Title == "" || res.Header.Get("Content-Type") != "application/problem+json" {
		t.Errorf("not a problem response of RFC 9457: %s", res.Body)
	}
}

// TestResults guards against a response that does not match the result of its
// job, and against a wrong time to retry.
func TestResults(t *testing.T) {
	const unknown, notRun = backend.Unknown, backend.NotRun
	for _, tc := range []struct {
		name   string
		res    dispatch.Result
		after  time.Duration // of the RetryAfter
		late   bool
		status int
		retry  string
	}{
		{"refused", dispatch.Result{Outcome: notRun}, 0, false, 503, ""},
		{"refused for load", dispatch.Result{Outcome: notRun}, 1200 * time.Millisecond, false, 503, "2"},
		{"refused, free by now", dispatch.Result{Outcome: notRun}, -time.Second, false, 503, "1"},
		{"late before it ran", dispatch.Result{Outcome: notRun}, 0, true, 504, ""},
		{"late", dispatch.Result{Outcome: unknown}, 0, true, 504, ""},
		{"cut", dispatch.Result{Outcome: unknown}, 0, false, 502, ""},
		{"key in use", dispatch.Result{Outcome: unknown, Conflict: true}, 0, false, 409, ""},
		{"key undecided", dispatch.Result{Outcome: unknown, Undecided: true}, 0, false, 503, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := &fakeDispatcher{do: func(_ context.Context, j *dispatch.Job) dispatch.Result {
					if tc.late {
						time.Sleep(time.Until(j.Request.Deadline))
					}
					if tc.after != 0 {
						tc.res.RetryAfter = time.Now().Add(tc.after)
					}
					return tc.res
				}}
				res := exchange(t, &Server{Dispatch: d}, post("/ascent/x", "Request-Id: r1", "Content-Length: 0"))
				if res == nil || res.Status != tc.status || res.Header.Get("Retry-After") != tc.retry {
					t.Fatalf("got response %v, want status %d, Retry-After %q", res, tc.status, tc.retry)
				}
				wantProblem(t, res, tc.res.Outcome.String())
			})
		})
	}
}

// TestReadLimitEndsWithBody guards against requests that are cancelled because
// they run longer than a caller may take to send them. With ReadTimeout of
// net/http every request was cancelled after 10 s.
func TestReadLimitEndsWithBody(t *testing.T) {
	for _, raw := range []string{post("/ascent/x", "Request-Id: r1", "Content-Length: 4") + "body", "GET /ascent/x HTTP/1.1\r\nHost: x\r\nRequest-Id: r1\r\n\r\n"} {
		synctest.Test(t, func(t *testing.T) {
			d := &fakeDispatcher{do: func(ctx context.Context, j *dispatch.Job) dispatch.Result {
				select {
				case <-time.After(3 * readLimit):
				case <-ctx.Done():
					return dispatch.Result{Outcome: backend.Unknown, Reason: backend.ReasonCancelled}
				}
				return dispatch.Result{Outcome: backend.Answered, Response: &backend.Response{Status: http.StatusOK, Body: []byte(j.Request.ID)}}
			}}
			if res := exchange(t, &Server{Dispatch: d}, raw); res == nil || res.Status != http.StatusOK || string(res.Body) != "r1" {
				t.Errorf("request that runs longer than the read timeout: got response %v", res)
			}
		})
	}
}

// TestStopBoundsDeadlines guards against requests that a planned stop
// interrupts: a request that arrives during the stop must get a deadline before
// its end.
func TestStopBoundsDeadlines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := new(fakeDispatcher)
		s := &Server{Dispatch: d}
		s.SetReady(true)
		last := time.Now().Add(time.Second)
		s.Stop(last)
		exchange(t, s, post("/ascent/x", "Content-Length: 0"))
		if len(d.jobs) != 1 || d.jobs[0].Request.Deadline.After(last) {
			t.Errorf("got %d jobs, want 1 with a deadline of %v or earlier", len(d.jobs), last)
		}
		if res := exchange(t, s, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"); res == nil || res.Status != http.StatusServiceUnavailable {
			t.Errorf("/ready during a stop: got response %v, want status 503", res)
		}
	})
}
