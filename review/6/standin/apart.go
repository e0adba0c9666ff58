package main

import (
	"fmt"
	"time"
)

// apart: a lasting job has one task on each runner of a pool, and the operator
// requests a wave for the machines of the pool. Batch jobs must go on.
func (w *world) apart() {
	const (
		machines = 6
		traffic  = 40 * time.Second
		finish   = 14 * time.Second // finish_s
		watched  = 3 * time.Second
		lasting  = "00000000000000ff"
	)
	w.configure(1, []route{{"grade-recount", "ascent", 2}, {"send-log", "ascent", 4}}, []string{"ascent", "setline", "beta"})
	w.addOthers()
	names := []string{}
	for i := range machines {
		m := w.addMachine(fmt.Sprintf("m-%d", i), "ascent", fmt.Sprintf("r-%d", i/2))
		names = append(names, m.id)
	}
	w.startDaemons(3)
	w.submit("grade-recount", lasting, []map[string]any{{
		"count": machines, "cpu": 1300, "mem-mb": 4300, "estimate-ms": 500, "long-running": true, "max-per-server": 1, "may-miss": 1,
	}}, []*kind{{cpu: 1300, mem: 4300, lasts: true}})
	if !waitFor(10*time.Second, func() bool { return w.lasting(lasting, machines) == machines }) {
		w.broken("the lasting job does not run")
	}
	time.Sleep(2 * time.Second)
	begun := time.Now()
	if w.trouble {
		w.sendWave(1, names, 24, machines)
	}
	ids := []string{}
	for i := 0; time.Since(begun) < traffic; i++ {
		id := fmt.Sprintf("%016x", 0xa000+i)
		w.submit("send-log", id, []map[string]any{{"count": 2, "cpu": 880, "mem-mb": 1300, "estimate-ms": 640}}, []*kind{{cpu: 880, mem: 1300, takes: 640 * time.Millisecond}})
		ids = append(ids, id)
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(finish)
	w.checkLost("send-log", ids, 2, finish, watched)
}

// addOthers adds two more pools of five idle machines each.
func (w *world) addOthers() {
	for _, pool := range []string{"setline", "beta"} {
		for i := range 5 {
			w.addMachine(fmt.Sprintf("%s-%d", pool, i), pool, fmt.Sprintf("%s-%d", pool, i/4))
		}
	}
}

// checked is the pool that checkLost looks at.
const checked = "ascent"

// present returns the runners of the machines of the checked pool that are up.
func (w *world) present() []*runner {
	w.mu.Lock()
	defer w.mu.Unlock()
	var rs []*runner
	for _, id := range w.order {
		if m := w.machines[id]; m.runner != nil && m.pool == checked {
			rs = append(rs, m.runner)
		}
	}
	return rs
}

// lasting returns how many tasks of a lasting job run.
func (w *world) lasting(id string, tasks int) int {
	n := 0
	for i := range tasks {
		if len(w.runnersWith(fmt.Sprintf("%s.0.0.%d", id, i))) > 0 {
			n++
		}
	}
	return n
}

// checkLost ends the case by the rule LOST: jobs of one step without conditions, each of
// a number of tasks, must be known, and those that are not completed must have something
// running while there is capacity for them.
func (w *world) checkLost(queue string, ids []string, tasks int, finish, watched time.Duration) {
	w.logf("the traffic ended %v ago; %d jobs are asked for", finish, len(ids))
	var broken []string
	idle := map[string]bool{}
	for _, id := range ids {
		st, err := w.state(queue, id)
		w.logf("client asks for %s/%s: %s %v", queue, id, st, err)
		switch {
		case err != nil || st == "410":
			broken = append(broken, fmt.Sprintf("LOST: job %s isn't known or has no answer: %s %v", id, st, err))
		case st == "failed" || st == "cancelled":
			broken = append(broken, fmt.Sprintf("LOST: job %s is shown as %s without cause", id, st))
		case st != "completed":
			idle[id] = true
		}
	}
	all := len(w.present())
	inUse, up := 0, all
	for end := time.Now().Add(watched); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for id := range idle {
			for i := range tasks {
				if len(w.runnersWith(fmt.Sprintf("%s.0.0.%d", id, i))) > 0 {
					delete(idle, id)
				}
			}
		}
		cpu, n := 0, 0
		for _, r := range w.present() {
			n++
			r.mu.Lock()
			c, _ := r.used()
			r.mu.Unlock()
			cpu += c
		}
		inUse, up = max(inUse, cpu), min(up, n)
	}
	for _, id := range w.order {
		w.logf("machine %s is %s, upkeeps begun: %d", id, w.machines[id].state, len(w.machines[id].upkeeps))
	}
	for n := range w.waves {
		w.logf("state of wave %d: %q", n, w.waveState(n))
	}
	w.logf("capacity in use: at most %d of %d", inUse, up*capacityCPU)
	if len(idle) > 0 && 2*inUse < up*capacityCPU {
		broken = append(broken, fmt.Sprintf("LOST: %d of %d accepted jobs had nothing running for %v, %v after the end of the traffic, with %d of %d runners up and at most %d of %d in use", len(idle), len(ids), watched, finish, up, all, inUse, up*capacityCPU))
	}
	w.keepLogs()
	w.verdict(broken)
}
