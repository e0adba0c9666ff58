package relay

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// leaderTime is a time of the boot clock of the leader's host in nanoseconds.
type leaderTime int64

// relayTime is a time of the boot clock of the relay's host in nanoseconds.
type relayTime int64

const (
	// maxSlew is the part by which the kernel may speed up or slow down the boot
	// clock while it corrects the host's time.
	maxSlew = 500e-6
	// maxClockRate is the maximum rate of the leader's clock by the relay's.
	maxClockRate = (1 + maxSlew) / (1 - maxSlew)
	// maxExchange bounds the exchange that relates the clocks at the start of a
	// connection. After a longer one, a command would expire before it arrives.
	maxExchange = CommandTimeout
	// readingPeriod is the pause between two messages of a relay without results.
	// They keep the reading of a relay without calls recent, so that its first
	// call does not expire by the allowance for the rates of the clocks.
	readingPeriod = 30 * time.Second
)

// reading relates the clocks of a relay and its leader: when the relay's clock
// was at SentAt, the leader's was at ReceivedAt or earlier. The leader takes it
// with each message of the relay and returns the newest with its calls.
type reading struct {
	_          struct{} `cbor:",toarray"`
	SentAt     relayTime
	ReceivedAt leaderTime
}

// upperBound returns the latest time that the leader's clock can have at now.
func (r reading) upperBound(now relayTime) leaderTime {
	return r.ReceivedAt + leaderTime(float64(now-r.SentAt)*maxClockRate)
}

// check returns an error if the relay sent no message at the reading's time on a
// connection that it opened at openedAt.
func (r reading) check(openedAt, now relayTime) error {
	if r.SentAt < openedAt || r.SentAt > now {
		return errors.Errorf("decode reading: time of sending %d out of range %d to %d", r.SentAt, openedAt, now)
	}
	return nil
}

// errExpired means that a call was not sent to the runner because it had expired.
var errExpired = errors.Wrap(runner.ErrUnreachable, "call expired at the relay")

// expiry is the expiry of a call. The leader's clock is never later than the
// reading says, so that the call expires rather too early than too late.
type expiry struct {
	at      leaderTime
	reading reading
	batch   *batch
}

func (e *expiry) remaining() time.Duration {
	return time.Duration(e.at - e.reading.upperBound(relayTime(clock.Now())))
}

// check returns an error if the call has expired. It is called immediately before
// each command to a runner, since the process may have been paused after any
// earlier check.
func (e *expiry) check() error {
	d := e.remaining()
	if d > 0 {
		return nil
	}
	e.batch.expired.Add(1)
	e.batch.late.Store(int64(-d))
	return errExpired
}

// context returns a context that ends at the expiry, and with which nothing is sent
// to a runner after it.
func (e *expiry) context(ctx context.Context) (context.Context, context.CancelFunc) {
	d := e.remaining()
	return context.WithTimeout(runner.WithSendDeadline(ctx, clock.Now().Add(d)), d)
}

// batch counts the commands of one message that expired, for one log line.
type batch struct {
	calls   int
	open    atomic.Int64 // calls that have not ended
	expired atomic.Int64 // several starts of a call count each
	late    atomic.Int64 // nanoseconds from the expiry to the check, of the last one
}

func newBatch(calls int) *batch {
	b := &batch{calls: calls}
	b.open.Store(int64(calls))
	return b
}

// end ends one call. The last one logs the commands that expired.
func (b *batch) end(logger log.Logger) {
	if b.open.Add(-1) > 0 {
		return
	}
	if n := b.expired.Load(); n > 0 {
		logger.Log("msg", "expired calls not sent", "commands", n, "calls", b.calls, "late", time.Duration(b.late.Load()))
	}
}
