package dispatch

import (
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/backend"
	"gypsumtrestle.example/gypsumtrestle/pkg/text"
)

// Job is one request of a caller.
type Job struct {
	Service string
	Class   text.Class
	// Key is the idempotency key; empty means none.
	Key string
	// Idempotent requests may be sent again after an unknown outcome.
	Idempotent bool
	// ShortDeadline is set if the caller's deadline is much shorter than the
	// service's time limit. If such a request exceeds its deadline, that is not
	// evidence against the health of the runner.
	ShortDeadline bool
	Request       *backend.Request

	n uint64 // numbers the job in the trace
}

// Result is the result of a Job.
type Result struct {
	Outcome backend.Outcome
	// Reason is a short constant for the log and the problem response.
	Reason string
	// Response is set if Outcome is Answered.
	Response *backend.Response
	// RetryAfter is the earliest time at which a rejected request may succeed;
	// zero means unknown.
	RetryAfter time.Time
	// Replayed is set if Response was stored by an earlier attempt.
	Replayed bool
	// Conflict is set if the key's owner rejects the key: another attempt is
	// running, its response is no longer stored, the key belongs to a different
	// request, or its age is not accepted.
	Conflict bool
	// Undecided is set if the key's owner did not decide.
	Undecided bool
	// Attempts is the number of exchanges made.
	Attempts int
	// Host and Zone are those of the runner of the last exchange.
	Host, Zone string
}
