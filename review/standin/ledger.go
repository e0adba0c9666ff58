package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record is the file of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{f: f, start: time.Now()}, err
}

// add writes one line: the time since the start in seconds, what happened, and
// names with values.
func (r *record) add(what string, kv ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "%9.3f %s", time.Since(r.start).Seconds(), what)
	for i := 0; i+1 < len(kv); i += 2 {
		v, err := json.Marshal(kv[i+1])
		if err != nil {
			v = []byte(fmt.Sprint(kv[i+1]))
		}
		fmt.Fprintf(&b, " %v=%s", kv[i], v)
	}
	fmt.Fprintln(r.f, b.String())
}

// ledger holds all runs that runners have begun.
type ledger struct {
	rec   *record
	quiet func(task string) bool // runs that are not recorded one by one

	mu   sync.Mutex
	runs map[string][]*taskRun // by task
}

func jobOf(task string) string { return task[:strings.IndexByte(task, '.')] }

func (l *ledger) start(x *taskRun) {
	l.mu.Lock()
	l.runs[x.Task] = append(l.runs[x.Task], x)
	l.mu.Unlock()
	if l.quiet == nil || !l.quiet(x.Task) {
		l.rec.add("run starts", "task", x.Task, "attempt", x.Attempt, "runner", x.Runner)
	}
}

func (l *ledger) end(x *taskRun, now time.Time, how string) {
	l.mu.Lock()
	x.Ended, x.How = now, how
	l.mu.Unlock()
	if l.quiet == nil || !l.quiet(x.Task) {
		l.rec.add("run ends", "task", x.Task, "attempt", x.Attempt, "runner", x.Runner, "how", how)
	}
}

func (l *ledger) note(x *taskRun) {
	l.mu.Lock()
	x.Noted = true
	l.mu.Unlock()
}

// of returns copies of the runs of a task, the earliest first.
func (l *ledger) of(task string) []taskRun {
	l.mu.Lock()
	defer l.mu.Unlock()
	var xs []taskRun
	for _, x := range l.runs[task] {
		xs = append(xs, *x)
	}
	return xs
}

// active reports whether a run of a job is at a runner.
func (l *ledger) active(job string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for task, xs := range l.runs {
		if jobOf(task) != job {
			continue
		}
		for _, x := range xs {
			if x.Ended.IsZero() {
				return true
			}
		}
	}
	return false
}

// twice returns the starts of tasks after a run that had ended as done and whose
// end was taken note of.
func (l *ledger) twice() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	for task, xs := range l.runs {
		for _, x := range xs {
			for _, y := range xs {
				if x.How == "done" && x.Noted && y.Started.After(x.Ended) {
					found = append(found, fmt.Sprintf("%s: attempt %d on %s ended done and was noted, attempt %d started on %s %.1f s later",
						task, x.Attempt, x.Runner, y.Attempt, y.Runner, y.Started.Sub(x.Ended).Seconds()))
				}
			}
		}
	}
	return found
}
