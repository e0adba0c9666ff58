// Package estimate estimates run times from completed requests and the rate of
// recent events. Its types are not safe for concurrent use; a Scheduler owns each
// value.
package estimate
