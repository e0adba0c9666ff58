package relay

import (
	"context"
	"net/netip"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// Path is the URL path at which the leader accepts connections of relays. It
// contains the version of the messages: a daemon of another version gets no
// connection and is not used as a relay.
const Path = "/relay/3"

const (
	// maxMessage bounds a message in bytes. A message may contain maxBatch calls
	// of 16 starts with the longest specs that callers may send, which are 8 MB.
	maxMessage = 16 << 20
	// maxBatch bounds the calls or results of one message.
	maxBatch = 128
	// callDelay is how long the first call of a message waits for others. One
	// planning pass starts several tasks through the same relay.
	callDelay = 4 * time.Millisecond
	// resultDelay is the same for results. Each message costs the leader several
	// system calls, and the objectives of jobs leave about a second.
	resultDelay = 15 * time.Millisecond
	// writeTimeout ends a write to a peer that does not read.
	writeTimeout = 500 * time.Millisecond
)

// kind is the kind of a call.
type kind int

const (
	startRun kind = iota + 1
	stopRun
	throttleRun
	pollRunner
	startRuns
)

// hello is the first message of a relay. The leader replies with a callBatch
// without calls.
type hello struct {
	Name             string    `cbor:"1,keyasint"`
	Zone             string    `cbor:"2,keyasint"`
	RelativeCapacity float64   `cbor:"3,keyasint"` // in (0, 1]; 1 is a reference host
	SentAt           relayTime `cbor:"4,keyasint"`
	// Incarnation identifies the process. Earlier versions do not send it.
	Incarnation string `cbor:"5,keyasint,omitempty"`
}

// callBatch is a message of the leader.
type callBatch struct {
	_       struct{} `cbor:",toarray"`
	Reading reading
	Calls   []call
}

// resultBatch is a message of a relay. It has no results if it only renews the
// leader's reading.
type resultBatch struct {
	_       struct{} `cbor:",toarray"`
	SentAt  relayTime
	Results []result
}

// call is one call to a runner.
type call struct {
	Seq        uint64           `cbor:"1,keyasint"`
	Kind       kind             `cbor:"2,keyasint"`
	Runner     runner.ID        `cbor:"3,keyasint"`
	Addr       netip.AddrPort   `cbor:"4,keyasint"`
	Term       runner.Term      `cbor:"5,keyasint"`
	Task       job.Task         `cbor:"6,keyasint,omitempty"`
	Attempt    int              `cbor:"7,keyasint,omitempty"`
	Spec       string           `cbor:"8,keyasint,omitempty"`
	LeaseUntil clock.RunnerTime `cbor:"9,keyasint,omitempty"`
	Checkpoint string           `cbor:"10,keyasint,omitempty"`
	Permit     string           `cbor:"11,keyasint,omitempty"`
	Acked      int              `cbor:"12,keyasint,omitempty"`
	Wait       time.Duration    `cbor:"13,keyasint,omitempty"`
	Percent    int              `cbor:"14,keyasint,omitempty"`
	Starts     []start          `cbor:"15,keyasint,omitempty"` // of startRuns
	Specs      []string         `cbor:"16,keyasint,omitempty"` // of startRuns
	Expiry     leaderTime       `cbor:"17,keyasint"`           // the call is not executed at or after it
}

// start is one of several starts on a runner.
type start struct {
	_          struct{} `cbor:",toarray"`
	Task       job.Task
	Attempt    int
	Spec       int // index in Specs, since several tasks of a job have the same
	Checkpoint string
	Permit     string
}

// outcome is the outcome of a call at the relay.
type outcome int

const (
	replied outcome = iota
	noReply         // the runner may have received the call
	notSent         // the runner has not received the call
)

// result is the result of a call.
type result struct {
	Seq     uint64           `cbor:"1,keyasint"`
	Outcome outcome          `cbor:"2,keyasint,omitempty"`
	Err     string           `cbor:"3,keyasint,omitempty"`
	Verdict runner.Verdict   `cbor:"4,keyasint,omitempty"`
	Clock   clock.RunnerTime `cbor:"5,keyasint,omitempty"`
	Report  *runner.Report   `cbor:"6,keyasint,omitempty"`
	Starts  []startOutcome   `cbor:"7,keyasint,omitempty"` // of startRuns
}

// startOutcome is the outcome of one of several starts.
type startOutcome struct {
	_       struct{} `cbor:",toarray"`
	Outcome outcome
	Err     string
	Verdict runner.Verdict
	Clock   clock.RunnerTime
}

// check returns an error if a value is out of range.
func (r *result) check() error {
	if r.Outcome < replied || r.Outcome > notSent || !r.Verdict.Valid() {
		return errors.Errorf("outcome %d or verdict %d out of range", r.Outcome, int(r.Verdict))
	}
	for i := range r.Starts {
		if x := &r.Starts[i]; x.Outcome < replied || x.Outcome > notSent || !x.Verdict.Valid() {
			return errors.Errorf("outcome %d or verdict %d of a start out of range", x.Outcome, int(x.Verdict))
		}
	}
	if r.Report == nil {
		return nil
	}
	for i := range r.Report.Results {
		if x := &r.Report.Results[i]; !x.Cause.Valid() || x.Seq <= 0 {
			return errors.Errorf("result %d with cause %d out of range", x.Seq, int(x.Cause))
		}
	}
	return nil
}

// err returns the error that the call would have returned without a relay.
func (r *result) err() error { return r.Outcome.error(r.Err) }

func (o outcome) error(text string) error {
	switch o {
	case noReply:
		return errors.Wrap(runner.ErrNoResponse, text)
	case notSent:
		return errors.Wrap(runner.ErrUnreachable, text)
	case replied:
	}
	return nil
}

// outcomeOf returns the outcome of a call to a runner and the text of its error.
func outcomeOf(err error) (outcome, string) {
	switch {
	case err == nil:
		return replied, ""
	case errors.Is(err, runner.ErrUnreachable):
		return notSent, err.Error()
	}
	return noReply, err.Error()
}

// writeBatches sends the values of the channel until the context ends or a write
// fails. The first value of a message waits for others until delay has passed.
// At each tick it sends a message without values. The function message returns
// the message with the values; it is called immediately before the message is
// sent.
func writeBatches[T any](ctx context.Context, c *websocket.Conn, values <-chan T, delay time.Duration, tick <-chan time.Time, message func([]T) any) error {
	t := time.NewTimer(delay)
	defer t.Stop()
	for {
		var batch []T
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick:
			if err := write(ctx, c, message(nil)); err != nil {
				return err
			}
			continue
		case v := <-values:
			batch = append(batch, v)
		}
		t.Reset(delay)
	collect:
		for len(batch) < maxBatch {
			select {
			case v := <-values:
				batch = append(batch, v)
			case <-t.C:
				break collect
			}
		}
		if err := write(ctx, c, message(batch)); err != nil {
			return err
		}
	}
}

// write sends one message.
func write(ctx context.Context, c *websocket.Conn, v any) error {
	b, err := cbor.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return errors.Wrap(c.Write(ctx, websocket.MessageBinary, b), "write message")
}

// read receives one message.
func read(ctx context.Context, c *websocket.Conn, v any) error {
	_, b, err := c.Read(ctx)
	if err != nil {
		return errors.Wrap(err, "read message")
	}
	return errors.Wrap(cbor.Unmarshal(b, v), "decode message")
}
