package sched

import (
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// loseReply records that a command was sent and had no reply.
func (f *fixture) loseReply(c Command) bool {
	return f.s.HandleReply(&c, runner.Reply{}, false, true, f.now)
}

// startWithoutReply sends a start to runner "a", which is then full, loses its
// reply, shrinks the runner below it and returns the start.
func (f *fixture) startWithoutReply(step job.Step) Command {
	f.t.Helper()
	f.runner("a")
	f.job(1, step)
	starts := f.prepared(ofKind(f.plan(), StartRun))
	if len(starts) == 0 || !f.loseReply(starts[0]) {
		f.t.Fatalf("starts %v, want one that is repeated after it had no reply", starts)
	}
	f.accept(starts[1:])
	f.now += 5 * second
	f.resize("a", 500, 8000)
	return starts[0]
}

// pollFor plans and reports the given runs of a runner for a time, and returns
// the commands that are needed.
func (f *fixture) pollFor(d time.Duration, id runner.ID, runs ...runner.Run) []Command {
	var all []Command
	for end := f.now.Add(d); f.now < end; f.now = f.now.Add(100 * time.Millisecond) {
		f.report(id, runs...)
		commands := f.prepared(f.plan())
		for _, c := range ofKind(commands, StartRun) {
			f.loseReply(c)
		}
		f.accept(ofKind(commands, StopRun))
		all = append(all, commands...)
	}
	return all
}

// earlierReport lets a runner reply without runs to a poll that was sent a while
// ago.
func (f *fixture) earlierReport(id runner.ID) {
	f.now += second
	f.s.HandleReport(f.s.runners[id].target(), f.now.Add(-2*time.Second), f.now, &runner.Report{Incarnation: 1, Clock: clock.RunnerTime(f.now / clock.BootTime(time.Millisecond))})
}

// TestRepeatedStartOnShrunkRunner guards against a start without a reply that is
// repeated seconds later, when the runner has shrunk below it, to a runner that
// starts whatever it is told.
func TestRepeatedStartOnShrunkRunner(t *testing.T) {
	for name, silent := range map[string]bool{"reachable": false, "silent meanwhile": true} {
		t.Run(name, func(t *testing.T) {
			f := newCapacityFixture(t, 1, false)
			c := f.startWithoutReply(job1)
			if silent {
				f.s.PollFailed("a", f.now)
			}
			if got := f.prepared([]Command{c}); len(got) != 0 {
				t.Errorf("%v repeated to a runner that has shrunk below it", got)
			}
			f.now += second
			f.runner("b")
			commands := f.pollFor(4*time.Second, "a")
			starts, stops := ofKind(commands, StartRun), ofKind(commands, StopRun)
			if len(stops) != 1 || stops[0].Task != c.Task {
				t.Errorf("stops %v, want one of the run that the runner does not list", stops)
			}
			if len(starts) == 0 {
				t.Error("task not started on the other runner")
			}
			for _, x := range starts {
				if x.To.ID != "b" || x.Attempt != 2 {
					t.Errorf("%v sent, want only the next attempt on the other runner", x)
				}
			}
		})
	}
}

// TestWithheldStartFound guards against stopping a run, such as one of a
// long-running task, that began though its start had no reply.
func TestWithheldStartFound(t *testing.T) {
	f := newCapacityFixture(t, 1, false)
	c := f.startWithoutReply(job.Step{LongRunning: true, MaxUnavailable: 1})
	if got := f.prepared([]Command{c}); len(got) != 0 {
		t.Errorf("%v repeated to a runner that has shrunk below it", got)
	}
	f.runner("b")
	f.earlierReport("a")
	if got := f.pollFor(4*time.Second, "a", runner.Run{Task: c.Task, Attempt: 1, Percent: 100}); len(got) != 0 {
		t.Errorf("commands %v for a run that began", got)
	}
}

// TestWithheldStartAfterGrowth guards against a start that stays withheld, or is
// stopped, after the capacity has grown again.
func TestWithheldStartAfterGrowth(t *testing.T) {
	f := newCapacityFixture(t, 1, false)
	c := f.startWithoutReply(job1)
	f.prepared([]Command{c})
	f.earlierReport("a")
	f.resize("a", 4000, 8000)
	f.now += second
	f.report("a")
	if got := f.prepared(f.plan()); len(got) != 1 || got[0] != c {
		t.Fatalf("commands %v, want the start again", got)
	}
	f.loseReply(c)
	f.now += 5 * second
	f.resize("a", 500, 8000)
	if got := f.prepared([]Command{c}); len(got) != 0 {
		t.Errorf("%v repeated after the capacity has shrunk again", got)
	}
	f.earlierReport("a")
	if got := f.prepared(f.plan()); len(got) != 0 {
		t.Errorf("commands %v, though no poll sent later has shown that the run has not begun", got)
	}
	f.now += second
	f.report("a")
	if got := ofKind(f.plan(), StopRun); len(got) != 1 {
		t.Errorf("stops %v, want one of the run that a later poll does not list", got)
	}
}

// TestRepeatedStartOnEnforcingRunner guards against giving up a run that may have
// begun on a runner that rejects what does not fit.
func TestRepeatedStartOnEnforcingRunner(t *testing.T) {
	f := newCapacityFixture(t, 1, true)
	c := f.startWithoutReply(job1)
	if got := f.prepared([]Command{c}); len(got) != 1 {
		t.Errorf("commands %v, want the start again", got)
	}
}

// TestRepeatedGangStartOnShrunkRunner guards against gang members that wait for
// one whose repeated start is withheld until they end as incomplete.
func TestRepeatedGangStartOnShrunkRunner(t *testing.T) {
	f := newCapacityFixture(t, 1, false)
	c := f.startWithoutReply(job.Step{Count: 2, Gang: true})
	if got := f.prepared([]Command{c}); len(got) != 0 {
		t.Errorf("%v repeated to a runner that has shrunk below it", got)
	}
	if got := ofKind(f.plan(), StopRun); len(got) != 2 {
		t.Errorf("stops %v, want both members", got)
	}
}

// TestCutOffLeaderStartsNothing guards against starts by entries that a leader
// without the store no longer follows: a runner that starts whatever it is told
// may have shrunk since.
func TestCutOffLeaderStartsNothing(t *testing.T) {
	for name, c := range map[string]struct {
		enforced bool
		want     int
	}{"enforced": {true, 1}, "unenforced": {false, 0}} {
		t.Run(name, func(t *testing.T) {
			f := newCapacityFixture(t, 1, c.enforced)
			f.runner("a")
			f.job(1, job1)
			unsent := f.plan()
			f.job(2, job1)
			f.now = f.now.Add(4 * time.Second)
			f.report("a")
			if got := f.prepared(unsent); len(got) != c.want {
				t.Errorf("%v sent 4 s after the input was last current, want %d starts", got, c.want)
			}
			f.s.Plan(f.now, time.Unix(0, 0))
			planned := f.s.Commands()
			wantStarts(t, planned, c.want, "planned 4 s after the input was last current")
			f.accept(f.prepared(planned))
			f.plan()
			if n := len(f.s.runners["a"].runs); n != 2 {
				t.Errorf("%d runs after the store is back, want 2", n)
			}
		})
	}
}
