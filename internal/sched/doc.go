// Package sched holds the leader's state and makes its decisions: which task
// runs on which runner, which runs are stopped, which results are durable, and
// which machines leave for maintenance. It does no I/O and reads no clock.
// Package lead supplies the reports of runners, callers and operators, and
// sends the commands.
//
// # State
//
// Jobs and their progress are loaded from the store at the start of a term and
// written back as they change. The placement of runs is never stored: runners
// report their runs and the results of ended runs, and keep each result until a
// poll acknowledges it. A result is acknowledged only after the progress that
// it changed is in the store.
//
// # One run of a task at a time
//
// A task that has a run is not started elsewhere until that run has certainly
// ended: its result was reported, its runner has a new incarnation, or its
// lease has expired by the lower bound of the runner's clock. The lease on a
// runner ends no later than the latest lease end that was ever sent, on the
// runner's own clock, whether or not the commands in between arrived.
//
// A command without a reply is repeated unchanged. The runner recognizes it,
// and rejects it after the run has ended or was stopped.
//
// # Succession
//
// A runner rejects commands of previous terms once it has replied to a command
// of this term. Before a new leader starts a task that was accepted before its
// term and that no runner reports, it therefore polls every runner of the
// roster, which lists all runners that previous leaders may have used. If a
// runner does not reply, the leader waits until its lease has expired, counted
// from the last time at which a previous leader may have extended it. Two lists of
// machines without the runner, asked after the last command that a previous leader
// may have sent, show earlier that it has ended; see RunnersListed. While a
// runner may still report results of runs that were abandoned, the roster has a
// mark, and a term that inherits it stores the attempt of a task before its start.
//
// # Crashes
//
// Package crash decides which tasks are suspected of crashing their runners. A
// suspect is started only on a runner that is isolated for its job; a long-running
// job gets more of these as they go on. Each start is counted in the store, for that
// runner, before it is sent, and resolved when a runner shows that it went on. A pool is stable while it loses few runners.
// A long-running task that two runners may have crashed under waits for that, and
// its job is not ended for crashes in a pool that was not stable.
//
// # Waves
//
// A machine that is due for maintenance drains until its runner is empty, and then gets
// its command. Each state of it has an end: a drain in which a task cannot leave and a
// command that is rejected give the machine back, and only one wave at a time has it. A
// reply, not an entry, tells which runner it has; see runnerOf. If no other runner has
// room for a long-running task, the task is displaced within its MaxUnavailable; see
// displace.
//
// # Room for long-running tasks
//
// A long-running task is stopped on a runner that leaves once another one has room,
// which is kept until it runs there. While one fits nowhere, runners are held: they
// get no new batch tasks. What keeps such a task without a run is logged.
//
// # Learned in a term
//
// Package estimate learns how long tasks run, and package interference which images slow
// each other down; see runtimes.go and interference.go for what is evidence and what uses
// it. Neither is ever a reason not to start a task.
//
// # Workspaces
//
// What each workspace may have running counts in one ledger, which runs enter and leave
// with the record of their runner; a start above the cap is an obstacle. Unknown runs of
// previous leaders have an upper bound there. Run-to-completion jobs beyond the share of
// their workspace come after all others. See packages quota and share.
package sched
