package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/kv"
)

const (
	// The faults of TestSoak run in the first faultPeriod of each faultCycle of
	// TestSoakCrashes. Limits that a fault suspends apply in the rest.
	faultCycle  = 16 * time.Second
	faultPeriod = 5 * time.Second
	// deadlyDelay is the time from the start of a deadly task to the crash.
	deadlyDelay = 30 * time.Millisecond
	// jobsPerDeadly is the number of jobs of which one has a deadly task.
	jobsPerDeadly = 10
)

// crashDraws holds the random source of the crashes that the deadly tasks of one
// runner cause.
type crashDraws struct {
	mu   sync.Mutex
	rand *rand.Rand
}

// next returns how long the runner is down and whether it has a new ID then.
func (d *crashDraws) next() (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(500+d.rand.IntN(2500)) * time.Millisecond, d.rand.IntN(2) == 1
}

// prepareCrashes configures a runner for TestSoakCrashes.
func (r *rig) prepareCrashes(i int, seed uint64) {
	n, draws := r.runners[i], &crashDraws{rand: rand.New(rand.NewPCG(seed, uint64(1000+i)))}
	n.accounting, n.admissionCheck = true, r.admissionCheck
	n.onDeadlyTask = func(t job.Task, attempt int) {
		if r.ctx.Err() != nil || !n.runs(t, attempt) {
			return
		}
		n.ledger.event("deadly task crashes its runner", t.String(), "attempt", attempt)
		down, newID := draws.next()
		r.crashRunner(i, down, newID)
	}
}

// crashRunner crashes a runner for a time.
func (r *rig) crashRunner(i int, down time.Duration, newID bool) {
	r.runners[i].crash(newID)
	r.runnerProxies[i].close()
	sleep(r.ctx, down)
	if r.ctx.Err() == nil {
		r.recoverRunner(i)
	}
}

// recoverRunner starts the next incarnation of a crashed runner and registers it,
// unless another crash has not ended.
func (r *rig) recoverRunner(i int) {
	r.registerMu.Lock()
	defer r.registerMu.Unlock()
	previous, recovered := r.runners[i].recoverFromCrash()
	if !recovered {
		return
	}
	if err := r.runnerProxies[i].open(); err != nil {
		r.t.Errorf("listen for the new incarnation of a runner: %v", err)
	}
	if previous != "" {
		if _, err := r.store.Commit(r.ctx, kv.Txn{Deletes: []string{"servers/" + previous}}); err != nil {
			r.t.Errorf("remove the entry of runner %s: %v", previous, err)
		}
	}
	r.putEntry(i, nil)
}

// registerRunner writes a runner's entry to the store, unless the runner is down.
func (r *rig) registerRunner(i int) { r.writeEntry(i, nil) }

// writeEntry writes the entry of a runner that is up to the store, altered by
// change if it is not nil. It reports whether it did.
func (r *rig) writeEntry(i int, change func(entry map[string]any)) bool {
	r.registerMu.Lock()
	defer r.registerMu.Unlock()
	return r.putEntry(i, change)
}

func (r *rig) putEntry(i int, change func(entry map[string]any)) bool {
	key, value, up := r.runners[i].storeEntry(r.runnerProxies[i].addr().String(), change)
	if up {
		r.store.Put(key, value)
	}
	return up
}

// injectRunnerFaults injects overlapping faults of runners and waits until the
// last one has ended. They have a schedule and a random source of their own, so
// that the schedule of the other faults does not depend on them. They do not
// count as active faults: no limit is suspended while a runner is down or has a
// wrong entry.
func (r *rig) injectRunnerFaults(end time.Time) {
	var wg sync.WaitGroup
	for time.Now().Before(end) && r.ctx.Err() == nil {
		f := r.nextRunnerFault()
		wg.Add(1)
		go func() {
			defer wg.Done()
			f(r.ctx)
		}()
		// The number of faults of each runner does not depend on that of runners.
		sleep(r.ctx, time.Duration(200+r.runnerRand.IntN(1000))*time.Millisecond*runnerCount/time.Duration(len(r.runners)))
	}
	wg.Wait()
}

// nextRunnerFault returns a random fault as a function that runs it. All random
// numbers are drawn before the fault runs.
func (r *rig) nextRunnerFault() func(context.Context) {
	i := r.runnerRand.IntN(len(r.runners))
	other := (i + 1 + r.runnerRand.IntN(len(r.runners)-1)) % len(r.runners)
	long := time.Duration(500+r.runnerRand.IntN(2500)) * time.Millisecond
	quick := time.Duration(20+r.runnerRand.IntN(280)) * time.Millisecond
	odd := time.Duration(500+r.runnerRand.IntN(1500)) * time.Millisecond
	shift := int64(1 + r.runnerRand.IntN(60_000))
	shrink := shrinkFault{
		cpu:  500 * r.runnerRand.IntN(13),
		lag:  time.Duration(r.runnerRand.Int64N(int64(heartbeatInterval))),
		last: time.Duration(4000+r.runnerRand.IntN(5000)) * time.Millisecond,
	}
	oddEntry := func(kind string, change func(entry map[string]any)) func(context.Context) {
		return func(ctx context.Context) { r.writeOddEntry(ctx, i, kind, odd, change) }
	}
	switch r.runnerRand.IntN(12) {
	case 0, 1:
		return func(context.Context) { r.crashRunner(i, quick, false) }
	case 2:
		return func(context.Context) { r.crashRunner(i, long, false) }
	case 3:
		return func(context.Context) { r.crashRunner(i, long, true) }
	case 4:
		return oddEntry("address of another runner", func(e map[string]any) { e["addr"] = r.runnerProxies[other].addr().String() })
	case 5:
		return oddEntry("older start", func(e map[string]any) { e["born"] = e["born"].(int64) - shift })
	case 6:
		return oddEntry("start in the future", func(e map[string]any) { e["born"] = time.Now().UnixMilli() + shift })
	case 7:
		return oddEntry("another service", func(e map[string]any) { e["service"] = "elsewhere" })
	}
	return func(ctx context.Context) { r.shrinkRunner(ctx, i, shrink) }
}

// writeOddEntry writes an entry of another writer for a live runner. The next
// heartbeat of the runner replaces it.
func (r *rig) writeOddEntry(ctx context.Context, i int, kind string, d time.Duration, change func(entry map[string]any)) {
	var written map[string]any
	if !r.writeEntry(i, func(e map[string]any) {
		change(e)
		written = e
	}) {
		return
	}
	r.ledger.event("entry of another writer", r.runners[i].machine, "kind", kind,
		"addr", written["addr"], "born", written["born"], "service", written["service"])
	sleep(ctx, d)
	r.registerRunner(i)
	r.ledger.event("heartbeat replaced the entry of another writer", r.runners[i].machine)
}

// shrinkFault is a capacity that a runner shrinks to for a time. The runner's
// entry shows each change with a lag.
type shrinkFault struct {
	cpu       int
	lag, last time.Duration
}

func (r *rig) shrinkRunner(ctx context.Context, i int, f shrinkFault) {
	for _, cpu := range []int{f.cpu, fullCapacity} {
		r.runners[i].setCapacity(cpu)
		sleep(ctx, f.lag)
		r.registerRunner(i)
		if cpu != fullCapacity {
			sleep(ctx, f.last)
		}
	}
}
