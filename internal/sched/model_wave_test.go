package sched

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"pgregory.net/rapid"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

const (
	// modelCordon bounds how long a runner is cordoned without a break while its machine
	// is up: a batch run of the fleet is short, and a drain in which a task cannot leave
	// is given up.
	modelCordon = 12 * time.Second
	// modelCalm is how long waves may take once nothing else happens.
	modelCalm = 70 * time.Second
)

// checkWaves runs waves for the machines of a fleet beside long-running jobs, crashes,
// silent runners and changes of the leader; weaken names a safeguard to leave out:
// "blocked", giving back a machine that cannot be emptied; "silent", waiting for silent
// runners of previous terms.
func checkWaves(t *rapid.T, tt *testing.T, weaken string) {
	f := newFleet(tt, rapid.IntRange(3, 6).Draw(t, "machines"))
	f.s.Logger = log.NewNopLogger()
	f.weaken = weaken
	f.s.Limits.Settle, f.s.Limits.MachineTakeover = time.Second, 2*time.Second
	pick := func() *fleetMachine { return rapid.SampledFrom(f.machines).Draw(t, "machine") }
	var lasting []job.ID
	for range rapid.IntRange(2, 12).Draw(t, "events") {
		switch rapid.SampledFrom([]string{"job", "job", "cancel", "wave", "wave", "leader", "crash", "silent"}).Draw(t, "event") {
		case "job":
			n := len(f.machines)
			lasting = append(lasting, f.submit(job.Step{
				Count: rapid.IntRange(1, n).Draw(t, "count"), PerRunner: rapid.IntRange(0, 2).Draw(t, "per runner"), MaxUnavailable: rapid.IntRange(0, 2).Draw(t, "may be away"),
				LongRunning: true, Resources: job.Resources{CPU: rapid.SampledFrom([]int{300, 1300, 2500}).Draw(t, "cpu"), Mem: 10},
			}))
		case "cancel":
			if len(lasting) > 0 {
				f.s.CancelJob(rapid.SampledFrom(lasting).Draw(t, "cancelled"), f.now)
			}
		case "wave":
			machines := f.machines[rapid.IntRange(0, len(f.machines)-1).Draw(t, "first"):]
			f.wave(len(f.waves)+1, rapid.IntRange(1, len(machines)).Draw(t, "cap"), time.Duration(rapid.IntRange(4, 40).Draw(t, "within"))*time.Second, machines...)
		case "leader":
			f.changeLeader()
		case "crash":
			if m := pick(); !m.downUntil.After(f.now) {
				m.incarnation, m.results, m.runs = m.incarnation+1, nil, make(map[job.Task]*fleetRun)
			}
		case "silent":
			pick().silentUntil = f.now + 2*second
		}
		f.run(time.Duration(rapid.IntRange(30, 5000).Draw(t, "ms")) * time.Millisecond)
	}
	since := make(map[runner.ID]time.Duration)
	for end := f.now.Add(modelCalm); f.now < end; {
		before := f.now
		f.run(time.Second / 2)
		for _, m := range f.machines {
			rs := f.s.runners[m.id]
			if since[m.id] += f.now.Sub(before); rs == nil || !rs.cordoned || m.downUntil.After(before) {
				since[m.id] = 0
			}
			if since[m.id] > modelCordon {
				t.Fatalf("runner %s is cordoned for %v with %d runs", m.id, since[m.id], len(m.runs))
			}
		}
	}
	for _, x := range f.faults {
		t.Fatal(x)
	}
	for _, w := range f.s.openWaves() {
		for _, m := range w.maintenances {
			if m.phase != returned && (m.phase != waiting || f.s.canTake(m, f.s.runnerOf(m.id), f.now)) {
				t.Fatalf("machine %s of wave %d is in phase %d after %v", m.id, w.Number, m.phase, modelCalm)
			}
		}
	}
}

// TestWavesEnd guards against runners that stay cordoned, waves that do not end although
// their machines can leave, and maintenances that the MaxUnavailable of a step or a wave
// does not allow, in any order of waves, crashes and leaders.
func TestWavesEnd(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) { checkWaves(r, t, "") })
}
