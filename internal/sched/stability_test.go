package sched

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/crash"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// restartLimit is how long a long-running task may have no run after its last one
// while its pool has room and loses no runners.
const restartLimit = 9 * time.Second

// burst lets the runners of the fixture crash. Each is replaced by another one at
// its address.
type burst struct {
	*fixture
	rnd   *rand.Rand
	names int
	down  map[runner.ID]clock.BootTime // until when
	// lose is called for each start if runners crash before they confirm it.
	lose func()
}

func newBurst(f *fixture, runners int) *burst {
	b := &burst{fixture: f, rnd: rand.New(rand.NewPCG(1, 2)), down: make(map[runner.ID]clock.BootTime)}
	for range runners {
		b.replace()
	}
	return b
}

func (b *burst) replace() {
	b.names++
	b.runner(runner.ID(fmt.Sprintf("a%03d", b.names)))
}

// up returns the runners that have not crashed.
func (b *burst) up() []runner.ID {
	var ids []runner.ID
	for id, rs := range b.s.runners {
		if _, isDown := b.down[id]; !isDown && rs.replied && !rs.ended {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// crash lets a runner crash for 300 ms, which the leader notices at once.
func (b *burst) crash(id runner.ID) {
	b.down[id] = b.now.Add(300 * time.Millisecond)
	b.s.PollFailed(id, b.now)
}

// step plans once, with all that is pending stored and all runners replying. A
// runner that starts a task for which deadly returns true crashes.
func (b *burst) step(deadly func(job.Task) bool) {
	for _, c := range ofKind(b.plan(), StartRun) {
		if b.lose != nil {
			b.crash(c.To.ID)
			b.lose()
		}
		if _, isDown := b.down[c.To.ID]; isDown {
			b.loseReply(c)
			continue
		}
		b.accept([]Command{c})
		if deadly(c.Task) {
			b.crash(c.To.ID)
		}
	}
	b.flush()
	for id, until := range b.down {
		if b.now > until {
			delete(b.down, id)
			b.replaced(id, info(id, "pool").Addr)
			b.s.DeregisterRunner(id, b.now)
			b.replace()
		}
	}
	for _, id := range b.up() {
		b.report(id, b.running(b.s.runners[id])...)
	}
}

func (b *burst) run(d time.Duration, deadly func(job.Task) bool) {
	for until := b.now.Add(d); b.now < until; {
		b.step(deadly)
	}
}

func harmless(job.Task) bool { return false }

// TestBurstEndsLongRunningTask guards against a long-running task that is never
// started again, because its runners crashed with many others.
func TestBurstEndsLongRunningTask(t *testing.T) {
	b := newBurst(newFixture(t, 1), 24)
	id := b.job(1, job.Step{Count: 8, LongRunning: true, PerRunner: 1})
	b.run(time.Second, harmless)
	for range 23 {
		up := b.up()
		for _, i := range b.rnd.Perm(len(up))[:len(up)*2/5] {
			b.crash(up[i])
		}
		b.run(700*time.Millisecond, harmless)
	}
	b.run(restartLimit, harmless)
	if got := b.outcome(id); got != job.Open {
		t.Fatalf("outcome of the job %v, want open", got)
	}
	for _, x := range b.s.jobs[id].occs[0].steps[0].tasks {
		if !x.live() {
			t.Errorf("task %s has no run %v after the last crash, record %+v", x.name, restartLimit, x.crashes)
		}
	}
}

// TestBurstEndsBatchTask guards against a job that fails because its starts were lost with
// their runners, which crashed with many others before they confirmed them.
func TestBurstEndsBatchTask(t *testing.T) {
	b := newBurst(newFixture(t, 1), 24)
	b.run(4*time.Second, harmless)
	id := b.job(1, job.Step{})
	x := b.s.jobs[id].task(job.Task{Job: id})
	lost := 0
	b.lose = func() { lost++ }
	for i := range 200 {
		if up := b.up(); i%20 == 0 {
			for _, k := range b.rnd.Perm(len(up))[:4] {
				b.crash(up[k])
			}
		}
		b.step(harmless)
	}
	if got := b.outcome(id); got != job.Open || lost == 0 {
		t.Fatalf("outcome %v after %d lost starts, record %+v, want open", got, lost, x.crashes)
	}
	b.lose = nil
	b.run(restartLimit, harmless)
	if !x.live() {
		t.Errorf("no run %v after the last crash, record %+v", restartLimit, x.crashes)
	}
}

// TestUnknownStartsEndLongRunningTask guards against a long-running task that is
// never started again because of starts of which nothing is known, though a single
// runner crashed under it.
func TestUnknownStartsEndLongRunningTask(t *testing.T) {
	for _, count := range []int{1, 4} {
		b := newBurst(newFixture(t, 1), 6)
		id := b.job(1, job.Step{Count: count, LongRunning: true, PerRunner: 1})
		b.run(time.Second, harmless)
		x := b.s.jobs[id].task(job.Task{Job: id})
		b.crash(x.runs[0].runner.ID)
		for lost := 0; lost < 3; {
			for _, c := range ofKind(b.plan(), StartRun) {
				if c.Task != x.name {
					b.accept([]Command{c})
					continue
				}
				b.crash(c.To.ID)
				b.loseReply(c)
				lost++
			}
			b.step(harmless)
			if b.outcome(id) != job.Open {
				t.Fatalf("%d tasks: outcome %v after %d lost starts, record %+v, want open", count, b.outcome(id), lost, x.crashes)
			}
			if b.now > 1100*second {
				t.Fatalf("%d tasks: not started again after %d lost starts, record %+v", count, lost, x.crashes)
			}
		}
		b.run(restartLimit, harmless)
		if !x.live() {
			t.Errorf("%d tasks: no run %v after the last start, record %+v", count, restartLimit, x.crashes)
		}
	}
}

// TestDeadlyTaskInBurst guards against a long-running task that crashes its runners
// and is started without limit, because other runners crash as well.
func TestDeadlyTaskInBurst(t *testing.T) {
	for _, count := range []int{1, 4} {
		b := newBurst(newFixture(t, 1), 24)
		id := b.job(1, job.Step{Count: count, LongRunning: true, PerRunner: 1})
		b.run(4*time.Second, harmless)
		starts := 0
		deadly := func(name job.Task) bool {
			if name.Index == 0 {
				starts++
			}
			return name.Index == 0
		}
		for range 20 {
			up := b.up()
			for _, i := range b.rnd.Perm(len(up))[:len(up)/4] {
				b.crash(up[i])
			}
			b.run(700*time.Millisecond, deadly)
		}
		b.run(time.Minute, deadly)
		if starts < 2 || starts > 5 {
			t.Errorf("%d tasks: the deadly one was started %d times, want two to five", count, starts)
		}
		for _, x := range b.s.jobs[id].occs[0].steps[0].tasks[1:] {
			if !x.live() {
				t.Errorf("task %s, which crashes no runner, has no run, record %+v", x.name, x.crashes)
			}
		}
	}
}

// TestSecondStartAwaitsStablePool guards against a long-running task under which a single
// runner crashed and that waits until its pool loses no more of them.
func TestSecondStartAwaitsStablePool(t *testing.T) {
	b := newBurst(newFixture(t, 1), 24)
	b.run(4*time.Second, harmless)
	id := b.job(1, job.Step{LongRunning: true})
	b.step(harmless)
	x := b.s.jobs[id].task(job.Task{Job: id})
	on := x.runs[0].runner.ID
	for _, other := range b.up() {
		if other != on && len(b.down) < 8 {
			b.crash(other)
		}
	}
	b.crash(on)
	b.run(time.Second, harmless)
	if !x.live() || b.s.isStable("pool", b.now) {
		t.Errorf("runs %d, stable %t, want a run while the pool is not stable, record %+v", len(x.runs), b.s.isStable("pool", b.now), x.crashes)
	}
}

// TestFlappingRunner guards against a task that waits without end because one runner
// of the pool misses polls again and again.
func TestFlappingRunner(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a", "b", "c", "d", "e", "f", "g", "h")
	f.settle(100)
	for range 2 {
		f.s.PollFailed("a", f.now)
		f.settle(5)
		f.report("a")
	}
	lasting := f.job(1, job.Step{LongRunning: true})
	f.s.setCrashes(f.s.jobs[lasting].task(job.Task{Job: lasting}), crash.Record{Crashes: 1, Unresolved: 1, Suspect: true})
	for i := range lostPasses {
		if i%20 == 0 { // each 0.6 s
			f.s.PollFailed("a", f.now)
		}
		f.settle(1)
		f.report("a", f.running(f.s.runners["a"])...)
		if f.waitingTasks(lasting) == 0 {
			return
		}
	}
	t.Errorf("task not started in %v, unstable %t", lostBound, f.s.unstable["pool"])
}

// TestBurstKnownLate guards against a long-running job that ends because its suspect
// crashed with many other runners, if that is known only once no more are lost.
func TestBurstKnownLate(t *testing.T) {
	b := newBurst(newFixture(t, 1), 24)
	b.run(4*time.Second, harmless)
	id := b.job(1, job.Step{LongRunning: true})
	x := b.s.jobs[id].task(job.Task{Job: id})
	b.s.setCrashes(x, crash.Record{Crashes: 1, Immediate: 1, Suspect: true})
	for range 20 {
		b.step(harmless)
		if x.live() {
			break
		}
	}
	if !x.live() {
		t.Fatal("suspect not started")
	}
	for i, other := range b.up() {
		if i%2 == 0 || other == x.runs[0].runner.ID {
			b.crash(other)
			b.down[other] = b.now.Add(3 * time.Second)
		}
	}
	b.run(4*time.Second, harmless)
	if got := b.outcome(id); got != job.Open {
		t.Errorf("outcome %v, record %+v, want open", got, x.crashes)
	}
}

// TestLostIsolatedRunnersUncounted guards against a pool that counts as stable because the
// runners that it loses are isolated, though no suspect was started there.
func TestLostIsolatedRunnersUncounted(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a", "b", "c", "d", "e", "f", "g", "h", "i", "j")
	f.settle(100)
	js := f.s.jobs[f.job(1, job.Step{LongRunning: true, Count: 5, PerRunner: 1})]
	for _, id := range []runner.ID{"a", "b", "c", "d", "e"} {
		f.s.runners[id].isolated = js
	}
	for _, id := range []runner.ID{"a", "b", "c", "d", "f"} {
		f.s.PollFailed(id, f.now)
	}
	if f.s.isStable("pool", f.now) {
		t.Error("stable after the loss of 5 of 10 runners, 4 of them isolated")
	}
}

// TestBurstAtLastStart guards against a job that fails because the start that its task
// had waited for a stable pool with was lost in the next burst of crashes, before its
// runner confirmed it.
func TestBurstAtLastStart(t *testing.T) {
	b := newBurst(newFixture(t, 1), 24)
	b.run(4*time.Second, harmless)
	id := b.job(1, job.Step{})
	x := b.s.jobs[id].task(job.Task{Job: id})
	b.s.setCrashes(x, crash.Record{Crashes: 1, Immediate: 1, Suspect: true, Unresolved: 1})
	lost := 0
	b.lose = func() {
		if lost++; lost == 1 {
			for _, other := range b.up()[:10] {
				b.crash(other)
			}
		}
		b.lose = nil
	}
	b.run(4*time.Second, harmless)
	if got := b.outcome(id); got != job.Open || lost == 0 {
		t.Errorf("outcome %v after %d lost starts, record %+v: one runner has certainly crashed under the task", got, lost, x.crashes)
	}
}
