package dispatch

import (
	"fmt"

	"gypsumtrestle.example/gypsumtrestle/internal/backend"
	"gypsumtrestle.example/gypsumtrestle/internal/trace"
)

// replayed is the state of one request while a trace is replayed.
type replayed struct {
	arrive  trace.Event
	sends   int
	outcome backend.Outcome
}

// Replay checks a recorded trace with trace.Check, repeats the decision after
// each exchange from the recorded event, and reports differences. It also
// reports requests whose outcome does not follow from their exchanges.
func Replay(events []trace.Event) []trace.Violation {
	out := trace.Check(events)
	type id struct {
		daemon string
		n      uint64
	}
	jobs := make(map[id]*replayed)
	for _, e := range events {
		k := id{e.Daemon, e.Job}
		if e.Kind == trace.Arrive {
			jobs[k] = &replayed{arrive: e}
		}
		r := jobs[k]
		if r == nil {
			continue
		}
		if msg := r.replay(e); msg != "" {
			out = append(out, trace.Violation{Event: e, Message: msg})
		}
	}
	return out
}

// replay processes the next event of a request. It returns how the event differs
// from the decision of this version, or an empty string.
func (r *replayed) replay(e trace.Event) string {
	switch e.Kind {
	case trace.Send:
		return r.send(e)
	case trace.End:
		if r.sends > 0 && e.Outcome != r.outcome.String() {
			return fmt.Sprintf("told %s, the exchanges give %s", e.Outcome, r.outcome)
		}
		if r.sends == 0 && e.Outcome == backend.Answered.String() && !e.Replayed {
			return "answered without an exchange"
		}
	case trace.Arrive, trace.Claim, trace.Admit, trace.Leave, trace.Serve:
	}
	return ""
}

func (r *replayed) send(e trace.Event) string {
	got, ok := parseOutcome(e.Outcome)
	if !ok || r.arrive.Deadline == nil {
		return fmt.Sprintf("outcome %q or a missing deadline cannot be replayed", e.Outcome)
	}
	r.outcome = combinedOutcome(r.outcome, got)
	if e.Reason == backend.ReasonBusy {
		return "" // what follows depends on the state of the queue
	}
	r.sends++
	x := exchanged{r.sends, r.arrive.Idempotent, got, e.Reason, e.At, *r.arrive.Deadline}
	if again := next(&x, func() bool { return e.Budget }) == Retry; again != e.Again {
		return fmt.Sprintf("decided again=%t, this version decides %t", e.Again, again)
	}
	return ""
}

// parseOutcome parses the result of Outcome.String.
func parseOutcome(s string) (backend.Outcome, bool) {
	for o := backend.NotRun; o <= backend.Unknown; o++ {
		if o.String() == s {
			return o, true
		}
	}
	return backend.NotRun, false
}
