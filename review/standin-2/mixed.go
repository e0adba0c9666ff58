package main

import (
	"fmt"
	"time"
)

// mixed: runners of a rack crash while a wave is nearly done, and are back some
// seconds later. The wave must not be said to be completed before all of its
// machines have begun their upkeep.
func (w *world) mixed() {
	const (
		machines = 24
		inWave   = 12 // half of them
		deadline = 26
		down     = 8 * time.Second // for_s of srv_crash, rack dark
	)
	w.configure(1, []route{{"send-log", "ascent", 4}}, []string{"ascent"})
	names := []string{}
	for i := range machines {
		m := w.addMachine(fmt.Sprintf("m-%02d", i), "ascent", fmt.Sprintf("r-%d", i/4))
		if i < inWave {
			names = append(names, m.id)
		}
	}
	w.startDaemons(3)
	time.Sleep(2 * time.Second)
	done := 0
	w.onUpkeep = func(m *machine, wave int) {
		w.mu.Lock()
		done++
		n := done
		w.mu.Unlock()
		if !w.trouble || n != inWave-1 {
			return
		}
		// The rack of the machine that is left crashes while the last but one is
		// down for its upkeep.
		time.Sleep(1900 * time.Millisecond)
		w.mu.Lock()
		rack := ""
		for _, id := range names {
			if len(w.machines[id].upkeeps) == 0 {
				rack = w.machines[id].rack
			}
		}
		var rs []*runner
		for _, id := range w.order {
			if x := w.machines[id]; x.rack == rack && x.runner != nil {
				rs = append(rs, x.runner)
			}
		}
		w.mu.Unlock()
		for _, r := range rs {
			w.crash(r, down)
		}
	}
	w.sendWave(1, names, deadline, 1)
	if !waitFor(60*time.Second, func() bool { return w.waveState(1) == "completed" }) {
		w.keepLogs()
		w.logf("the wave is not said to be completed")
		w.verdict(nil)
	}
	w.logf("state of wave 1: %q", w.waveState(1))
	var broken []string
	for _, id := range names {
		w.mu.Lock()
		begun := len(w.machines[id].upkeeps) > 0
		w.mu.Unlock()
		if !begun {
			broken = append(broken, fmt.Sprintf("MIXED: wave 1 is said to be completed, and %s hasn't begun its upkeep", id))
		}
	}
	time.Sleep(down) // the machine stays
	for _, id := range names {
		w.mu.Lock()
		m := w.machines[id]
		w.logf("machine %s is %s, upkeeps begun: %d", id, m.state, len(m.upkeeps))
		w.mu.Unlock()
	}
	w.keepLogs()
	w.verdict(broken)
}
