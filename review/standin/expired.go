package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { cases["expired"] = expired }

// expired lets the store be down while the time ends for which the outcomes of
// jobs are kept, and lets it forget its history afterwards.
func expired(w *world, trouble bool) ([]string, error) {
	w.status = 90 // 120 at the small sites; a script may take no longer than that
	w.addMachines("svc", 6, resources{CPU: 16000, Mem: 32768})
	w.configure([]route{{Name: "r-a", Prefix: "/a/", Service: "svc", Attempts: 4}}, "svc")
	if err := w.startDaemons(); err != nil {
		return nil, err
	}
	job := func(n int) *jobSpec {
		return &jobSpec{ID: fmt.Sprintf("%016x", n), Prefix: "/a/", Spec: "x", Steps: []stepSpec{{Count: 2, CPU: 500, Mem: 256, EstimateMS: 200}}}
	}
	for n := 1; n <= 10; n++ {
		if !w.submit(job(n), 10*time.Second) {
			return nil, errors.New("a job is not accepted")
		}
	}
	for n := 1; n <= 10; n++ {
		if !w.awaitState(job(n), "completed", 10*time.Second) {
			return nil, errors.New("a job is not completed")
		}
	}
	completed := time.Now()
	stop := make(chan struct{})
	go func() { // usual traffic
		for n := 1000; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(500 * time.Millisecond):
				w.submit(job(n), time.Second)
			}
		}
	}()
	defer close(stop)
	time.Sleep(time.Until(completed.Add(88 * time.Second)))
	if trouble {
		w.rec.add("the store is down, it answers 503")
		w.store.setDown(true)
	}
	time.Sleep(4500 * time.Millisecond)
	if trouble {
		w.store.setDown(false)
		w.rec.add("the store is back")
	}
	time.Sleep(time.Second)
	if trouble {
		w.store.compact()
		w.rec.add("the store has dropped its history")
	}
	time.Sleep(5 * time.Second)
	var b []string
	for _, s := range w.ledger.twice() {
		b = append(b, "TWICE "+s)
	}
	return b, nil
}
