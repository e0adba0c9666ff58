// Package soak holds a randomized fault-injection test. It runs the real daemon
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
//   - an accepted job is not lost
//
// The seed determines the jobs and the faults of a run:
//
//	go test ./internal/soak -run TestSoak -soak.seed 7 -soak.for 20s
//	go test ./internal/soak -run TestSoak -soak.seeds 50 -timeout 1h
//
// If a second build of the program is given, daemons of both builds run side by
// side and replace each other:
//
//	go test ./internal/soak -run TestSoak -soak.other /path/to/gypsumtrestle
//
// Not covered are jumps of the wall clock, because a process cannot set its
// clock without privileges, and commands to machines.
package soak
