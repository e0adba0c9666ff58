package main

import (
	"fmt"
	"time"
)

// overlap: the operator requests two waves for the same machines, which have work.
// Jobs that come later must still run.
func (w *world) overlap() {
	const (
		machines = 6
		long     = 16 * time.Second
		deadline = 24
		traffic  = 36 * time.Second
		finish   = 14 * time.Second // finish_s
	)
	w.configure(1, []route{{"send-log", "ascent", 4}, {"reset-plan", "ascent", 4}}, []string{"ascent", "setline", "beta"})
	w.addOthers()
	names := []string{}
	for i := range machines {
		m := w.addMachine(fmt.Sprintf("m-%d", i), "ascent", fmt.Sprintf("r-%d", i/2))
		names = append(names, m.id)
	}
	w.startDaemons(3)
	time.Sleep(time.Second)
	// Three tasks for each machine.
	w.submit("reset-plan", "00000000000000d1", []map[string]any{{"count": 3 * machines, "cpu": 5000, "mem-mb": 2000, "estimate-ms": long.Milliseconds()}},
		[]*kind{{cpu: 5000, mem: 2000, takes: long}})
	time.Sleep(time.Second)
	begun := time.Now()
	w.sendWave(1, names, deadline, machines)
	if w.trouble {
		w.sendWave(2, names, deadline, machines)
	}
	ids := []string{}
	for i := 0; time.Since(begun) < traffic; i++ {
		id := fmt.Sprintf("%016x", 0xa000+i)
		w.submit("send-log", id, []map[string]any{{"count": 1, "cpu": 880, "mem-mb": 1300, "estimate-ms": 640}}, []*kind{{cpu: 880, mem: 1300, takes: 640 * time.Millisecond}})
		ids = append(ids, id)
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(finish)
	w.checkLost("send-log", ids, 1, finish, 3*time.Second)
}
