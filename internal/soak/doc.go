// Package soak holds randomized fault-injection tests. They run the real daemon
// as separate processes against stand-ins for the store and the runners. Daemons
// connect to both through proxies that delay, stall or reset connections, or
// block one direction. Signals stop, pause, kill and restart the processes.
//
// Meanwhile a ledger checks what callers and runners observe against the
// guarantees of the system:
//   - at most one run of a task is active at a time
//   - a task is not run again after its result done was acknowledged
//   - a step does not start before the steps that it depends on are done
//   - a rejected job does not run
//   - a job is not reported as completed before all of its tasks are done
//   - a job is not reported as failed unless a task failed often enough or two
//     runners crashed under one
//   - an accepted job is not lost
//   - a task that crashes its runners is started at most twice after three of
//     them have crashed
//   - a start does not bring a runner without an admission check over its capacity
//
// The seed determines the jobs and the faults of a run:
//
//	go test ./internal/soak -run 'TestSoak$' -soak.seed 7 -soak.for 20s
//	go test ./internal/soak -run 'TestSoak$' -soak.seeds 50 -timeout 1h
//
// TestSoakCrashes adds faults of runners, in a schedule with a random source of
// its own: jobs with a task that crashes each runner that starts it, runners that
// start again with the same ID or with a new one at the same address, store
// entries of another writer, and capacities that shrink and grow. The seed also
// determines whether the runners check admission. The other faults pause
// periodically, so that the limits that they suspend apply in between. It can run
// with more processes:
//
//	go test ./internal/soak -run TestSoakCrashes -soak.seed 7 -soak.for 28s
//	go test ./internal/soak -run TestSoakCrashes -soak.daemons 30 -soak.runners 100
//
// If a second build of the program is given, daemons of both builds run side by
// side and replace each other:
//
//	go test ./internal/soak -run 'TestSoak$' -soak.other /path/to/gypsumtrestle
//
// Not covered are jumps of the wall clock, because a process cannot set its
// clock without privileges, and commands to machines.
package soak
