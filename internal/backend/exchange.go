package backend

import (
	"net/http"
	"net/netip"
	"time"
)

// Runner is one runner of a pool, as routing uses it.
type Runner struct {
	Host string
	Zone string
	Addr netip.AddrPort
	// Slots is how many requests the runner accepts at once; none if zero.
	Slots int
}

// Outcome is what is known about a request after one exchange.
type Outcome uint8

// Outcomes of an exchange.
const (
	// NotRun means that no byte reached the backend server, or that the server
	// itself reported that it did not run the request.
	NotRun Outcome = iota
	// Answered means that the complete response to this request was received.
	Answered
	// Unknown means that the request may have run.
	Unknown
)

// String returns the outcome as logs and problem responses print it.
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
	// ReasonOK is the reason of a complete response.
	ReasonOK = "ok"
	// ReasonInvalid means that the request is invalid and cannot be sent.
	ReasonInvalid = "invalid"
	// ReasonClosed means that the Client is closed.
	ReasonClosed = "closed"
	// ReasonConnections means that the connection limit of the runner is reached.
	ReasonConnections = "connections"
	// ReasonRefused means that no connection could be opened.
	ReasonRefused = "refused"
	// ReasonBusy means that the server had no free slot.
	ReasonBusy = "busy"
	// ReasonLeaving means that the server is shutting down.
	ReasonLeaving = "leaving"
	// ReasonConnectionLost means that the connection failed during the exchange.
	ReasonConnectionLost = "cut"
	// ReasonDeadline means that the deadline was exceeded.
	ReasonDeadline = "late"
	// ReasonCancelled means that the caller cancelled the request.
	ReasonCancelled = "cancelled"
	// ReasonIDMismatch means that the response has the ID of another request, or
	// none.
	ReasonIDMismatch = "crossed"
	// ReasonTruncated means that the response ended early, or has neither a
	// length nor chunked encoding.
	ReasonTruncated = "truncated"
	// ReasonMalformed means that the response is not valid HTTP/1.
	ReasonMalformed = "malformed"
	// ReasonTooLarge means that the response exceeds a size limit of the Client.
	ReasonTooLarge = "large"
)

// Request is one request to a backend server, with its entire body.
type Request struct {
	ID     string
	Method string
	// Target is the path and query below the service's prefix.
	Target string
	Header http.Header
	Body   []byte
	// Deadline is when the caller stops waiting; it is never zero.
	Deadline time.Time
}

// Response is a complete response of a backend server.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Result is the result of one exchange.
type Result struct {
	Outcome Outcome
	// Reason is one of the Reason constants, for logs and problem responses.
	Reason string
	// Leaving is set if the server reported that it is shutting down.
	Leaving bool
	// Response is set if Outcome is Answered.
	Response *Response
}
