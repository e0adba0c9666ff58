package gateway

import (
	"context"
	"expvar"

	"golang.org/x/time/rate"
)

// Kind is how a call counts towards the platform's limits.
type Kind string

// Values of Kind. A waiting watch counts as one call.
const (
	Read      Kind = "read"
	Write     Kind = "write"
	KeepAlive Kind = "keepalive"
	Watch     Kind = "watch"
)

// Changes reports that a call can have an effect at the platform.
func (k Kind) Changes() bool { return k == Write || k == KeepAlive }

// calls counts the calls by kind, and those whose outcome was unknown.
var calls = expvar.NewMap("platform")

// CountUnknown counts a call whose outcome is unknown.
func CountUnknown() { calls.Add("unknown", 1) }

// Defaults of Budget. They keep 80 daemons within 320 writes and 1,600 reads a
// second, below the several hundred and 2,000 of the whole system.
const (
	DefaultWrites = rate.Limit(4)
	DefaultReads  = rate.Limit(20)
	writeBurst    = 16
	readBurst     = 40
)

// Budget bounds the calls a second of one process. Zero fields mean the
// defaults; rate.Inf lifts a bound.
type Budget struct {
	Writes, Reads rate.Limit
}

func (b Budget) limiters() (writes, reads *rate.Limiter) {
	if b.Writes == 0 {
		b.Writes = DefaultWrites
	}
	if b.Reads == 0 {
		b.Reads = DefaultReads
	}
	return rate.NewLimiter(b.Writes, writeBurst), rate.NewLimiter(b.Reads, readBurst)
}

// take waits for a token and counts the call. A keepalive takes its token
// without waiting, since its lease would lapse behind a burst of other writes.
func (x *Exchanger) take(ctx context.Context, k Kind) error {
	switch k {
	case Write:
		if err := x.writes.Wait(ctx); err != nil {
			return err
		}
	case KeepAlive:
		x.writes.Reserve()
	default:
		if err := x.reads.Wait(ctx); err != nil {
			return err
		}
	}
	calls.Add(string(k), 1)
	return nil
}
