package admission

import "time"

// Verdict is the outcome of an admission decision.
type Verdict uint8

// Verdicts. A request with the verdict Run, Reject or Cancel is not queued.
const (
	// Run means that the request occupies a slot.
	Run Verdict = iota
	// Wait means that the request is queued.
	Wait
	// Reject means that the request was not run and may be retried.
	Reject
	// Cancel means that the caller cancelled the request before it ran.
	Cancel
)

var verdicts = [...]string{"run", "wait", "reject", "cancel"}

// String returns the name that logs use.
func (v Verdict) String() string { return verdicts[v] }

// Reason is the reason for a decision.
type Reason uint8

// Reasons of decisions.
const (
	// Free means that a slot was free and nothing was queued.
	Free Reason = iota
	// Turn means that the class was next in weighted fair order.
	Turn
	// Spare means that the request runs above the daemon's share of slots, on
	// a slot that another daemon may leave unused. A runner may reject it as
	// busy.
	Spare
	// NoSlot means that all slots are in use.
	NoSlot
	// Full means that the queue of the class has reached its limit.
	Full
	// Late means that the request is predicted to complete after its deadline.
	Late
	// Expired means that the deadline could no longer be met when the request
	// reached the head of the queue.
	Expired
	// Cancelled means that the caller's context was done.
	Cancelled
	// Closed means that the daemon is stopping.
	Closed
)

var reasons = [...]string{"free", "turn", "spare", "no-slot", "full", "late", "expired", "cancelled", "closed"}

// String returns the name that logs and problem responses use.
func (r Reason) String() string { return reasons[r] }

// Decision is a verdict on one request, with its reason.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	// RetryAfter is the time at which a rejected request is predicted to be
	// admitted. It is set only if Verdict is Reject.
	RetryAfter time.Time
}
