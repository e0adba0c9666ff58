package job

import (
	"strconv"
	"strings"
)

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
	TermKey        = "gt/term" // who had the leader key last
	ProgressPrefix = "gt/progress/"
	RosterKey      = "gt/roster"
	MachinesKey    = "gt/machines"
	WavePrefix     = "gt/wave/"
)

// Key returns the key of an accepted job.
func Key(id ID) string { return JobPrefix + string(id) }

// CancelKey returns the key whose presence marks a job as cancelled.
func CancelKey(id ID) string { return CancelPrefix + string(id) }

// ProgressKey returns the key of a job's progress, which the leader writes.
func ProgressKey(id ID) string { return ProgressPrefix + string(id) }

// WaveKey returns the key of the time at which a maintenance wave is due.
func WaveKey(number int) string { return WavePrefix + strconv.Itoa(number) }

// WaveFromKey returns the number of a wave from its key, and whether the key is
// valid.
func WaveFromKey(key string) (int, bool) {
	s, ok := strings.CutPrefix(key, WavePrefix)
	if !ok {
		return 0, false
	}
	n, err := strconv.Atoi(s)
	return n, err == nil
}

// IDFromKey returns the job ID in a key with the given prefix, and whether the
// key is valid.
func IDFromKey(key, prefix string) (ID, bool) {
	s, ok := strings.CutPrefix(key, prefix)
	return ID(s), ok && ID(s).Valid()
}
