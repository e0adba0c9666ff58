package gateway

import (
	"context"
	"expvar"

	"golang.org/x/time/rate"
)

// Kind determines which limit of the platform a call counts towards.
type Kind string

// Values of Kind. A watch counts as one call, however long it lasts.
const (
	Read      Kind = "read"
	Write     Kind = "write"
	KeepAlive Kind = "keepalive"
	Watch     Kind = "watch"
)

// Changes reports whether a call of this kind can change state at the platform.
func (k Kind) Changes() bool { return k == Write || k == KeepAlive }

// calls counts the calls by kind, and those with an unknown outcome.
var calls = expvar.NewMap("platform")

// CountUnknown counts a call with an unknown outcome.
func CountUnknown() { calls.Add("unknown", 1) }

// Defaults of Budget, per second. They keep 80 daemons within 320 writes and
// 1,600 reads per second; the platform allows several hundred writes and 2,000
// reads per second for the whole system.
const (
	DefaultWrites = rate.Limit(4)
	DefaultReads  = rate.Limit(20)
	writeBurst    = 16
	readBurst     = 40
)

// Budget limits the calls per second of one process. Zero fields mean the
// defaults; rate.Inf removes a limit.
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

// acquire waits for a token of the rate limit and counts the call. A keepalive
// takes its token without waiting, since its lease could expire behind a burst
// of other writes.
func (x *Exchanger) acquire(ctx context.Context, k Kind) error {
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
