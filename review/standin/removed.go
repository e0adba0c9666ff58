package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { cases["removed"] = removed }

// removed drops the route of a job that runs and adds it again. The first run of
// the job's task fails in the meantime.
func removed(w *world, trouble bool) ([]string, error) {
	w.addMachines("svc", 4, resources{CPU: 16000, Mem: 32768})
	a, b := route{Name: "r-a", Prefix: "/a/", Service: "svc", Attempts: 4}, route{Name: "r-b", Prefix: "/b/", Service: "svc", Attempts: 4}
	w.configure([]route{a, b}, "svc")
	if err := w.startDaemons(); err != nil {
		return nil, err
	}
	w.behavior = func(task string, _ int) (time.Duration, string) {
		if len(w.ledger.of(task)) == 1 { // the first run
			return 6 * time.Second, "failed"
		}
		return time.Second, "done"
	}
	var jobs []*jobSpec
	for n := 1; n <= 3; n++ {
		j := &jobSpec{ID: fmt.Sprintf("%016x", n), Prefix: "/b/", Spec: "x", Steps: []stepSpec{{Count: 1, CPU: 500, Mem: 256, EstimateMS: 5000}}}
		if !w.submit(j, 10*time.Second) {
			return nil, errors.New("a job is not accepted")
		}
		jobs = append(jobs, j)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		w.configure([]route{a}, "svc")
	}
	time.Sleep(8 * time.Second)
	if trouble {
		w.configure([]route{a, b}, "svc")
	}
	time.Sleep(5 * time.Second)
	var breaches []string
	for _, j := range jobs {
		s, ended := w.state(j, 3*time.Second), 0
		for _, x := range w.ledger.of(j.ID + ".0.0.0") {
			if x.How == "failed" {
				ended++
			}
		}
		w.rec.add("job is shown", "job", j.ID, "state", s, "failed runs", ended)
		if s == "failed" && ended < b.Attempts {
			breaches = append(breaches, fmt.Sprintf("LOST job %s is shown as failed after %d failed runs, max-attempts is %d", j.ID, ended, b.Attempts))
		}
	}
	return breaches, nil
}
