package trace

import (
	"fmt"
	"time"
)

// leaveGrace is how long after its first Leave event a host may still receive new
// requests.
const leaveGrace = 3 * time.Second

// notRun is the outcome of a request that certainly did not run.
const notRun = "not-run"

// Violation is an event that violates an invariant.
type Violation struct {
	Event   Event
	Message string
}

// String returns the time, daemon, request and key of the event and the violated
// invariant.
func (v Violation) String() string {
	return fmt.Sprintf("%s %s request %s key %q: %s", v.Event.At.UTC().Format(time.RFC3339Nano), v.Event.Daemon, v.Event.Request, v.Event.Key, v.Message)
}

// job identifies a request within the traces of all daemons.
type job struct {
	daemon string
	n      uint64
}

// checker holds the state of the trace up to the current event.
type checker struct {
	arrived map[job]Event
	ended   map[job]bool
	// mayHaveRun holds the requests that may have run.
	mayHaveRun map[job]bool
	lastSend   map[string]Event // last Send that may have run, by key
	// notRunAt is when not-run was last returned to a caller, by key.
	notRunAt     map[string]time.Time
	leavingSince map[string]time.Time
	violations   []Violation
}

// Check returns the violations in a trace whose events are in order. The
// invariants are: a request for which not-run was returned did not run; a request
// that is not idempotent ran at most once; no request was sent after its deadline
// or to a host that had been leaving for 3 s; each request ended once.
func Check(events []Event) []Violation {
	c := &checker{
		arrived: make(map[job]Event), ended: make(map[job]bool), mayHaveRun: make(map[job]bool),
		lastSend: make(map[string]Event), notRunAt: make(map[string]time.Time), leavingSince: make(map[string]time.Time),
	}
	for _, e := range events {
		j := job{e.Daemon, e.Job}
		switch e.Kind {
		case Arrive:
			c.arrived[j] = e
		case Send:
			c.send(j, e)
		case End:
			c.end(j, e)
		case Leave:
			if _, ok := c.leavingSince[e.Host]; !ok {
				c.leavingSince[e.Host] = e.At
			}
		case Serve:
			delete(c.leavingSince, e.Host)
		case Claim, Admit:
		}
	}
	return c.violations
}

func (c *checker) fail(e Event, format string, args ...any) {
	c.violations = append(c.violations, Violation{e, fmt.Sprintf(format, args...)})
}

func (c *checker) send(j job, e Event) {
	start := e.started()
	a, ok := c.arrived[j]
	if ok && a.Deadline != nil && start.After(*a.Deadline) && e.Outcome != notRun {
		c.fail(e, "sent after its deadline")
	}
	if since, ok := c.leavingSince[e.Host]; ok && start.After(since.Add(leaveGrace)) {
		c.fail(e, "sent to host %s, which was leaving since %s", e.Host, since.UTC().Format(time.RFC3339Nano))
	}
	if e.Outcome == notRun {
		return
	}
	if c.mayHaveRun[j] && !a.Idempotent {
		c.fail(e, "sent again after it may have run")
	}
	c.mayHaveRun[j] = true
	if e.Key == "" {
		return
	}
	if before, ok := c.lastSend[e.Key]; ok {
		c.fail(e, "ran again: daemon %s sent it to host %s before", before.Daemon, before.Host)
	}
	c.lastSend[e.Key] = e
	// A Send is recorded when it ends. It may have started before not-run was
	// returned to another caller.
	if notRunAt, ok := c.notRunAt[e.Key]; ok && start.Before(notRunAt) {
		c.fail(e, "ran while another attempt was told not-run at %s", notRunAt.UTC().Format(time.RFC3339Nano))
	}
}

func (c *checker) end(j job, e Event) {
	if c.ended[j] {
		c.fail(e, "ended twice")
	}
	c.ended[j] = true
	if e.Outcome != notRun {
		return
	}
	if e.Key != "" {
		c.notRunAt[e.Key] = e.At
	}
	if c.mayHaveRun[j] {
		c.fail(e, "told not-run after it may have run")
	} else if before, ok := c.lastSend[e.Key]; ok && e.Key != "" && before.started().Before(e.At) {
		// Events of several daemons at the same time have no order.
		c.fail(e, "told not-run, but daemon %s sent it to host %s", before.Daemon, before.Host)
	}
}
