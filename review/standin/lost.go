package main

import (
	"fmt"
	"time"
)

// turn returns a task of a job whose turn has come: it is due, its step's
// predecessors are done, and it is not done. It returns an empty string if there
// is none.
func (w *world) turn(j *jobSpec, now time.Time) string {
	for k := range max(j.Repeats, 1) {
		if now.UnixMilli() < j.FirstMS+int64(k)*int64(j.PeriodMS) {
			break
		}
		var done []bool
		for s, step := range j.Steps {
			complete, first, ready := true, "", true
			for i := range step.Count {
				name := fmt.Sprintf("%s.%d.%d.%d", j.ID, k, s, i)
				if !w.ledger.isDone(name) {
					complete = false
					if first == "" {
						first = name
					}
				}
			}
			for _, a := range step.After {
				ready = ready && done[a]
			}
			if ready && !complete {
				return first
			}
			done = append(done, complete)
		}
	}
	return ""
}

// isDone reports whether a run of a task has ended as done.
func (l *ledger) isDone(task string) bool {
	for _, x := range l.of(task) {
		if x.How == "done" {
			return true
		}
	}
	return false
}

// lost returns the jobs of which nothing runs for 3 s while a task's turn has
// come, a runner has room for it twice over, and under half of the capacity of
// all runners is in use.
func (w *world) lost(jobs []*jobSpec) []string {
	const span = 3 * time.Second
	waiting := make(map[*jobSpec]string)
	for _, j := range jobs {
		waiting[j] = ""
	}
	for until := time.Now().Add(span); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		used, all, room := w.capacity()
		for j := range waiting {
			t := w.turn(j, time.Now())
			if t == "" || w.ledger.active(j.ID) || 2*used >= all || 2*w.spec(t).CPU > room {
				delete(waiting, j)
				continue
			}
			waiting[j] = t
		}
	}
	used, all, _ := w.capacity()
	var b []string
	for _, j := range jobs {
		if t, ok := waiting[j]; ok {
			b = append(b, fmt.Sprintf("LOST job %s: nothing of it runs for %v, the turn of %s has come, %d of %d thousandths of cores are in use", j.ID, span, t, used, all))
		}
	}
	return b
}

// capacity returns the used and all thousandths of cores of the runners, and the
// most that one of them has free.
func (w *world) capacity() (used, all, room int) {
	w.mu.Lock()
	var rs []*runner
	for _, m := range w.machines {
		if m.runner != nil {
			rs = append(rs, m.runner)
		}
	}
	w.mu.Unlock()
	for _, r := range rs {
		n := 0
		r.mu.Lock()
		for _, x := range r.running {
			n += w.spec(x.Task).CPU
		}
		r.mu.Unlock()
		used, all, room = used+n, all+r.mach.capacity.CPU, max(room, r.mach.capacity.CPU-n)
	}
	return used, all, room
}
