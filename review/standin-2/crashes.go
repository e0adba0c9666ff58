package main

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"
)

// crashes: two runners crash, each just after it was given a task of a job. The job
// must not be shown as failed, since no run of it ended as failed.
func (w *world) crashes() {
	const (
		down  = 4500 * time.Millisecond // for_s of srv_crash
		after = 60 * time.Millisecond
		id    = "00000000000000c1"
	)
	w.configure(1, []route{{"send-log", "ascent", 4}}, []string{"ascent"})
	for i := range 9 {
		w.addMachine(fmt.Sprintf("m-%d", i), "ascent", fmt.Sprintf("r-%d", i/4))
	}
	var starts atomic.Int32
	w.onStart = func(r *runner, task string, attempt int) {
		if w.trouble && strings.HasPrefix(task, id) && starts.Add(1) <= 2 {
			time.Sleep(after)
			w.crash(r, down)
		}
	}
	w.startDaemons(3)
	time.Sleep(time.Second)
	w.submit("send-log", id, []map[string]any{{"count": 1, "cpu": 880, "mem-mb": 1300, "estimate-ms": 640}}, []*kind{{cpu: 880, mem: 1300, takes: 640 * time.Millisecond}})
	last := ""
	waitFor(60*time.Second, func() bool {
		st, err := w.state("send-log", id)
		if st != last {
			w.logf("client asks for send-log/%s: %s %v", id, st, err)
			last = st
		}
		return st == "failed" || st == "completed"
	})
	w.checkLost("send-log", []string{id}, 1, 0, 3*time.Second)
}
