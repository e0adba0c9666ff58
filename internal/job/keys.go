package job

import "strings"

// Keys of the product in the store. What daemons and the leader write for the
// leader to see lies under one prefix, so that one watch delivers it in order:
// a leader learns of its successor before it learns of jobs accepted later.
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

// Key is where an accepted job lies.
func Key(id ID) string { return JobPrefix + string(id) }

// CancelKey marks a job as cancelled.
func CancelKey(id ID) string { return CancelPrefix + string(id) }

// ProgressKey is where the leader records a job's progress.
func ProgressKey(id ID) string { return ProgressPrefix + string(id) }

// IDFromKey returns the job that a key with the given prefix names.
func IDFromKey(key, prefix string) (ID, bool) {
	s, ok := strings.CutPrefix(key, prefix)
	return ID(s), ok && ID(s).Valid()
}
