package sched

import (
	"net/netip"
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// replaced records that another runner replied at an address to a command for
// the runner with the given ID.
func (f *fixture) replaced(id runner.ID, addr netip.AddrPort) {
	f.s.RunnerReplaced(runner.Target{ID: id, Addr: addr}, f.now+1, f.now+1)
}

// reportOf lets an incarnation of a runner report the given runs, at the address
// of its next poll and in reply to one that was sent at the time sent.
func (f *fixture) reportOf(id runner.ID, incarnation runner.Incarnation, sent clock.BootTime, runs ...runner.Run) {
	f.s.HandleReport(f.s.runners[id].target(), sent, f.now, &runner.Report{Incarnation: incarnation, Clock: 1000, Running: runs})
}

// restart lets the next incarnation of a runner write its entry and report.
func (f *fixture) restart(id runner.ID, incarnation runner.Incarnation) {
	i := info(id, "pool")
	i.Incarnation = incarnation
	f.s.SetRunner(i, f.now)
	f.reportOf(id, incarnation, f.now)
}

// startOn starts a task of a new job on one of two runners and lets the runner
// report its run. It returns the start and the other runner.
func (f *fixture) startOn() (start Command, other runner.ID) {
	f.t.Helper()
	f.runner("a", "b")
	f.job(1, job.Step{LongRunning: true})
	starts := ofKind(f.plan(), StartRun)
	if len(starts) != 1 {
		f.t.Fatalf("commands %v, want one start", starts)
	}
	f.accept(starts)
	f.report(starts[0].To.ID, runner.Run{Task: starts[0].Task, Attempt: 1, Percent: 100})
	return starts[0], map[runner.ID]runner.ID{"a": "b", "b": "a"}[starts[0].To.ID]
}

// wantNoStart fails if a planning pass starts a task while it may run on a
// runner that is up.
func (f *fixture) wantNoStart(why string) {
	f.t.Helper()
	if got := ofKind(f.plan(), StartRun); len(got) != 0 {
		f.t.Errorf("%s: task %s started on %s while it runs on another runner", why, got[0].Task, got[0].To.ID)
	}
}

// TestEntryEndsLiveRunner guards against an entry of another writer, with a
// start time that is too high, that ends the runs of a runner which goes on.
func TestEntryEndsLiveRunner(t *testing.T) {
	f := newFixture(t, 1)
	start, _ := f.startOn()
	i := info(start.To.ID, "pool")
	i.Incarnation = 7
	f.s.SetRunner(i, f.now)
	f.wantNoStart("after an entry with a higher start time")
	f.report(start.To.ID, runner.Run{Task: start.Task, Attempt: 1, Percent: 100})
	f.wantNoStart("after a report of the live incarnation")
	f.job(2, job.Step{PerRunner: 1, Count: 2})
	if got := ofKind(f.plan(), StartRun); len(got) != 2 {
		t.Errorf("%d starts, want one on each runner: the live incarnation is ignored", len(got))
	}
}

// TestReplyAtOtherAddressEndsLiveRunner guards against an entry with the address
// of another runner, whose reply ends the runs of a runner that goes on.
func TestReplyAtOtherAddressEndsLiveRunner(t *testing.T) {
	f := newFixture(t, 1)
	start, _ := f.startOn()
	i := info(start.To.ID, "pool")
	i.Addr = netip.MustParseAddrPort("127.0.0.1:10")
	f.s.SetRunner(i, f.now)
	f.replaced(start.To.ID, i.Addr)
	f.wantNoStart("after another runner replied at an address where this one never did")
}

// TestLateReplyEndsNextIncarnation guards against a reply from the address of an
// earlier incarnation that ends the runs of the present one.
func TestLateReplyEndsNextIncarnation(t *testing.T) {
	f := newFixture(t, 1)
	start, _ := f.startOn()
	old := info(start.To.ID, "pool").Addr
	i := info(start.To.ID, "pool")
	i.Incarnation, i.Addr = 2, netip.MustParseAddrPort("127.0.0.1:11")
	f.s.SetRunner(i, f.now)
	f.replaced(start.To.ID, old) // the earlier incarnation has ended
	f.reportOf(start.To.ID, 2, f.now, runner.Run{Task: start.Task, Attempt: 2, Percent: 100})
	f.replaced(start.To.ID, old) // the reply to a stop that was repeated there
	f.wantNoStart("after a reply at the address of an earlier incarnation")
}

// TestLateReplyAtSameAddress guards against a reply of another runner that ends the
// runs of an incarnation which started at that address later.
func TestLateReplyAtSameAddress(t *testing.T) {
	f := newFixture(t, 1)
	start, _ := f.startOn()
	sent := f.now
	f.replaced(start.To.ID, start.To.Addr)
	i := info(start.To.ID, "pool")
	i.Incarnation = 2
	f.s.SetRunner(i, f.now)
	f.now += second
	f.reportOf(start.To.ID, 2, f.now, runner.Run{Task: start.Task, Attempt: 2, Percent: 100})
	f.s.RunnerReplaced(start.To, sent, f.now) // the reply to a stop that was sent before
	f.wantNoStart("after a reply of the runner that had the address before")
}

// TestStartCarriedOutByNextIncarnation guards against a task that is started
// elsewhere while the next incarnation of its runner may carry out the start
// that was meant for the previous one.
func TestStartCarriedOutByNextIncarnation(t *testing.T) {
	for _, c := range []struct {
		name  string
		reply func(f *fixture, c Command)
	}{
		{"without reply", func(f *fixture, c Command) { f.s.HandleReply(&c, runner.Reply{}, false, true, f.now) }},
		{"in flight", func(*fixture, Command) {}},
		{"confirmed after the poll was sent", func(f *fixture, c Command) { f.accept([]Command{c}) }},
		{"repeated and then confirmed", func(f *fixture, c Command) {
			f.s.HandleReply(&c, runner.Reply{}, false, true, f.now-second)
			f.s.HandleReply(&c, runner.Reply{}, true, true, f.now-second)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.runner("a", "b")
			f.job(1, job1)
			start := ofKind(f.plan(), StartRun)[0]
			sent := f.now
			f.now += second
			c.reply(f, start)
			f.reportOf(start.To.ID, 2, sent)
			f.s.RosterStored(f.s.Roster(f.now, false))
			commands := f.plan()
			if got := ofKind(commands, StartRun); len(got) != 0 {
				t.Fatalf("started on %s before the start on %s was stopped", got[0].To.ID, start.To.ID)
			}
			stops := ofKind(commands, StopRun)
			if len(stops) != 1 || stops[0].To.ID != start.To.ID || stops[0].Attempt != start.Attempt {
				t.Fatalf("commands %v, want a stop of the start", commands)
			}
			f.accept(stops)
			f.now += second
			f.reportOf(start.To.ID, 2, f.now)
			if got := f.settle(5); len(got) != 1 || got[0].Attempt <= start.Attempt {
				t.Errorf("commands %v, want a start with a higher attempt", got)
			}
		})
	}
}

// TestFormerLeaderUsesNextIncarnation guards against a leader that has lost its
// key and starts tasks on an incarnation which the present leader may not know:
// that one has forgotten the fence.
func TestFormerLeaderUsesNextIncarnation(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a")
	f.restart("a", 2)
	f.job(1, job1)
	if got := ofKind(f.plan(), StartRun); len(got) != 0 {
		t.Fatalf("%s started on an incarnation that the stored roster does not name", got[0].Task)
	}
	f.s.RosterStored(f.s.Roster(f.now, false))
	if got := ofKind(f.plan(), StartRun); len(got) != 1 {
		t.Errorf("%d starts after the roster was stored, want 1", len(got))
	}
}

// TestRestartAcrossTerms guards against a runner whose entry is ignored because
// it started again between two terms.
func TestRestartAcrossTerms(t *testing.T) {
	f := newFixture(t, 2)
	f.s.InheritRoster([]RosterEntry{{ID: "a", Addr: info("a", "pool").Addr, Incarnation: 1}})
	i := info("a", "pool")
	i.Incarnation = 2
	f.s.SetRunner(i, f.now)
	f.reportOf("a", 2, f.now)
	f.s.RosterStored(f.s.Roster(f.now, false))
	f.job(1, job1)
	if got := ofKind(f.plan(), StartRun); len(got) != 1 {
		t.Errorf("%d starts on the runner that started again, want 1", len(got))
	}
}

// TestStopOfStartInFlightForgotten guards against a task that is started again
// while the next incarnation of its runner may carry out its start, which was
// being stopped on the previous one.
func TestStopOfStartInFlightForgotten(t *testing.T) {
	for _, confirmed := range []bool{false, true} {
		f := newFixture(t, 1)
		f.runner("a", "b")
		f.job(1, job1)
		start := ofKind(f.plan(), StartRun)[0]
		f.s.stop(f.s.findRun(&start), "test")
		stops := f.s.Commands()
		if confirmed {
			f.accept(stops)
		}
		f.now += second
		f.reportOf(start.To.ID, 2, f.now)
		f.s.RosterStored(f.s.Roster(f.now, false))
		commands := f.plan()
		if got := ofKind(commands, StartRun); len(got) != 0 {
			t.Errorf("stop confirmed %t: started on %s before the start on %s was stopped", confirmed, got[0].To.ID, start.To.ID)
		}
		if got := ofKind(commands, StopRun); len(got) != 1 {
			t.Errorf("stop confirmed %t: %d stops at the next incarnation, want 1", confirmed, len(got))
		}
	}
}

// TestStopReplyOfPreviousIncarnation guards against a reply to a stop on the
// previous incarnation that counts as the stop of a start which the next one may
// carry out.
func TestStopReplyOfPreviousIncarnation(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a", "b")
	f.job(1, job1)
	start := ofKind(f.plan(), StartRun)[0]
	f.s.HandleReply(&start, runner.Reply{}, false, true, f.now)
	f.s.stop(f.s.findRun(&start), "test")
	stops := f.s.Commands()
	f.now += second
	f.reportOf(start.To.ID, 2, f.now)
	f.s.RosterStored(f.s.Roster(f.now, false))
	if _, needed := f.s.Prepare(&stops[0], f.now); needed {
		t.Error("the stop on the previous incarnation is repeated")
	}
	f.accept(stops)
	f.now += second
	f.reportOf(start.To.ID, 2, f.now)
	if got := ofKind(f.plan(), StartRun); len(got) != 0 {
		t.Errorf("started on %s: the next incarnation has confirmed no stop", got[0].To.ID)
	}
}

// TestUnknownRosterClosesRunners guards against runners that are not used and
// whose leases expire while it is not known whether a roster has been stored,
// though both rosters have them open.
func TestUnknownRosterClosesRunners(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a")
	f.s.RosterUnknown()
	f.now += second
	f.report("a")
	p, _ := f.s.Poll("a", f.now)
	if want := f.s.runners["a"].clock.RunnerTime.Add(f.s.Limits.MaxRunnerLease); p.LeaseUntil < want {
		t.Errorf("lease until %d, want %d", p.LeaseUntil, want)
	}
	f.job(1, job1)
	if got := ofKind(f.plan(), StartRun); len(got) != 1 {
		t.Errorf("%d starts, want 1", len(got))
	}
	f.reportOf("a", 2, f.now)
	f.job(2, job1)
	if got := ofKind(f.plan(), StartRun); len(got) != 0 {
		t.Errorf("%s started on an incarnation that no roster names", got[0].Task)
	}
}

// polled returns the addresses of the next polls of a runner, which all fail.
func (f *fixture) polled(id runner.ID) map[netip.AddrPort]bool {
	addrs := make(map[netip.AddrPort]bool)
	for range 6 {
		p, ok := f.s.Poll(id, f.now)
		if !ok {
			f.t.Fatalf("runner %s is not polled", id)
		}
		addrs[p.To.Addr] = true
		f.now += second
		f.s.PollFailed(id, f.now)
	}
	return addrs
}

// TestReplyDropsLaterEntry guards against a runner that is never polled again:
// the entry of an incarnation was read before a late reply of an earlier one.
func TestReplyDropsLaterEntry(t *testing.T) {
	for _, replied := range []bool{false, true} {
		f := newFixture(t, 1)
		f.s.SetRunner(info("a", "pool"), f.now)
		if replied {
			f.report("a")
		}
		p, _ := f.s.Poll("a", f.now)
		i := info("a", "pool")
		i.Incarnation, i.Addr = 3, netip.MustParseAddrPort("127.0.0.1:10")
		f.s.SetRunner(i, f.now)
		f.s.HandleReport(p.To, f.now, f.now+1, &runner.Report{Incarnation: 2, Clock: 1000})
		if got := f.polled("a"); !got[i.Addr] {
			t.Errorf("replied before %t: only %v polled, not the address of the entry", replied, got)
		}
	}
}

// TestRosterAddressHidesEntry guards against a runner that is never reached: it
// started again at another address beside an update from a version whose roster
// names no incarnation.
func TestRosterAddressHidesEntry(t *testing.T) {
	f := newFixture(t, 2)
	f.s.InheritRoster([]RosterEntry{{ID: "a", Addr: info("a", "pool").Addr}})
	i := info("a", "pool")
	i.Incarnation, i.Addr = 2, netip.MustParseAddrPort("127.0.0.1:10")
	f.s.SetRunner(i, f.now)
	if got := f.polled("a"); !got[i.Addr] {
		t.Errorf("only %v polled, not the address of the entry", got)
	}
}

// TestLowerStartTimeIgnored guards against a runner that is never used again
// because its clock was set back before it started again.
func TestLowerStartTimeIgnored(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a")
	f.restart("a", 5)
	f.now += second
	f.s.PollFailed("a", f.now)
	f.restart("a", 3)
	f.restart("a", 3)
	f.s.RosterStored(f.s.Roster(f.now, false))
	f.job(1, job1)
	if got := ofKind(f.plan(), StartRun); len(got) != 1 {
		t.Errorf("%d starts on the runner that started again, want 1", len(got))
	}
	f.now += second
	f.s.HandleReport(f.s.runners["a"].target(), f.now-2*second, f.now, &runner.Report{Incarnation: 2, Clock: 1000})
	if got := f.s.runners["a"].Incarnation; got != 3 {
		t.Errorf("incarnation %d after a late reply of an earlier one, want 3", got)
	}
}

// TestRunnerUnusedWhileAnnounced guards against a runner that is given no run because
// another writer stores an entry of a later incarnation again and again, more often
// than an idle runner replies.
func TestRunnerUnusedWhileAnnounced(t *testing.T) {
	f := newFixture(t, 1)
	f.runner("a")
	other := info("a", "pool")
	other.Incarnation = 2
	lasting := job.ID("")
	sent := f.now
	for i := range lostPasses {
		if f.now.Sub(sent) >= idlePollWait {
			f.s.HandleReport(f.s.runners["a"].target(), sent, f.now, &runner.Report{Incarnation: 1, Clock: clock.RunnerTime(f.now / clock.BootTime(time.Millisecond))})
			sent = f.now
		}
		if i%30 == 0 {
			f.s.SetRunner(other, f.now)
		}
		if i == 1 {
			lasting = f.job(1, job.Step{LongRunning: true})
		}
		f.accept(f.plan())
		if i > 1 && f.waitingTasks(lasting) == 0 {
			return
		}
	}
	t.Errorf("the long-running task waits %v for a runner that replies", lostBound)
}
