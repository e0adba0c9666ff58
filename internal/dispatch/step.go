package dispatch

import (
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/backend"
)

// Action is what follows an exchange.
type Action uint8

// Steps after an exchange.
const (
	// Return returns the exchange's outcome to the caller.
	Return Action = iota
	// Retry sends the request to another runner.
	Retry
	// another sends a request that a busy runner refused to another runner in the
	// same turn of its queue.
	another
	// requeue puts such a request back to its queue.
	requeue
)

// exchanged is what next decides on.
type exchanged struct {
	// attempts counts the exchanges made, this one included, without those
	// that a busy runner refused.
	attempts   int
	idempotent bool
	outcome    backend.Outcome
	reason     string
	now        time.Time
	deadline   time.Time
}

// next decides on a request after an exchange. The request is sent again only
// if that cannot make it run twice: it did not run, or it is idempotent. Time
// must remain, and budget reports whether the retry budget allows one more.
func next(x *exchanged, budget func() bool) Action {
	switch {
	case x.outcome == backend.Answered, x.attempts >= maxAttempts:
		return Return
	case x.outcome == backend.Unknown && !x.idempotent:
		return Return
	case x.reason == backend.ReasonInvalid, x.reason == backend.ReasonCancelled, x.reason == backend.ReasonTooLarge:
		// Another runner would give the same.
		return Return
	case !x.now.Before(x.deadline):
		return Return
	case x.reason == backend.ReasonLeaving:
		// A planned stop of a runner costs the caller nothing. Each runner
		// gives this refusal once, so it cannot multiply a surge.
		return Retry
	case !budget():
		return Return
	}
	return Retry
}

// combined is the outcome of a request after all its exchanges: once one of
// them may have run it, a later refusal does not make it not run.
func combined(earlier, last backend.Outcome) backend.Outcome {
	if earlier == backend.Unknown && last == backend.NotRun {
		return backend.Unknown
	}
	return last
}
