package crash

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/modeltest"
)

// The model starts the tasks of jobs on runners. Some tasks crash each runner
// that starts them; no runner crashes by itself. Leaders end, before they store
// a crash, while a start is on its way, or before they send it. The next one resolves
// the starts that were counted for runners which are still up. It checks that a deadly
// task is not started a third time after three crashes, and that no other job is given up.

const (
	modelStarts      = 2 // starts that are allowed after the third crash
	modelCrashes     = 3
	modelUnseen      = 2 // crashes of a task that no leader sees before it is suspected
	modelJobs        = 6
	modelRunners     = 3
	modelDeadlyAfter = 30 * time.Millisecond
)

type modelTask struct {
	id      job.ID
	deadly  bool
	record  Record // of the present leader
	stored  Record
	on      int // runner, or -1
	since   clock.BootTime
	counted bool         // the start of the run is unresolved
	starts  []modelStart // that are counted and may be resolved by a later leader
	crashes int          // by the runners' count
	unseen  int
	late    int // starts after the third crash
	ended   bool
}

// modelStart is a start that was counted for an incarnation of a runner.
type modelStart struct{ on, incarnation int }

type model struct {
	t        *rapid.T
	now      clock.BootTime
	tasks    []*modelTask
	isolated [modelRunners]*modelTask // the suspect for which a runner is kept
	present  [modelRunners]int        // incarnations of the runners
	weakest  string
}

func (m *model) runs(on int) []*modelTask {
	var ts []*modelTask
	for _, x := range m.tasks {
		if x.on == on && !x.ended {
			ts = append(ts, x)
		}
	}
	return ts
}

// allowed reports whether a task may be started on a runner, by the rules that
// the package comment states.
func (m *model) allowed(x *modelTask, on int) bool {
	if m.weakest == "isolation" {
		return true
	}
	if t := m.isolated[on]; t != nil && t != x {
		if t.on == on && IsFresh(t.since, m.now) {
			return false
		}
		m.isolated[on] = nil
	}
	if !x.record.Suspect {
		return true
	}
	for _, o := range m.runs(on) {
		if IsFresh(o.since, m.now) {
			return false
		}
	}
	return true
}

func (m *model) start(t *rapid.T) {
	x := rapid.SampledFrom(m.tasks).Draw(t, "task")
	on := rapid.IntRange(0, modelRunners-1).Draw(t, "runner")
	if x.ended || x.on >= 0 || !m.allowed(x, on) {
		return
	}
	if x.record.Suspect {
		if x.record.Exhausted() {
			m.giveUp(x)
			return
		}
		if m.weakest != "unresolved" {
			x.record.Unresolved++
			x.stored, x.counted = x.record, true
			x.starts = append(x.starts, modelStart{on, m.present[on]})
		}
		if rapid.IntRange(0, 4).Draw(t, "leader ends before the start") == 0 {
			m.nextLeader()
			return
		}
		m.isolated[on] = x
	}
	x.on, x.since = on, m.now
	if x.deadly && x.crashes >= modelCrashes {
		if x.late++; x.late > modelStarts {
			m.t.Fatalf("task %s started %d times after %d crashes, record %+v", x.id, x.late, x.crashes, x.record)
		}
	}
	if x.deadly {
		m.crash(on, rapid.IntRange(0, 4).Draw(t, "leader ends") == 0, rapid.Bool().Draw(t, "confirmed"))
	}
}

// crash lets a runner crash after the start of a deadly task, which the leader
// sees unless it ends before.
func (m *model) crash(on int, unseen, confirmed bool) {
	runs := m.runs(on)
	counted := make(map[*modelTask]bool)
	for _, x := range runs {
		counted[x] = x.counted
		x.on, x.counted = -1, false
		x.crashes++
		if unseen = unseen && (x.record.Suspect || x.unseen < modelUnseen || !x.deadly); !unseen {
			continue
		}
		if !x.record.Suspect {
			x.unseen++
		}
	}
	m.isolated[on] = nil
	m.present[on]++
	heard := m.now
	m.now = m.now.Add(modelDeadlyAfter)
	if unseen {
		m.nextLeader()
		return
	}
	var rs []Run
	for _, x := range runs {
		r := Run{Record: x.record, Job: x.id, ConfirmedAt: x.since, Counted: counted[x]}
		if x.since == heard && !confirmed {
			r.ConfirmedAt = 0
		}
		rs = append(rs, r)
	}
	for i, v := range Charge(rs, heard) {
		x := runs[i]
		x.starts = nil // the leader knows that this incarnation has ended
		if m.weakest == "unconfirmed" && rs[i].ConfirmedAt == 0 {
			v.Unresolved = 0
		}
		x.record = v.Record
		if m.weakest != "stored" {
			x.stored = v.Record
		}
		if v.GiveUp || m.weakest == "alone" && v.Charged && v.Crashes >= MaxCrashes {
			m.giveUp(x)
		}
	}
}

// nextLeader lets a leader follow that finds the stored records, and that every runner
// replies to.
func (m *model) nextLeader() {
	for _, x := range m.tasks {
		x.record = x.stored
		x.record.Immediate = x.record.Crashes // which is not stored
		for _, st := range x.starts {
			if m.weakest != "unsent" && (m.present[st.on] == st.incarnation || m.weakest == "incarnation") {
				x.record.Unresolved--
			}
		}
		x.starts, x.counted = nil, false
		x.stored = x.record
	}
}

func (m *model) giveUp(x *modelTask) {
	x.ended = true
	if !x.deadly && x.crashes < MaxSharedCrashes {
		m.t.Fatalf("task %s, which crashes no runner, given up with record %+v after %d crashes", x.id, x.record, x.crashes)
	}
}

// finish lets a run end with a result, which clears its task.
func (m *model) finish(t *rapid.T) {
	x := rapid.SampledFrom(m.tasks).Draw(t, "task")
	if x.on < 0 || x.ended || m.now.Sub(x.since) < modelDeadlyAfter {
		return
	}
	x.ended = true
}

func (m *model) pass(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(5, 300).Draw(t, "ms")) * time.Millisecond)
	for _, x := range m.tasks {
		if x.on >= 0 && x.counted && !IsFresh(x.since, m.now) {
			x.record = x.record.WentOn()
			x.stored, x.counted, x.starts = x.record, false, nil
		}
	}
}

// checkModel runs the model; weakest names a safeguard to leave out: "isolation",
// starting suspects apart; "stored", storing a record before the task is started
// again; "unresolved", counting the starts of suspects; "unconfirmed", counting the
// starts that were not confirmed; "alone", giving up only a task that had been
// started alone; "unsent", resolving the starts on runners that are up; "incarnation",
// resolving only these.
func checkModel(weakest string) func(*rapid.T) {
	return func(t *rapid.T) {
		m := &model{t: t, now: clock.BootTime(100 * time.Second), weakest: weakest}
		for i := range modelJobs {
			m.tasks = append(m.tasks, &modelTask{id: job.ID(fmt.Sprint(i)), deadly: i < 2, on: -1})
		}
		t.Repeat(map[string]func(*rapid.T){
			"start": m.start, "start2": m.start, "start3": m.start, "finish": m.finish, "pass": m.pass,
		})
	}
}

// TestDeadlyTaskStartedAgain guards against a task that crashes runner after
// runner, and against a job that fails for the crashes of another one, also where
// leaders end before they have seen a crash.
func TestDeadlyTaskStartedAgain(t *testing.T) {
	rapid.Check(t, checkModel(""))
}

// TestModelFindsFaults guards against a model that checks nothing: it must fail
// when a safeguard is left out.
func TestModelFindsFaults(t *testing.T) {
	models := make(map[string]func(*rapid.T))
	for _, weakest := range []string{"isolation", "stored", "unresolved", "unconfirmed", "alone", "unsent", "incarnation"} {
		models[weakest] = checkModel(weakest)
	}
	modeltest.MustFail(t, models)
}
