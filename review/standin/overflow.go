package main

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

func init() { cases["overflow"] = overflow }

const (
	finishTime = 14 * time.Second // finish_s
	// scheduledJob has very many due times.
	scheduledJob = "00000000000000ff"
)

// overflow hands in a scheduled job with many due times beside usual jobs of two
// steps.
func overflow(w *world, trouble bool) ([]string, error) {
	w.addMachines("svc", 6, resources{CPU: 16000, Mem: 32768})
	w.ledger.quiet = func(task string) bool { return strings.HasPrefix(task, scheduledJob) }
	w.configure([]route{{Name: "r-a", Prefix: "/a/", Service: "svc", Attempts: 4}, {Name: "r-b", Prefix: "/b/", Service: "svc", Attempts: 4}}, "svc")
	if err := w.startDaemons(); err != nil {
		return nil, err
	}
	repeats := 700
	if !trouble {
		repeats = 10
	}
	big := &jobSpec{
		ID: scheduledJob, Prefix: "/b/", Spec: "x", FirstMS: time.Now().UnixMilli(), PeriodMS: 100, Repeats: repeats,
		Steps: []stepSpec{{Count: 200, CPU: 10, Mem: 1, EstimateMS: 100}},
	}
	if !w.submit(big, 10*time.Second) {
		return nil, errors.New("the scheduled job is not accepted")
	}
	var jobs []*jobSpec
	for n := 1; n <= 66; n++ {
		j := &jobSpec{ID: fmt.Sprintf("%016x", n), Prefix: "/a/", Spec: "x", Steps: []stepSpec{
			{Count: 2, CPU: 500, Mem: 256, EstimateMS: 200}, {Count: 2, CPU: 500, Mem: 256, EstimateMS: 200, After: []int{0}},
		}}
		if w.submit(j, 900*time.Millisecond) {
			jobs = append(jobs, j)
		}
		time.Sleep(time.Second)
		if n%5 == 0 {
			w.ledger.mu.Lock()
			started := len(w.ledger.runs)
			w.ledger.mu.Unlock()
			w.rec.add("progress", "tasks started", started, "rejected", w.store.rejected)
		}
	}
	time.Sleep(finishTime)
	for _, j := range jobs {
		w.rec.add("job is shown", "job", j.ID, "state", w.state(j, time.Second))
	}
	return w.lost(jobs), nil
}
