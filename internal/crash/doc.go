// Package crash decides which tasks are suspected of crashing the runners that
// start them, which of those may be started again, and when one is given up. It
// is pure: package sched reports what was on a runner when it crashed, stores
// the records and places the suspects.
//
// It answers a task that crashes each runner that starts it. Such a task never
// has a result, so a limit on failed runs does not end it; it takes down one
// runner after the other, and with it the work of other jobs on those runners.
//
// # Suspects and bystanders
//
// A crash does not tell which of the runs on the runner caused it. A run whose
// start the runner had only just carried out is suspected; one that had run for
// a while is not, until a second runner crashes under its task. A suspect is
// started again only on a runner that has just started nothing else, and that
// gets no other start until it has gone on, so that a crash there concerns its job
// alone. A second crash that follows such a start at once ends the job; a bystander
// completes there and is cleared. Until then, one that has gone on after such a
// start is given up only after MaxSharedCrashes.
//
// # Unconfirmed starts
//
// A runner that has crashed silently counts as reachable until a call fails, so
// that starts are sent to it which never arrive. A crash counts as one under a
// task only if the runner had confirmed the start, by its reply or in a report.
// Otherwise the start is unresolved: it may have crashed the runner, so that a
// task is also given up after MaxPossibleCrashes of both kinds. The start that could be
// the last of these waits until the pool loses few runners: in a burst of crashes starts
// are lost of tasks that no runner has received.
//
// # Ordinary crashes
//
// Runners also crash by themselves, alone or with their rack or zone. A task
// that was started at such a moment is suspected, run apart and cleared. It is
// given up only if the runner of its next run crashes as well, just after the
// start, or those of MaxSharedCrashes runs within ProvenAfter. A run that goes on
// for ProvenAfter, or ends with a result, clears its task.
//
// # Long-running tasks
//
// A long-running task serves until its job is cancelled, so that giving it up costs
// more than a late start. Once MaxCrashes runners may have crashed under it, it is
// started only while its pool loses few runners: a crash after that start tells that
// the task is to blame, and a run that goes on that it is not. It is given up after
// MaxSharedCrashes, or after MaxUncertainCrashes if most of them are not certain.
//
// # Change of leader
//
// A record is stored before its task is started again, and each start of a
// suspect is counted in the store before it is sent, with the incarnation of the
// runner that it is to be sent to. A leader that ends before it sees the crash
// therefore leaves an unresolved start. A start is no longer counted once the runner
// has gone on after it, or replies to a later leader in that incarnation.
package crash
