package backend

import (
	"net/http"
	"net/netip"
	"time"
)

// Runner is one runner of a pool as routing sees it.
type Runner struct {
	Host string
	Zone string
	Addr netip.AddrPort
	// Slots is how many requests the runner takes at once; none if zero.
	Slots int
}

// Outcome tells what is known of a request after one exchange.
type Outcome uint8

// Outcomes of an exchange.
const (
	// NotRun means that no byte reached the backend server, or that the
	// server itself said that it did not run the request.
	NotRun Outcome = iota
	// Answered means that the whole answer to this request is at hand.
	Answered
	// Unknown means that the request may have run.
	Unknown
)

// String returns the outcome as logs and problem answers print it.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not-run"
	case Answered:
		return "answered"
	default:
		return "unknown"
	}
}

// Reasons of a Result.
const (
	// ReasonOK is the reason of a whole answer.
	ReasonOK = "ok"
	// ReasonInvalid means that the request cannot be sent as it is.
	ReasonInvalid = "invalid"
	// ReasonClosed means that the Client is closed.
	ReasonClosed = "closed"
	// ReasonConnections means that the runner has its most connections.
	ReasonConnections = "connections"
	// ReasonRefused means that no connection could be made.
	ReasonRefused = "refused"
	// ReasonBusy means that the server had no free slot.
	ReasonBusy = "busy"
	// ReasonLeaving means that the server is shutting down.
	ReasonLeaving = "leaving"
	// ReasonConnectionLost means that the connection failed.
	ReasonConnectionLost = "cut"
	// ReasonDeadline means that the deadline passed.
	ReasonDeadline = "late"
	// ReasonCancelled means that the caller gave up.
	ReasonCancelled = "cancelled"
	// ReasonIDMismatch means that the answer has another request's id, or none.
	ReasonIDMismatch = "crossed"
	// ReasonTruncated means that the answer ended early or has no framing.
	ReasonTruncated = "truncated"
	// ReasonMalformed means that the answer is not HTTP/1.
	ReasonMalformed = "malformed"
	// ReasonTooLarge means that the answer exceeds the bound.
	ReasonTooLarge = "large"
)

// Request is one request to a backend server, with its body read whole.
type Request struct {
	ID     string
	Method string
	// Target is the path and query below the service's prefix.
	Target string
	Header http.Header
	Body   []byte
	// Deadline is when the caller stops waiting; never zero.
	Deadline time.Time
}

// Response is a whole answer of a backend server.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Result is what one exchange gave.
type Result struct {
	Outcome Outcome
	// Reason is one of the Reason constants, for logs and problem answers.
	Reason string
	// Leaving is set when the server said that it is shutting down.
	Leaving bool
	// Response is set when Outcome is Answered.
	Response *Response
}
