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
	// ShortDeadline is set when the caller's deadline is much shorter than the service
	// needs at most. Such a request that ends late says nothing about the
	// health of its runner.
	ShortDeadline bool
	Request       *backend.Request

	n uint64 // numbers the job in the trace
}

// Result is how a Job ended.
type Result struct {
	Outcome backend.Outcome
	// Reason is a short constant for the log and the problem response.
	Reason string
	// Response is set when Outcome is Answered.
	Response *backend.Response
	// RetryAfter is when a refused request has a chance; zero means unknown.
	RetryAfter time.Time
	// Replayed is set when Response was stored by an earlier attempt.
	Replayed bool
	// Conflict is set when the key's home refuses the key: another attempt
	// runs, its answer is no longer stored, or the key's age is not accepted.
	Conflict bool
	// Undecided is set when the key's home did not decide.
	Undecided bool
	// Attempts is the number of exchanges made.
	Attempts int
	// Host and Zone tell where the last exchange went.
	Host, Zone string
}
