package soak

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"time"
)

var (
	daemonFlag = flag.Int("soak.daemons", daemonCount, "number of daemons of TestSoakCrashes")
	runnerFlag = flag.Int("soak.runners", runnerCount, "number of runners of TestSoakCrashes")
)

// Each daemon and each runner of TestSoakCrashes has its own loopback address,
// numbered from 0 and from firstRunnerAddr.
const (
	firstRunnerAddr = 100
	maxDaemons      = firstRunnerAddr - 1
	maxRunners      = 140
)

// crashRegressions maps seeds of TestSoakCrashes that once failed to the cause of
// the failure.
var crashRegressions = map[uint64]string{
	121: "A start that its runner had not received was charged with the crash of the next incarnation, and its job failed after one crash under it.",
}

// TestSoakCrashes guards against tasks that crash one runner after another, and
// against violated guarantees around runners that crash, start again with the
// same ID or address, change their capacity or have a wrong entry in the store.
func TestSoakCrashes(t *testing.T) {
	if *daemonFlag < 1 || *daemonFlag > maxDaemons || *runnerFlag < 2 || *runnerFlag > maxRunners {
		t.Fatalf("%d daemons and %d runners: at most %d and %d are supported", *daemonFlag, *runnerFlag, maxDaemons, maxRunners)
	}
	bin := buildDaemon(t)
	size := soakSize{daemons: *daemonFlag, runners: *runnerFlag, callers: callerCount * *daemonFlag / daemonCount, crashes: true}
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { soak(t, bin, seed, size) })
	}
	for seed, cause := range crashRegressions {
		t.Run(fmt.Sprintf("regression-%d", seed), func(t *testing.T) {
			t.Log(cause)
			soak(t, bin, seed, size)
		})
	}
}

// startCrashes draws the settings of TestSoakCrashes.
func (r *rig) startCrashes(seed uint64) {
	r.runnerRand = rand.New(rand.NewPCG(seed, 2))
	r.admissionCheck = r.runnerRand.IntN(2) == 1
}

// deadlyJobs returns the random source that chooses a caller's jobs with a deadly
// task.
func deadlyJobs(caller uint64) *rand.Rand { return rand.New(rand.NewPCG(caller, 8)) }

// holdConnection keeps a connection to a daemon open after one request until the
// daemon closes it or exits, and then opens another.
func holdConnection(ctx context.Context, d *daemon) {
	for ctx.Err() == nil {
		c, err := new(net.Dialer).DialContext(ctx, "tcp", d.callerAddr.String())
		if err == nil {
			stop := context.AfterFunc(ctx, func() { _ = c.Close() })
			_, _ = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", callerPath, callerHost) // the read below fails as well
			_, _ = io.Copy(io.Discard, c)                                                        // ends with the connection
			stop()
			_ = c.Close()
		}
		sleep(ctx, 100*time.Millisecond)
	}
}

// logCounts writes the closing log line of a seed. The lock of the ledger is held.
func (r *rig) logCounts(seed uint64) {
	l := r.ledger
	if !r.size.crashes {
		r.t.Logf("seed %d: %d jobs, %d tasks, %d violated guarantees", seed, len(l.jobs), len(l.tasks), l.violations)
		return
	}
	for format, n := range l.violated {
		r.t.Logf("%d times: %s", n, format)
	}
	crashes := 0
	for _, rec := range l.tasks {
		crashes += rec.crashes
	}
	deadly, failed, bystanders := l.crashCounts()
	r.t.Logf("seed %d, admission check %t: %d jobs, %d tasks, %d deadly jobs of which %d failed, %d runs crashed, "+
		"%d jobs without a deadly task given up because of crashes, %d starts checked against a capacity that had shrunk, %d violated guarantees",
		seed, r.admissionCheck, len(l.jobs), len(l.tasks), deadly, failed, crashes, bystanders, l.shrunkStarts, l.violations)
}
