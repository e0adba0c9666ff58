package overload

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// retryAfter returns when a job should be submitted again if capacity is expected in
// the given time. A rejected job can no longer meet its objective, so it should not
// displace jobs that can: it returns in the second half of the time in which it has any
// value, which counts from its first attempt. Jobs are spread over that time by their ID.
func retryAfter(j *Job, in time.Duration) time.Duration {
	last := max(int64((ValueFactor*j.Objective-j.Chain)/time.Second), 1)
	first := min(max(int64((in+time.Second-1)/time.Second), (last+1)/2, 1), last)
	if first == last {
		first = max(last-1, 1)
	}
	return time.Duration(first+int64(xxhash.Sum64String(string(j.ID))%uint64(last-first+1))) * time.Second
}
