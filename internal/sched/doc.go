// Package sched is the leader's state and its decisions: which task runs on
// which runner, what is stopped, which ends are durable, and which machines
// leave for upkeep. It does no I/O and reads no clock. Package lead feeds it
// what runners, callers and operators say and carries out its orders.
//
// # State
//
// Jobs and their progress come from the store when a term begins, and are
// written back as they change. What runs where is never stored: runners list
// their runs and their ends, and keep each end until a look says that it has
// been noted. An end is noted only after the progress that it changed is in
// the store.
//
// # One run of a task at a time
//
// A task that has a run is not started elsewhere until that run has surely
// ended: its end is listed, its runner has another life, or its lease has
// surely lapsed. The lease on a runner is known to end no later than the
// latest end that was ever sent, on the runner's own clock, whatever happens
// to the orders in between.
//
// An order without an answer is repeated unchanged. The runner recognizes it,
// and rejects it after the run has ended or was stopped.
//
// # Succession
//
// A runner takes no order of an earlier term after it has answered one of this
// term. A new leader therefore asks every runner of the roster, which names
// all runners that earlier leaders may have used, before it starts a task that
// was accepted before its term and that no runner lists. A runner that does
// not answer is waited for until its lease has lapsed, counted from the last
// instant at which an earlier leader may have extended it.
package sched
