package main

import (
	"errors"
	"strings"
	"time"
)

func init() { cases["occurrence"] = occurrence }

// occurrence hands in a scheduled job whose policy allows the first time only on a
// runner that is in use, and the other times on the others. After these have run,
// the leader is stopped and started.
func occurrence(w *world, trouble bool) ([]string, error) {
	w.addMachines("svc", 3, resources{CPU: 16000, Mem: 32768})
	w.configure([]route{{Name: "r-a", Prefix: "/a/", Service: "svc", Attempts: 4}, {Name: "r-b", Prefix: "/b/", Service: "svc", Attempts: 4, Advice: true}}, "svc")
	if err := w.startDaemons(); err != nil {
		return nil, err
	}
	// A job that uses all of each runner, and one of them for longer.
	full := &jobSpec{ID: "000000000000000a", Prefix: "/a/", Spec: "x", Steps: []stepSpec{{Count: 3, CPU: 16000, Mem: 256, EstimateMS: 2000}}}
	long := full.ID + ".0.0.0"
	scheduled := &jobSpec{
		ID: "000000000000000b", Prefix: "/b/", Spec: "x", PeriodMS: 1000, Repeats: 4,
		Steps: []stepSpec{{Count: 2, CPU: 2000, Mem: 256, EstimateMS: 500}},
	}
	w.behavior = func(task string, _ int) (time.Duration, string) {
		if task == long {
			return 16 * time.Second, "done"
		}
		return time.Duration(w.spec(task).EstimateMS) * time.Millisecond, "done"
	}
	w.allowed = func(step, runner string) bool {
		xs := w.ledger.of(long)
		only := len(xs) > 0 && xs[0].Runner == runner
		return only == strings.HasPrefix(step, scheduled.ID+".0.")
	}
	if !w.submit(full, 10*time.Second) {
		return nil, errors.New("the first job is not accepted")
	}
	time.Sleep(time.Second)
	if len(w.ledger.of(long)) != 1 {
		return nil, errors.New("the first job does not run")
	}
	scheduled.FirstMS = time.Now().UnixMilli()
	if !w.submit(scheduled, 10*time.Second) {
		return nil, errors.New("the scheduled job is not accepted")
	}
	time.Sleep(7 * time.Second)
	if !w.ledger.isDone(scheduled.ID+".3.0.0") || w.ledger.isDone(scheduled.ID+".0.0.0") {
		return nil, errors.New("the later times have not run, or the first one has")
	}
	if trouble {
		d := w.leader()
		if d == nil {
			return nil, errors.New("there is no leader")
		}
		if err := d.restart(); err != nil {
			return nil, err
		}
	}
	for until := time.Now().Add(20 * time.Second); !w.ledger.isDone(long); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(until) {
			return nil, errors.New("the first job does not end")
		}
	}
	w.rec.add("the runner for the first time is free")
	time.Sleep(finishTime)
	w.rec.add("job is shown", "job", scheduled.ID, "state", w.state(scheduled, 3*time.Second))
	return w.lost([]*jobSpec{scheduled}), nil
}
