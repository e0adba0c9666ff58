// Package soak holds the randomized fault soak. Its tests run the real daemon
// as separate processes against stand-ins of the store and of the runners,
// reach both through proxies that delay, reset, silence and cut connections one
// way, and stop, pause, kill and restart the processes by signals. While that
// goes on, a ledger checks what callers and runners see against the promises:
// one run of a task at a time, none after its end as done was noted, no step
// before those it waits for, nothing run that was refused, nothing shown as
// completed that is not, and nothing lost that was accepted.
//
// One seed decides the jobs and the faults of a run:
//
//	go test ./internal/soak -run TestSoak -soak.seed 7 -soak.for 20s
//	go test ./internal/soak -run TestSoak -soak.seeds 50 -timeout 1h
//
// With a second build of the program, daemons of both run side by side and
// replace each other:
//
//	go test ./internal/soak -run TestSoak -soak.other /path/to/gypsumtrestle
//
// Not covered: jumps of the time of day, since a process cannot set its clock
// without privileges, and orders to machines.
package soak
