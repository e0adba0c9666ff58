package main

import (
	"fmt"
	"strings"
	"time"
)

// cases are the cases by name. Each returns how the rule was broken, or nothing.
var cases = map[string]func(*world) string{
	"batch-crashes":   batchCrashes,
	"lasting-crashes": lastingCrashes,
	"cut-label":       cutLabel,
	"clock-back":      clockBack,
	"slow-advice":     slowAdvice,
}

func oneKind(int) string { return "a" }

// startSystem starts three daemons, one a zone, and waits until they can accept jobs.
func (w *world) startSystem() {
	for _, z := range []string{"austin", "san-marcos", "waco"} {
		w.addDaemon(z)
	}
	time.Sleep(3 * time.Second)
}

// crashUnder crashes the runner that runs a task once the run is at work for a time, and
// starts it again. It returns false if the task got no run.
func (w *world) crashUnder(task string, at, down time.Duration) bool {
	var r *runner
	ok := waitFor(20*time.Second, func() bool {
		x, _, d := w.find(task)
		r = x
		return x != nil && d >= at
	})
	if !ok {
		return false
	}
	r.crash()
	time.Sleep(down)
	r.start()
	return true
}

// batchCrashes: four crashes of runners, one of eight at a time, under a task of a job
// that could be done.
func batchCrashes(w *world) string {
	w.configure(4)
	w.addRunners("huvo11a", 8, oneKind)
	w.startSystem()
	j := &jobSpec{
		id: "5c0e7a21d94b36f8", route: "/puxa400/",
		steps: []map[string]any{{"count": 1, "cpu": 1900, "mem-mb": 2000, "estimate-ms": 2500}},
		work:  []work{{takes: 2500 * time.Millisecond}},
	}
	w.submit(j)
	go func() {
		for i := 0; w.trouble && i < 4; i++ {
			if !w.crashUnder(j.id+".0.0.0", 1500*time.Millisecond, time.Second) {
				return
			}
		}
	}()
	last := ""
	for i := 0; i < 120; i++ {
		if s := w.state(j, i); s != last {
			last = s
			w.log("client: GET %s%s -> %s", j.route, j.id, s)
		}
		if last == "completed" {
			return ""
		}
		if last == "failed" {
			return fmt.Sprintf("LOST: job %s is shown as failed; runners listed %d ends `failed` of it, max-attempts is 4; %d of its runs were lost with their runner",
				j.id, w.count("failed", j.id), w.count("lost", j.id))
		}
		time.Sleep(500 * time.Millisecond)
	}
	return fmt.Sprintf("LOST: job %s is %s after 60 s", j.id, last)
}

// lastingCrashes: the same under one task of a job that lasts; then calm.
func lastingCrashes(w *world) string {
	w.configure(2)
	w.addRunners("huvo11a", 8, oneKind)
	w.startSystem()
	j := &jobSpec{
		id: "7d90b3e2f1684ac5", route: "/tije37/",
		steps: []map[string]any{{"count": 4, "cpu": 1300, "mem-mb": 4300, "estimate-ms": 1000, "long-running": true, "may-miss": 1}},
		work:  []work{{}},
	}
	w.submit(j)
	task := j.id + ".0.0.0"
	waitFor(10*time.Second, func() bool { return w.count("began", j.id) >= 4 })
	time.Sleep(4 * time.Second)
	for i := 0; w.trouble && i < 4; i++ {
		if !w.crashUnder(task, 1500*time.Millisecond, time.Second) {
			break
		}
	}
	w.log("from here on no disruption")
	calm, away := time.Now(), time.Now()
	for i := 0; time.Since(calm) < 30*time.Second; i++ {
		if r, _, _ := w.find(task); r != nil {
			away = time.Now()
		}
		if time.Since(calm) > 12*time.Second && time.Since(away) > 12*time.Second && i%200 == 0 {
			w.log("task %s has had no run for %.1f s", task, time.Since(away).Seconds())
		}
		time.Sleep(10 * time.Millisecond)
	}
	w.log("client: GET %s%s -> %s", j.route, j.id, w.state(j, 0))
	if gap := time.Since(away); gap > 15*time.Second {
		return fmt.Sprintf("LOST: task %s, which lasts, has had no run for %.1f s of calm; %d runs of it were lost with their runner; its job is %s and uses %d of 8 runners",
			task, gap.Seconds(), w.count("lost", task), w.state(j, 0), w.using(j.id))
	}
	return ""
}

// using returns how many runners run tasks of a job.
func (w *world) using(id string) int {
	n := 0
	for _, r := range w.runners {
		r.mu.Lock()
		if r.life != nil {
			for t := range r.life.runs {
				if strings.HasPrefix(t, id) {
					n++
					break
				}
			}
		}
		r.mu.Unlock()
	}
	return n
}

// setCut cuts a runner off, or ends that.
func (r *runner) setCut(cut bool) {
	r.mu.Lock()
	r.cut = cut
	id := ""
	if r.life != nil {
		id = r.life.id
	}
	r.mu.Unlock()
	if cut {
		r.w.log("DISRUPTION runner %s is cut off and runs on", id)
		go func() {
			time.Sleep(3 * beatEvery)
			r.mu.Lock()
			still := r.cut
			r.mu.Unlock()
			if still {
				r.w.store.unset("servers/" + id)
			}
		}()
		return
	}
	r.w.log("runner %s is connected again", id)
}

// cutLabel: the only runner of a kind is cut off while a task ends on it. Later jobs that
// need that kind must run once it is back.
func cutLabel(w *world) string {
	w.configure(4)
	w.addRunners("huvo11a", 8, func(i int) string {
		if i == 0 {
			return "b"
		}
		return "a"
	})
	special := w.runners[0]
	w.startSystem()
	first := &jobSpec{
		id: "5c0e7a21d94b36f8", route: "/puxa400/",
		steps: []map[string]any{{"count": 8, "cpu": 9000, "mem-mb": 2000, "estimate-ms": 2000}},
		work:  []work{{takes: 2 * time.Second}},
	}
	w.submit(first)
	runs := func() bool {
		special.mu.Lock()
		defer special.mu.Unlock()
		return len(special.life.runs) > 0
	}
	if !waitFor(10*time.Second, runs) {
		w.fatal("no task was started on the runner of kind b", nil)
	}
	time.Sleep(500 * time.Millisecond)
	if w.trouble {
		// Two cuts of 5.5 s each, the second 4 s after the first.
		special.setCut(true)
		time.Sleep(9500 * time.Millisecond)
		special.setCut(false)
	}
	if !waitFor(30*time.Second, func() bool { return w.state(first, 0) == "completed" }) {
		w.fatal("the first job did not end", nil)
	}
	w.log("client: GET %s%s -> completed", first.route, first.id)
	time.Sleep(10 * time.Second)
	second := &jobSpec{
		id: "a1b2c3d4e5f60708", route: "/puxa400/",
		steps: []map[string]any{{"count": 1, "cpu": 1900, "mem-mb": 2000, "estimate-ms": 1000, "constraints": "b"}},
		work:  []work{{takes: time.Second}},
	}
	w.submit(second)
	return w.mustRun(second, special)
}

// clockBack: a runner that has just joined crashes and starts again under its id, after
// the time of day of its machine has jumped back. Later jobs that need it must run.
func clockBack(w *world) string {
	w.configure(4)
	w.addRunners("huvo11a", 7, oneKind)
	w.startSystem()
	w.addRunners("huvo11a", 1, func(int) string { return "b" })
	special := w.runners[7]
	special.sameID = true
	time.Sleep(1500 * time.Millisecond)
	if w.trouble {
		w.log("DISRUPTION the time of day of machine %s jumps back by 2.4 s", special.machine)
		special.step = -2400 * time.Millisecond
		time.Sleep(100 * time.Millisecond)
		special.crash()
		time.Sleep(500 * time.Millisecond)
		special.start()
	}
	time.Sleep(10 * time.Second)
	j := &jobSpec{
		id: "a1b2c3d4e5f60708", route: "/puxa400/",
		steps: []map[string]any{{"count": 1, "cpu": 1900, "mem-mb": 2000, "estimate-ms": 1000, "constraints": "b"}},
		work:  []work{{takes: time.Second}},
	}
	w.submit(j)
	return w.mustRun(j, special)
}

// mustRun watches a job that only one runner can run, for 40 s.
func (w *world) mustRun(j *jobSpec, special *runner) string {
	accepted := time.Now()
	last := ""
	for i := 0; time.Since(accepted) < 40*time.Second; i++ {
		if s := w.state(j, i); s != last {
			last = s
			w.log("client: GET %s%s -> %s", j.route, j.id, s)
		}
		if last == "completed" {
			return ""
		}
		time.Sleep(500 * time.Millisecond)
	}
	special.mu.Lock()
	n := len(special.life.runs)
	special.mu.Unlock()
	return fmt.Sprintf("LOST: job %s is %s after 40 s of calm; runner %s, which may run it, is up, answers each call, runs %d tasks and has 16 cores free for 1.9; nothing else waits",
		j.id, last, special.name(), n)
}

// slowAdvice: a new version of the configuration gives the advice of a queue a longer time.
func slowAdvice(w *world) string {
	w.configureWith(7, 4, &policy{40, 20, 5000})
	w.addRunners("huvo11a", 12, oneKind)
	w.startSystem()
	job := func(id string) *jobSpec {
		return &jobSpec{
			id: id, route: "/puxa400/",
			steps: []map[string]any{{"count": 1, "cpu": 1900, "mem-mb": 2000, "estimate-ms": 1000}},
			work:  []work{{takes: time.Second}},
		}
	}
	first := job("5c0e7a21d94b36f8")
	w.submit(first)
	if !waitFor(20*time.Second, func() bool { return w.state(first, 0) == "completed" }) {
		w.fatal("the first job did not end", nil)
	}
	w.log("client: GET %s%s -> completed", first.route, first.id)
	if w.trouble {
		w.log("DISRUPTION version 9 of the configuration: decide-ms 150, interval-ms 160")
		w.configureWith(9, 4, &policy{150, 160, 5000})
	}
	time.Sleep(10 * time.Second)
	second := job("a1b2c3d4e5f60708")
	w.submit(second)
	return w.mustRun(second, w.runners[0])
}
