package intake

import (
	"expvar"
	"time"

	"github.com/go-kit/log"
)

// reason is why a connection was closed or a request rejected.
type reason int

const (
	forConnection reason = iota // closed for a newer connection
	forBody                     // closed for another body
	forHeader                   // closed for another header
	refused                     // closed at once, since no other could be
	busy                        // rejected: no room, or too many are decoded
	slow                        // rejected: the body did not arrive in time
	reasons
)

var reasonNames = [reasons]string{"for_connection", "for_body", "for_header", "refused", "busy", "slow"}

// reportInterval is the least time between two log lines.
const reportInterval = time.Second

// reporter counts by reason, and logs the counts at most once per reportInterval.
// The guard's mutex guards the fields; the line is written without it.
type reporter struct {
	logger log.Logger
	vars   *expvar.Map // nil if there are none

	total     int64
	counts    [reasons]int64 // since the last line
	logged    time.Time
	scheduled bool
}

// count counts a closed connection or a rejected request. The mutex must be held.
func (g *Guard) count(why reason) {
	r := &g.report
	r.total++
	r.counts[why]++
	g.adjust(reasonNames[why], 1)
	if !r.scheduled {
		r.scheduled = true
		time.AfterFunc(time.Until(r.logged.Add(reportInterval)), g.log)
	}
}

// adjust adds to a variable.
func (g *Guard) adjust(name string, n int64) {
	if g.report.vars != nil {
		g.report.vars.Add(name, n)
	}
}

// log writes the counts since the last line.
func (g *Guard) log() {
	g.mu.Lock()
	r := &g.report
	s := g.status()
	fields := []any{"msg", "limits of callers reached", "open", s.Connections, "body_bytes", s.BodyBytes, "header_bytes", s.HeaderBytes}
	for i, n := range r.counts {
		if n > 0 {
			fields = append(fields, reasonNames[i], n)
		}
	}
	r.counts, r.logged, r.scheduled = [reasons]int64{}, time.Now(), false
	g.mu.Unlock()
	r.logger.Log(fields...)
}
