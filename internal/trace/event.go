package trace

import (
	"bufio"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Kind is the type of an Event.
type Kind string

// Values of Kind.
const (
	// Arrive is a request accepted from a caller.
	Arrive Kind = "arrive"
	// Claim is the verdict of the owner of a key.
	Claim Kind = "claim"
	// Admit is the decision of the admission gate.
	Admit Kind = "admit"
	// Send is one exchange with a runner, recorded at its end.
	Send Kind = "send"
	// End is the response to the caller.
	End Kind = "end"
	// Leave is a host that accepts no new requests from now on.
	Leave Kind = "leave"
	// Serve is a host that was leaving and accepts requests again.
	Serve Kind = "serve"
)

// Event is one line of a trace. Fields that a kind does not use are empty.
type Event struct {
	At     time.Time `json:"at"`
	Daemon string    `json:"daemon"`
	Kind   Kind      `json:"kind"`
	// Job is the number of the request at this daemon. Request is not unique,
	// since a caller may repeat a request ID.
	Job     uint64 `json:"job,omitempty"`
	Request string `json:"request,omitempty"`
	Service string `json:"service,omitempty"`
	Class   string `json:"class,omitempty"`
	Key     string `json:"key,omitempty"`
	// Idempotent is set at Arrive.
	Idempotent bool       `json:"idempotent,omitempty"`
	Deadline   *time.Time `json:"deadline,omitempty"`
	// Start is when a Send started.
	Start *time.Time `json:"start,omitempty"`
	Host  string     `json:"host,omitempty"`
	Zone  string     `json:"zone,omitempty"`
	// Outcome is not-run, answered or unknown. For a Claim it is the verdict.
	Outcome string `json:"outcome,omitempty"`
	Reason  string `json:"reason,omitempty"`
	// Replayed is set at an End whose response was stored by an earlier attempt.
	Replayed bool `json:"replayed,omitempty"`
	// Budget is set at a Send after which the retry budget allowed another one.
	Budget bool `json:"budget,omitempty"`
	// Again is set at a Send after which the daemon decided to retry.
	Again bool `json:"again,omitempty"`
}

// started returns when a Send started.
func (e *Event) started() time.Time {
	if e.Start != nil {
		return *e.Start
	}
	return e.At
}

// maxLine is the maximum length of a line of a trace in bytes.
const maxLine = 64 << 10

// Read reads the traces of one or several daemons and merges them by time.
func Read(rs ...io.Reader) ([]Event, error) {
	var out []Event
	for _, r := range rs {
		s := bufio.NewScanner(r)
		s.Buffer(nil, maxLine)
		for n := 1; s.Scan(); n++ {
			var e Event
			if err := json.Unmarshal(s.Bytes(), &e); err != nil {
				return nil, errors.Wrapf(err, "read trace, line %d", n)
			}
			out = append(out, e)
		}
		if err := s.Err(); err != nil {
			return nil, errors.Wrap(err, "read trace")
		}
	}
	slices.SortStableFunc(out, func(a, b Event) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	return out, nil
}
