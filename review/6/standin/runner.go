package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The bounds are those of bvc-routelog.
const (
	holdMax   = 6 * time.Second
	stopTime  = 100 * time.Millisecond // at most stop-ms, 400
	heartbeat = 1500 * time.Millisecond
	startup   = 300 * time.Millisecond // until a task that lasts is at work
)

type run struct {
	task    string
	attempt int
	begun   time.Time
	stopAt  time.Time // zero: not being stopped
}

type ended struct {
	task    string
	attempt int
	how     string
	at      time.Time
	noted   bool // last-seen reached it, with no lapse since
	lapsed  bool
}

// runner is one life of a machine.
type runner struct {
	w       *world
	id      string
	machine *machine
	born    time.Time
	addr    string
	server  *http.Server
	done    chan struct{}

	mu       sync.Mutex
	changed  chan struct{}
	dead     bool
	cut      bool // partitioned from all daemons and from the store
	fence    int64
	until    time.Time
	running  map[string]*run
	rejected map[string]int // attempts up to this one are not started
	ends     []*ended
	seen     int
	seq      int
}

// newRunner starts a runner on a machine and registers it.
func newRunner(w *world, m *machine) *runner {
	l, err := net.Listen("tcp", w.ip(1)+":0")
	if err != nil {
		w.broken("listen: %v", err)
	}
	w.mu.Lock()
	w.runnerCount++
	r := &runner{
		w: w, id: fmt.Sprintf("i-%04d", w.runnerCount), machine: m, born: time.Now(), addr: l.Addr().String(), done: make(chan struct{}),
		changed: make(chan struct{}), running: map[string]*run{}, rejected: map[string]int{},
	}
	w.runners[r.id] = r
	w.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", r.command(r.start))
	mux.HandleFunc("POST /api/run-stop", r.command(r.stop))
	mux.HandleFunc("POST /api/pace", r.command(func(context.Context, *order) (int, map[string]any) { return 200, map[string]any{} }))
	mux.HandleFunc("POST /api/hold", r.command(r.hold))
	r.server = &http.Server{Handler: mux}
	go r.server.Serve(l) //nolint:errcheck // it ends with the runner
	go r.work()
	go func() {
		t := time.NewTicker(heartbeat)
		defer t.Stop()
		for {
			r.register()
			select {
			case <-t.C:
			case <-r.done:
				return
			}
		}
	}()
	return r
}

func (r *runner) entry() map[string]any {
	return map[string]any{
		"service": r.machine.pool, "addr": r.addr, "zone": "z1", "version": "1", "slots": 8, "state": "ready", "cold-left-ms": 0,
		"seq": r.seq, "machine": r.machine.id, "labels": []string{"a", r.machine.rack}, "born": r.born.UnixMilli(),
		"capacity": map[string]int{"cpu": capacityCPU, "mem-mb": capacityMem, "gpu": 0},
	}
}

func (r *runner) register() {
	r.mu.Lock()
	skip := r.dead || r.cut
	r.seq++
	e := r.entry()
	r.mu.Unlock()
	if !skip {
		r.w.store.put("servers/"+r.id, e)
	}
}

// kill ends the runner and all that runs on it, and removes its entry.
func (r *runner) kill(why string) {
	r.mu.Lock()
	if r.dead {
		r.mu.Unlock()
		return
	}
	r.dead = true
	names := []string{}
	for t := range r.running {
		names = append(names, t)
		r.w.taskEnded(r, t, r.running[t].attempt, "killed: "+why)
	}
	r.running = map[string]*run{}
	r.notify()
	r.mu.Unlock()
	close(r.done)
	r.server.Close()
	r.w.logf("runner %s of %s ends (%s) with %d tasks %s", r.id, r.machine.id, why, len(names), strings.Join(names, " "))
	r.w.store.remove("servers/" + r.id)
}

func (r *runner) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *runner) clock() int64 { return time.Since(r.born).Milliseconds() + 1000 }

type order struct {
	Task     string `json:"task"`
	Attempt  int    `json:"attempt"`
	Spec     string `json:"spec"`
	Until    int64  `json:"until-ms"`
	Fence    int64  `json:"fence"`
	LastSeen int    `json:"last-seen"`
	Wait     int64  `json:"wait-ms"`
}

func (r *runner) command(f func(context.Context, *order) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		var o order
		if json.NewDecoder(q.Body).Decode(&o) != nil {
			w.WriteHeader(400)
			return
		}
		r.mu.Lock()
		if r.cut { // what arrives is lost, and nothing is answered
			r.mu.Unlock()
			<-q.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if r.dead {
			r.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if x := q.Header.Get("Expect-Instance"); x != "" && x != r.id {
			r.mu.Unlock()
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		status, body := 409, map[string]any{"reason": "fence"}
		if o.Fence >= r.fence {
			r.fence = o.Fence
			r.settle()
			status, body = f(q.Context(), &o)
		}
		body["clock-ms"], body["born"] = r.clock(), r.born.UnixMilli()
		gone, cut := r.dead, r.cut
		r.mu.Unlock()
		if gone || cut {
			panic(http.ErrAbortHandler)
		}
		reply(w, status, body)
	}
}

func (r *runner) extend(until int64) {
	if until == 0 {
		return
	}
	at := r.born.Add(time.Duration(until-1000) * time.Millisecond)
	if latest := time.Now().Add(holdMax); at.After(latest) {
		at = latest
	}
	if at.After(r.until) {
		r.until = at
	}
}

// work lets time pass for what runs.
func (r *runner) work() {
	t := time.NewTicker(5 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-r.done:
			return
		}
		r.mu.Lock()
		r.settle()
		r.mu.Unlock()
	}
}

// settle ends the runs whose time has come. The mutex must be held.
func (r *runner) settle() {
	now := time.Now()
	if len(r.running) > 0 && now.After(r.until) {
		for t := range r.running {
			r.end(t, "lapsed")
		}
	}
	for t, x := range r.running {
		k := r.w.kindOf(t)
		switch {
		case !x.stopAt.IsZero():
			if now.After(x.stopAt) {
				r.end(t, "stopped")
			}
		case !k.lasts && now.Sub(x.begun) >= k.takes:
			how := "done"
			if k.failFirst && !r.w.hasEnded(t) {
				how = "failed"
			}
			r.end(t, how)
		}
	}
}

func (r *runner) end(t, how string) {
	x := r.running[t]
	delete(r.running, t)
	r.rejected[t] = max(r.rejected[t], x.attempt)
	r.ends = append(r.ends, &ended{task: t, attempt: x.attempt, how: how, at: time.Now()})
	r.w.taskEnded(r, t, x.attempt, how)
	r.notify()
}

func (r *runner) used() (cpu, mem int) {
	for t := range r.running {
		k := r.w.kindOf(t)
		cpu, mem = cpu+k.cpu, mem+k.mem
	}
	return cpu, mem
}

func no(reason string) (int, map[string]any) { return 409, map[string]any{"reason": reason} }

func (r *runner) start(_ context.Context, o *order) (int, map[string]any) {
	if o.Until < r.clock() {
		return no("late")
	}
	r.extend(o.Until)
	x := r.running[o.Task]
	if x != nil && x.attempt == o.Attempt {
		return 200, map[string]any{}
	}
	if x != nil || o.Attempt <= r.rejected[o.Task] {
		return no("old")
	}
	k := r.w.kindOf(o.Task)
	if k == nil {
		r.w.logf("start of an unknown task %s", o.Task)
		return 400, map[string]any{}
	}
	cpu, mem := r.used()
	if cpu+k.cpu > capacityCPU || mem+k.mem > capacityMem {
		return no("room")
	}
	r.running[o.Task] = &run{task: o.Task, attempt: o.Attempt, begun: time.Now()}
	r.w.taskStarted(r, o.Task, o.Attempt)
	return 200, map[string]any{}
}

func (r *runner) stop(_ context.Context, o *order) (int, map[string]any) {
	r.rejected[o.Task] = max(r.rejected[o.Task], o.Attempt)
	if x := r.running[o.Task]; x != nil && x.attempt <= o.Attempt && x.stopAt.IsZero() {
		x.stopAt = time.Now().Add(stopTime)
		r.w.logf("stop of %s attempt %d on %s", o.Task, o.Attempt, r.id)
	}
	return 200, map[string]any{}
}

func (r *runner) hold(ctx context.Context, o *order) (int, map[string]any) {
	r.extend(o.Until)
	for ; r.seen < min(o.LastSeen, len(r.ends)); r.seen++ {
		r.w.endNoted(r, r.ends[r.seen])
	}
	deadline := time.Now().Add(time.Duration(o.Wait) * time.Millisecond)
	for r.seen == len(r.ends) && time.Now().Before(deadline) && ctx.Err() == nil && !r.dead && !r.cut {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(deadline)):
		case <-ctx.Done():
		}
		r.mu.Lock()
	}
	running, ends := [][]any{}, [][]any{}
	for t, x := range r.running {
		percent := 100
		if time.Since(x.begun) < startup {
			percent = 0
		}
		running = append(running, []any{t, x.attempt, "", percent, r.w.kindOf(t).cpu})
	}
	for i := r.seen; i < len(r.ends) && len(ends) < 500; i++ {
		e := r.ends[i]
		ends = append(ends, []any{i + 1, e.task, e.attempt, e.how, ""})
	}
	return 200, map[string]any{"running": running, "ended": ends}
}
