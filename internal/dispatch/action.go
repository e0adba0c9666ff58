package dispatch

import (
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/backend"
)

// Action is the next step of a request after an exchange.
type Action uint8

// Actions after an exchange.
const (
	// Return returns the exchange's outcome to the caller.
	Return Action = iota
	// Retry sends the request to another runner.
	Retry
	// tryAnother sends a request that a runner rejected as busy to another
	// runner without requeueing it.
	tryAnother
	// requeue returns a request that was rejected as busy to its queue.
	requeue
)

// exchanged is the input of next.
type exchanged struct {
	// attempts counts the exchanges made, including this one, except those
	// that a runner rejected as busy.
	attempts   int
	idempotent bool
	outcome    backend.Outcome
	reason     string
	now        time.Time
	deadline   time.Time
}

// next decides what follows an exchange. A request is retried only if it did not
// run or is idempotent, since any other one might run twice, and only before its
// deadline. budget charges the retry budget and reports whether it allows another
// retry.
func next(x *exchanged, budget func() bool) Action {
	switch {
	case x.outcome == backend.Answered, x.attempts >= maxAttempts:
		return Return
	case x.outcome == backend.Unknown && !x.idempotent:
		return Return
	case x.reason == backend.ReasonInvalid, x.reason == backend.ReasonCancelled, x.reason == backend.ReasonTooLarge:
		// Another runner would give the same result.
		return Return
	case !x.now.Before(x.deadline):
		return Return
	case x.reason == backend.ReasonLeaving:
		// A planned stop of a runner does not use up the retry budget. Each
		// runner sends this rejection only once, so it cannot amplify a surge.
		return Retry
	case !budget():
		return Return
	}
	return Retry
}

// combinedOutcome returns the outcome of a request after all its exchanges. Once
// an exchange has an unknown outcome, a later one that did not run the request
// does not change it to not run.
func combinedOutcome(earlier, last backend.Outcome) backend.Outcome {
	if earlier == backend.Unknown && last == backend.NotRun {
		return backend.Unknown
	}
	return last
}
