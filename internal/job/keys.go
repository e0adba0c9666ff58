package job

import "strings"

// Keys in the store. All input of the leader has one prefix, so that one watch
// delivers it in order: a former leader receives the change of the leader key
// before the jobs that were accepted after that change, and so does not
// start them.
const (
	Prefix         = "gt/"
	InputPrefix    = "gt/in/"
	JobPrefix      = "gt/in/job/"
	CancelPrefix   = "gt/in/cancel/"
	LeaderKey      = "gt/in/leader"
	ProgressPrefix = "gt/progress/"
	RosterKey      = "gt/roster"
	MachinesKey    = "gt/machines"
)

// Key returns the key of an accepted job.
func Key(id ID) string { return JobPrefix + string(id) }

// CancelKey returns the key whose presence marks a job as cancelled.
func CancelKey(id ID) string { return CancelPrefix + string(id) }

// ProgressKey returns the key of a job's progress, which the leader writes.
func ProgressKey(id ID) string { return ProgressPrefix + string(id) }

// IDFromKey returns the job ID in a key with the given prefix, and whether the
// key is valid.
func IDFromKey(key, prefix string) (ID, bool) {
	s, ok := strings.CutPrefix(key, prefix)
	return ID(s), ok && ID(s).Valid()
}
