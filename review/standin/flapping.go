package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["flapping"] = flapping }

const (
	// downTime is how long the runner is down after a crash, and upTime how long
	// it is up until the next one.
	downTime = time.Second
	upTime   = 600 * time.Millisecond
)

// flapping crashes the runner of one machine again and again while jobs arrive.
// No run ends as failed.
func flapping(w *world, trouble bool) ([]string, error) {
	w.addMachines("svc", 6, resources{CPU: 16000, Mem: 32768})
	w.configure([]route{{Name: "r-a", Prefix: "/a/", Service: "svc", Attempts: 4}}, "svc")
	if err := w.startDaemons(); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var jobs []*jobSpec
	var wg sync.WaitGroup
	end := time.Now().Add(50 * time.Second)
	wg.Go(func() {
		for n := 1; time.Now().Before(end); n++ {
			j := &jobSpec{ID: fmt.Sprintf("%016x", n), Prefix: "/a/", Spec: "x", Steps: []stepSpec{{Count: 4, CPU: 900, Mem: 1300, EstimateMS: 900}}}
			wg.Go(func() {
				if w.submit(j, 10*time.Second) {
					mu.Lock()
					jobs = append(jobs, j)
					mu.Unlock()
				}
			})
			time.Sleep(time.Duration(rand.ExpFloat64() * float64(65*time.Millisecond)))
		}
	})
	if trouble {
		m := w.machines[0]
		for time.Now().Before(end) {
			time.Sleep(4 * time.Second)
			for range 3 {
				w.crashMachine(m, downTime)
				time.Sleep(downTime + upTime)
			}
		}
	}
	wg.Wait()
	time.Sleep(finishTime)
	var b []string
	if len(jobs) == 0 {
		return nil, errors.New("no job is accepted")
	}
	states := make(map[string]int)
	for _, j := range jobs {
		s := w.state(j, 3*time.Second)
		states[s]++
		if s != "failed" {
			continue
		}
		failed, runs := 0, 0
		for i := range j.Steps[0].Count {
			for _, x := range w.ledger.of(fmt.Sprintf("%s.0.0.%d", j.ID, i)) {
				runs++
				if x.How == "failed" {
					failed++
				}
			}
		}
		b = append(b, fmt.Sprintf("LOST job %s is shown as failed; of %d runs %d ended as failed", j.ID, runs, failed))
	}
	w.rec.add("jobs are shown", "states", states)
	return b, nil
}
