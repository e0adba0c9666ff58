package overload

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// minSpread is the number of seconds over which rejected jobs return at least.
const minSpread = 2

// retryAfter returns when a job should be submitted again if capacity is expected in
// the given time. Jobs are spread by their ID over about the time that the backlog
// lasts, but return before they lose their value, which counts from their first attempt.
func retryAfter(j *Job, in time.Duration) time.Duration {
	last := max(int64((ValueFactor*j.Objective-j.Chain)/time.Second), 1)
	first := min(max(int64((in+time.Second-1)/time.Second), 1), last)
	spread := min(max(first, minSpread), last-first+1)
	if spread < minSpread && last >= minSpread { // all would return in the last second
		first, spread = last-minSpread+1, minSpread
	}
	return time.Duration(first+int64(xxhash.Sum64String(string(j.ID))%uint64(spread))) * time.Second
}
