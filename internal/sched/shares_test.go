package sched

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/go-kit/log"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/kv"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

const (
	replayRunTime = 800 * time.Millisecond
	replayWeight  = 2 // of the workspace that surges; the others have 1
)

// shareReplay replays the jobs of 20 workspaces in one pool.
type shareReplay struct {
	*fixture
	jobs []*jobState
	ends []replayEnd
}

// replayEnd is when a run ends.
type replayEnd struct {
	at      clock.BootTime
	command Command
}

// newShareReplay gives the first workspace replayWeight times the weight of the others.
func newShareReplay(t *testing.T, weight float64) *shareReplay {
	p := &shareReplay{fixture: newFixture(t, 1)}
	p.s.Logger = log.NewNopLogger()
	var ws []*job.Workspace
	for i := range 20 {
		ws = append(ws, &job.Workspace{Name: fmt.Sprint("w", i), Weight: weight})
	}
	ws[0].Weight *= replayWeight
	p.s.Configure(job.NewConfig(2, []*job.Queue{
		{Name: "urgent", Service: "pool", MaxAttempts: 3, Stretch: 1.6, Target: 600 * time.Millisecond},
		{Name: "work", Service: "pool", MaxAttempts: 3, Priority: 1, Stretch: 1.6, Target: 600 * time.Millisecond},
	}, []*job.Service{{Name: "pool"}}, job.Limits{}, ws...))
	p.runner("a", "b", "c", "d", "e", "f", "g", "h", "i")
	return p
}

// submit adds a job of a workspace; that of the first goes to the urgent queue.
func (p *shareReplay) submit(workspace int) {
	id, queue := job.ID(fmt.Sprintf("%016x", len(p.jobs)+1)), "work"
	if workspace == 0 {
		queue = "urgent"
	}
	p.s.AddJob(&job.Job{ID: id, Queue: queue, Service: "pool", Workspace: fmt.Sprint("w", workspace), Accepted: time.Unix(0, 0), Steps: []job.Step{
		{Count: 2, Resources: job.Resources{CPU: 1000, Mem: 1}, Estimate: replayRunTime},
	}}, 100, nil, 0, p.now, time.Unix(0, 0))
	p.jobs = append(p.jobs, p.s.jobs[id])
}

// pass runs one planning pass, and fails if a task waits while a runner has room.
func (p *shareReplay) pass() {
	starts := ofKind(p.plan(), StartRun)
	p.accept(starts)
	for _, c := range starts {
		p.ends = append(p.ends, replayEnd{p.now.Add(replayRunTime), c})
	}
	if largestFree(p.s.byPool["pool"]).CPU >= 1000 {
		for _, js := range p.s.open["pool"] {
			if js.occs[0].steps[0].idle > 0 {
				p.t.Fatalf("job %s of %s waits while a runner has room", js.def.ID, js.def.Workspace)
			}
		}
	}
	ended := make(map[job.Task]bool)
	p.ends = slices.DeleteFunc(p.ends, func(e replayEnd) bool {
		if e.at.After(p.now) {
			return false
		}
		p.end(e.command.To.ID, e.command.Task, e.command.Attempt, runner.Done)
		ended[e.command.Task] = true
		return true
	})
	p.flush()
	for id, rs := range p.s.runners {
		p.report(id, slices.DeleteFunc(p.running(rs), func(r runner.Run) bool { return ended[r.Task] })...)
	}
}

// run replays 20 s. In a surge, the first workspace sends 6.7 times its weight for 6 s. It
// returns how many of its jobs met their objective, and the share of the others' jobs.
func (p *shareReplay) run(surge bool) (first int, others float64) {
	start, due := p.now, make([]float64, 20)
	for p.now < start+20*second {
		at := time.Duration(p.now - start).Seconds()
		for i := range due {
			rate := 1.0
			if i == 0 {
				rate = replayWeight
				if surge && at > 4 && at < 10 {
					rate *= 6.7
				}
			}
			for ; at < 14 && due[i]+float64(i)/20 <= at; due[i] += 1 / rate {
				p.submit(i)
			}
		}
		p.pass()
	}
	met, all := 0.0, 0.0
	for _, js := range p.jobs {
		ok := js.outcome == job.Completed && js.closed.Sub(js.acceptedAt) <= js.terms.Objective(js.chain)
		switch {
		case js.def.Workspace != "w0":
			all++
			if ok {
				met++
			}
		case ok:
			first++
		}
	}
	return first, met / all
}

// TestSurgeYields guards against a surge of one workspace that costs others, which stay
// within their weights, their objectives; against one that costs the workspace its own
// share; and against capacity that is left idle for the others.
func TestSurgeYields(t *testing.T) {
	for _, weight := range []float64{1, 0} {
		_, before := newShareReplay(t, weight).run(false)
		first, with := newShareReplay(t, weight).run(true)
		t.Logf("weight %v: the others met %.3f of their objectives without the surge, %.3f with it; the first met %d", weight, before, with, first)
		if lost := before - with; lost > 0.05 == (weight > 0) {
			t.Errorf("weight %v: the surge costs the others %.3f of their objectives; at most 0.05 expected: %t", weight, lost, weight > 0)
		}
		if first < 14*replayWeight {
			t.Errorf("weight %v: the first met %d objectives, want at least the %d of its weight", weight, first, 14*replayWeight)
		}
	}
}

// submitAt adds a job of a queue and workspace of the replay.
func (f *fixture) submitAt(n int, workspace string, accepted, wall time.Time) *jobState {
	id := job.ID(fmt.Sprintf("%016x", n))
	f.s.AddJob(&job.Job{ID: id, Queue: "work", Service: "pool", Workspace: workspace, Accepted: accepted, Steps: []job.Step{{Count: 1}}}, 100+kv.Revision(n), nil, 0, f.now, wall)
	return f.s.jobs[id]
}

// TestNextLeaderTags guards against a new leader that takes other jobs for those beyond a
// share than the previous one, and against the state of a workspace that is gone.
func TestNextLeaderTags(t *testing.T) {
	first, next := newShareReplay(t, 1).fixture, newShareReplay(t, 1).fixture
	next.s.Term = 1000
	const jobs, interval = 90, 150 * time.Millisecond
	wall, names := time.Unix(1000, 0), []string{"w1", "w2", ""}
	for n := range jobs {
		first.now = first.now.Add(interval)
		at := wall.Add(time.Duration(n) * interval)
		first.submitAt(n, names[n%3], at, at)
	}
	next.now = first.now
	beyond := 0
	for n := jobs - 1; n >= 0; n-- { // read in another order
		next.submitAt(n, names[n%3], wall.Add(time.Duration(n)*interval), wall.Add((jobs-1)*interval))
	}
	for id, js := range first.s.jobs {
		got, want := next.s.beyondShare(next.s.jobs[id], next.now), first.s.beyondShare(js, first.now)
		if got != want {
			t.Errorf("job %s beyond its share: %t for the next leader, %t for the first", id, got, want)
		}
		if want {
			beyond++
		}
	}
	if got := next.s.workspacesBeyondShare(next.now); beyond < 10 || !slices.Equal(got, names[:2]) {
		t.Errorf("%d jobs and the workspaces %v are beyond their share, want 10 and w1 and w2", beyond, got)
	}
	if got := next.s.workspacesBeyondShare(next.now + 2*second); len(got) > 0 {
		t.Errorf("workspaces %v are still beyond their share after 2 s", got)
	}
	for id, js := range next.s.jobs {
		next.s.RemoveExpired([]ExpiredJob{{ID: id, Created: js.created}})
	}
	next.s.Configure(job.NewConfig(3, nil, nil, job.Limits{}))
	next.now += 10 * second
	next.plan()
	if got := next.s.lines.Len(); got > 0 {
		t.Errorf("tags of %d workspaces that are gone are kept", got)
	}
}

// TestNextLeaderOldJobs guards against a new leader that puts jobs of a workspace at its
// weight beyond the share because they have been open for longer than maxJobAge.
func TestNextLeaderOldJobs(t *testing.T) {
	f := newShareReplay(t, 1).fixture
	f.s.Term = 1000
	const jobs = 300
	wall, beyond := time.Unix(1000, 0), 0
	for n := range jobs {
		f.submitAt(n, "w1", wall.Add(time.Duration(n-jobs)*time.Second), wall)
	}
	for _, js := range f.s.jobs {
		if f.s.beyondShare(js, f.now) {
			beyond++
		}
	}
	if beyond > 0 {
		t.Errorf("%d of %d jobs at the weight are beyond the share", beyond, jobs)
	}
}

// TestClockJump guards against a jump of the wall clock that puts the jobs of a workspace
// beyond its share for longer than maxReadLag.
func TestClockJump(t *testing.T) {
	f := newShareReplay(t, 1).fixture
	wall, beyond := time.Unix(1000, 0), 0
	for n := range 40 {
		f.now += second
		wall = wall.Add(time.Second)
		jump := []time.Duration{0, -50 * time.Second, time.Hour}[n/14]
		if f.s.beyondShare(f.submitAt(n, "w1", wall.Add(jump), wall), f.now) {
			beyond++
		}
	}
	if beyond > 5 {
		t.Errorf("%d of 40 jobs at the weight are beyond the share, want at most 5", beyond)
	}
}
