package main

import (
	"fmt"
	"strings"
	"time"
)

// rollback: the operator drops a route by mistake and adds it again some seconds later.
// In between, the daemons are stopped and started in turn, and a run fails. A job that
// was accepted before must not be shown as failed after one failed run of a task.
func (w *world) rollback() {
	const id = "00000000000000b1"
	both := []route{{"reset-plan", "ascent", 4}, {"send-log", "ascent", 4}}
	w.configure(1, both, []string{"ascent"})
	for i := range 9 {
		w.addMachine(fmt.Sprintf("m-%d", i), "ascent", fmt.Sprintf("r-%d", i/4))
	}
	w.startDaemons(3)
	time.Sleep(time.Second)
	// Two steps: the first run of the second one fails, some seconds after the stop.
	w.submit("reset-plan", id, []map[string]any{
		{"count": 1, "cpu": 1900, "mem-mb": 2000, "estimate-ms": 4200}, {"count": 1, "cpu": 1900, "mem-mb": 2000, "estimate-ms": 1700, "after": []int{0}},
	}, []*kind{{cpu: 1900, mem: 2000, takes: 4200 * time.Millisecond}, {cpu: 1900, mem: 2000, takes: 1700 * time.Millisecond, failFirst: true}})
	time.Sleep(500 * time.Millisecond)
	if w.trouble {
		w.configure(2, both[1:], []string{"ascent"})
		w.logf("operator: configuration 2 drops the route reset-plan")
		time.Sleep(500 * time.Millisecond)
		d := w.leader()
		if d == nil {
			w.broken("no daemon leads")
		}
		w.stopAndStart(d)
	}
	waitFor(20*time.Second, func() bool {
		for _, e := range w.allEvents() {
			if strings.HasPrefix(e.task, id+".0.1.") && e.what == "noted failed" {
				return true
			}
		}
		return false
	})
	if w.trouble {
		w.configure(3, both, []string{"ascent"})
		w.logf("operator: configuration 3 adds the route reset-plan again")
	}
	time.Sleep(6 * time.Second)
	w.checkLost("reset-plan", []string{id}, 1, 0, 3*time.Second)
}
