package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/backend"
	"gypsumtrestle.example/gypsumtrestle/internal/dispatch"
)

// problem is a problem response of RFC 9457 with two members of this project,
// outcome and request.
type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Outcome is not-run or unknown.
	Outcome string `json:"outcome"`
	// Request is the request's ID.
	Request string `json:"request"`
}

// badInput is an error in the request itself.
type badInput struct {
	status int
	detail string
	// neverRan is set if no daemon can have run a request with this error.
	neverRan bool
}

func (e *badInput) Error() string { return e.detail }

// writeProblem sends a problem response. The type is about:blank, so the title
// is the status text, as RFC 9457 requires.
func writeProblem(w http.ResponseWriter, status int, outcome backend.Outcome, id, detail string) {
	p := problem{
		Type: "about:blank", Title: http.StatusText(status), Status: status,
		Detail: detail, Outcome: outcome.String(), Request: id,
	}
	body, err := json.Marshal(p)
	if err != nil {
		panic(err) // a struct of strings and an int can always be encoded
	}
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set("Outcome", p.Outcome)
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// problemStatus returns the HTTP status for a job without response.
func problemStatus(r *dispatch.Result, now, deadline time.Time) int {
	switch {
	case r.Conflict:
		return http.StatusConflict
	case r.Undecided:
		return http.StatusServiceUnavailable
	case !now.Before(deadline):
		return http.StatusGatewayTimeout
	case r.Outcome == backend.NotRun:
		return http.StatusServiceUnavailable
	default:
		return http.StatusBadGateway
	}
}

// setRetryAfter sets the Retry-After header to whole seconds, rounded up, as
// RFC 9110 defines it.
func setRetryAfter(h http.Header, at, now time.Time) {
	if at.IsZero() {
		return
	}
	s := math.Ceil(at.Sub(now).Seconds())
	h.Set("Retry-After", strconv.Itoa(max(int(s), 1)))
}
