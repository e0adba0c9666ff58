package main

import (
	"fmt"
	"strings"
	"time"
)

// odd: another writer has left entries among those of the runners whose service isn't
// named in the configuration. They name no runner to use. A wave must go on to
// respect may-miss.
func (w *world) odd() {
	const (
		machines = 9
		inWave   = 4
		tasks    = 4
		mayMiss  = 1
		lasting  = "00000000000000ff"
	)
	w.configure(1, []route{{"grade-recount", "ascent", 2}}, []string{"ascent"})
	all := []string{}
	for i := range machines {
		m := w.addMachine(fmt.Sprintf("m-%d", i), "ascent", fmt.Sprintf("r-%d", i/4))
		all = append(all, m.id)
	}
	w.startDaemons(3)
	w.submit("grade-recount", lasting, []map[string]any{{
		"count": tasks, "cpu": 1300, "mem-mb": 4300, "estimate-ms": 500, "long-running": true, "max-per-server": 1, "may-miss": mayMiss,
	}}, []*kind{{cpu: 1300, mem: 4300, lasts: true}})
	if !waitFor(10*time.Second, func() bool { return w.lasting(lasting, tasks) == tasks }) {
		w.broken("the lasting job does not run")
	}
	time.Sleep(2 * time.Second)
	// The wave has the machines of two tasks, and two others without any.
	var names, others []string
	w.mu.Lock()
	for _, id := range all {
		r := w.machines[id].runner
		r.mu.Lock()
		switch {
		case r.running[lasting+".0.0.0"] != nil || r.running[lasting+".0.0.1"] != nil:
			names = append(names, id)
		case len(r.running) == 0:
			others = append(others, id)
		}
		r.mu.Unlock()
	}
	w.mu.Unlock()
	names = append(names, others[:inWave-len(names)]...)
	if w.trouble {
		for i := range 2 {
			for _, r := range w.runnersWith(fmt.Sprintf("%s.0.0.%d", lasting, i)) {
				r.mu.Lock()
				e := r.entry()
				r.mu.Unlock()
				e["service"], e["born"] = "warehouse", time.Now().UnixMilli()
				w.store.put(fmt.Sprintf("servers/odd-%d", i), e)
				w.logf("another writer leaves servers/odd-%d: service warehouse, machine %s", i, r.machine.id)
			}
		}
	}
	time.Sleep(2 * time.Second)
	w.sendWave(1, names, 24, inWave)
	waitFor(32*time.Second, func() bool { return w.waveState(1) == "completed" })
	time.Sleep(time.Second)
	w.logf("state of wave 1: %q", w.waveState(1))
	w.keepLogs()
	w.verdict(w.checkAvail(lasting+".0.0.", tasks, mayMiss))
}

// checkAvail checks the rule AVAIL for the tasks of a step: one that is at work must not
// be ended by a stop or an upkeep while may-miss others are away, because such an
// order ended them.
func (w *world) checkAvail(prefix string, tasks, mayMiss int) []string {
	var broken []string
	at := map[string]time.Time{} // since when a task is at work
	away := map[string]event{}   // the order that ended it
	for _, e := range w.allEvents() {
		if !strings.HasPrefix(e.task, prefix) {
			continue
		}
		switch {
		case e.what == "start":
			at[e.task] = e.at.Add(startup)
		case e.what == "stopped" || strings.HasPrefix(e.what, "killed"):
			n := 0
			for t, x := range away {
				// Tasks that the same upkeep ends do not count for each other.
				if t != e.task && x.runner != e.runner && (at[t].Before(x.at) || at[t].After(e.at)) {
					n++
				}
			}
			working := at[e.task].Before(e.at)
			w.logf("AVAIL: %s ended by an order at %.3f s, at work: %v, others away: %d of %d", e.task, e.at.Sub(w.start).Seconds(), working, n, tasks-1)
			if working && n >= mayMiss {
				broken = append(broken, fmt.Sprintf("AVAIL: at %.3f s %s was at work on %s and ended by an order (%s) while %d others were away, may-miss %d", e.at.Sub(w.start).Seconds(), e.task, e.runner, e.what, n, mayMiss))
			}
			away[e.task] = e
		}
	}
	return broken
}
