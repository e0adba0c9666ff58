package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	maxLease   = 6 * time.Second
	stopTime   = 50 * time.Millisecond // at most stop-ms
	resultPage = 500
)

type resources struct {
	CPU int `json:"cpu"`
	Mem int `json:"mem-mb"`
	GPU int `json:"gpu"`
}

// taskRun is one run of a task on a runner.
type taskRun struct {
	Task     string
	Attempt  int
	Runner   string
	Born     int64
	Started  time.Time
	Ended    time.Time // zero while it runs
	How      string    // how it ended; "lost" with its runner
	Noted    bool      // last-seen has reached its end
	seq      int
	stopping bool
}

// behavior tells how long a run takes and how it ends.
type behavior func(task string, attempt int) (time.Duration, string)

// runner is one life of a machine: it runs tasks as it is told.
type runner struct {
	w    *world
	id   string
	mach *mach
	addr string
	born int64
	at   time.Time // of its start, for its clock
	srv  *http.Server

	mu      sync.Mutex
	fence   int64
	running map[string]*taskRun
	floor   map[string]int // attempts up to this one are not started
	ended   []*taskRun     // not forgotten
	seq     int
	until   int64 // lease end on its clock
	noted   int
	changed chan struct{}
	dead    bool
}

func (w *world) startRunner(id string, m *mach, addr string) *runner {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		panic(err)
	}
	r := &runner{
		w: w, id: id, mach: m, addr: l.Addr().String(), born: time.Now().UnixMilli(), at: time.Now(),
		running: make(map[string]*taskRun), floor: make(map[string]int), changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", r.start)
	mux.HandleFunc("POST /api/run-stop", r.stop)
	mux.HandleFunc("POST /api/hold", r.hold)
	mux.HandleFunc("POST /api/pace", r.pace)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	r.srv = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, q *http.Request) {
		if e := q.Header.Get("Expect-Instance"); e != "" && e != id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		mux.ServeHTTP(rw, q)
	})}
	go func() { _ = r.srv.Serve(l) }()
	go r.lapse()
	w.rec.add("runner starts", "runner", id, "machine", m.id, "born", r.born)
	w.store.put("servers/"+id, map[string]any{
		"service": m.pool, "addr": r.addr, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0,
		"capacity": m.capacity, "labels": []string{"a", m.rack}, "machine": m.id, "born": r.born, "seq": 1,
	})
	return r
}

// crash ends the runner as a loss of power would: its listener and connections
// are gone, and so is all that it ran and knew.
func (r *runner) crash() {
	r.mu.Lock()
	r.dead = true
	now := time.Now()
	for _, x := range r.running {
		r.w.ledger.end(x, now, "lost")
	}
	n := len(r.running)
	r.running = make(map[string]*taskRun)
	r.wake()
	r.mu.Unlock()
	_ = r.srv.Close()
	r.w.rec.add("runner crashes", "runner", r.id, "born", r.born, "runs", n)
}

func (r *runner) clock() int64 { return time.Since(r.at).Milliseconds() + 1000 }

func (r *runner) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// lapse kills everything when the lease has expired.
func (r *runner) lapse() {
	for range time.Tick(10 * time.Millisecond) {
		r.mu.Lock()
		if r.dead {
			r.mu.Unlock()
			return
		}
		if len(r.running) > 0 && r.clock() > r.until {
			for _, x := range r.running {
				r.finish(x, "lapsed")
			}
		}
		r.mu.Unlock()
	}
}

func (r *runner) finish(x *taskRun, how string) {
	if r.running[x.Task] != x {
		return
	}
	delete(r.running, x.Task)
	r.floor[x.Task] = max(r.floor[x.Task], x.Attempt)
	r.seq++
	x.seq = r.seq
	r.ended = append(r.ended, x)
	r.w.ledger.end(x, time.Now(), how)
	r.wake()
}

func (r *runner) extend(until int64) {
	r.until = max(r.until, min(until, r.clock()+maxLease.Milliseconds()))
}

// answer replies with the fields that every response has.
func (r *runner) answer(w http.ResponseWriter, status int, v map[string]any) {
	if r.dead {
		panic(http.ErrAbortHandler)
	}
	v["clock-ms"], v["born"] = r.clock(), r.born
	reply(w, status, v)
}

// fenced rejects a command of a lower fence than the highest seen.
func (r *runner) fenced(w http.ResponseWriter, fence int64) bool {
	if fence < r.fence {
		r.answer(w, http.StatusConflict, map[string]any{"reason": "fence"})
		return true
	}
	r.fence = fence
	return false
}

func (r *runner) start(w http.ResponseWriter, q *http.Request) {
	var c struct {
		Task    string `json:"task"`
		Attempt int    `json:"attempt"`
		Spec    string `json:"spec"`
		Until   int64  `json:"until-ms"`
		Fence   int64  `json:"fence"`
		Ticket  string `json:"ticket"`
	}
	if err := json.NewDecoder(q.Body).Decode(&c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fenced(w, c.Fence) {
		return
	}
	x := r.running[c.Task]
	switch {
	case x != nil && x.Attempt == c.Attempt:
		r.extend(c.Until)
		r.answer(w, http.StatusOK, map[string]any{})
		return
	case c.Attempt <= r.floor[c.Task] || x != nil:
		r.extend(c.Until)
		r.answer(w, http.StatusConflict, map[string]any{"reason": "old"})
		return
	case c.Until <= r.clock():
		r.answer(w, http.StatusConflict, map[string]any{"reason": "late"})
		return
	case !r.w.fits(r, c.Task):
		r.extend(c.Until)
		r.answer(w, http.StatusConflict, map[string]any{"reason": "room"})
		return
	case !r.w.ticketValid(c.Task, r.id, c.Ticket):
		r.answer(w, http.StatusConflict, map[string]any{"reason": "ticket"})
		return
	}
	r.extend(c.Until)
	x = &taskRun{Task: c.Task, Attempt: c.Attempt, Runner: r.id, Born: r.born, Started: time.Now()}
	r.running[c.Task] = x
	r.w.ledger.start(x)
	d, how := r.w.behave(c.Task, c.Attempt)
	if d > 0 {
		time.AfterFunc(d, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if !r.dead && !x.stopping {
				r.finish(x, how)
			}
		})
	}
	r.answer(w, http.StatusOK, map[string]any{})
}

func (r *runner) stop(w http.ResponseWriter, q *http.Request) {
	var c struct {
		Task    string `json:"task"`
		Attempt int    `json:"attempt"`
		Fence   int64  `json:"fence"`
	}
	if err := json.NewDecoder(q.Body).Decode(&c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fenced(w, c.Fence) {
		return
	}
	r.floor[c.Task] = max(r.floor[c.Task], c.Attempt)
	if x := r.running[c.Task]; x != nil && x.Attempt <= c.Attempt && !x.stopping {
		x.stopping = true
		time.AfterFunc(stopTime, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if !r.dead {
				r.finish(x, "stopped")
			}
		})
	}
	r.answer(w, http.StatusOK, map[string]any{})
}

func (r *runner) pace(w http.ResponseWriter, q *http.Request) {
	var c struct {
		Fence int64 `json:"fence"`
	}
	if err := json.NewDecoder(q.Body).Decode(&c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.fenced(w, c.Fence) {
		r.answer(w, http.StatusOK, map[string]any{})
	}
}

func (r *runner) hold(w http.ResponseWriter, q *http.Request) {
	var c struct {
		Until    int64 `json:"until-ms"`
		Fence    int64 `json:"fence"`
		LastSeen int   `json:"last-seen"`
		Wait     int64 `json:"wait-ms"`
	}
	if err := json.NewDecoder(q.Body).Decode(&c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t := time.NewTimer(time.Duration(min(c.Wait, 2000)) * time.Millisecond)
	defer t.Stop()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fenced(w, c.Fence) {
		return
	}
	r.extend(c.Until)
	for len(r.ended) > 0 && r.ended[0].seq <= c.LastSeen {
		r.w.ledger.note(r.ended[0])
		r.ended = r.ended[1:]
	}
	for waiting := c.Wait > 0; waiting && len(r.ended) == 0 && !r.dead; {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-t.C:
			waiting = false
		case <-q.Context().Done():
			waiting = false
		}
		r.mu.Lock()
	}
	running := [][]any{}
	for _, x := range r.running {
		running = append(running, []any{x.Task, x.Attempt, "", 100, r.w.spec(x.Task).CPU})
	}
	ended := [][]any{}
	for _, x := range r.ended[:min(len(r.ended), resultPage)] {
		ended = append(ended, []any{x.seq, x.Task, x.Attempt, x.How, ""})
	}
	r.answer(w, http.StatusOK, map[string]any{"running": running, "ended": ended})
}

// mach is a machine, on which one runner lives at a time.
type mach struct {
	id, pool, zone, rack string
	capacity             resources
	state                string
	runner               *runner
}

// handleMachines serves the machines' API. Moves and upkeeps end the runner at
// once; a new one joins later.
func (w *world) handleMachines() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /api/machines", func(rw http.ResponseWriter, _ *http.Request) {
		w.mu.Lock()
		defer w.mu.Unlock()
		list := []map[string]any{}
		for _, x := range w.machines {
			id := ""
			if x.runner != nil {
				id = x.runner.id
			}
			list = append(list, map[string]any{
				"machine": x.id, "pool": x.pool, "state": x.state, "zone": x.zone, "labels": []string{"a", x.rack},
				"capacity": x.capacity, "id": id,
			})
		}
		reply(rw, http.StatusOK, map[string]any{"machines": list, "next-token": nil})
	})
	m.HandleFunc("POST /api/machine-move", func(rw http.ResponseWriter, q *http.Request) {
		var c struct{ Machine, Pool string }
		if err := json.NewDecoder(q.Body).Decode(&c); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		w.rec.add("machine move", "machine", c.Machine, "pool", c.Pool, "holder", q.Header.Get("Lease-Holder"), "fence", q.Header.Get("Fencing-Token"))
		w.takeDown(rw, c.Machine, "moving", c.Pool, 1500*time.Millisecond)
	})
	m.HandleFunc("POST /api/machine-upkeep", func(rw http.ResponseWriter, q *http.Request) {
		var c struct {
			Machine string
			Wave    int
		}
		if err := json.NewDecoder(q.Body).Decode(&c); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		w.rec.add("machine upkeep", "machine", c.Machine, "wave", c.Wave, "holder", q.Header.Get("Lease-Holder"), "fence", q.Header.Get("Fencing-Token"))
		w.takeDown(rw, c.Machine, "upkeep", "", 2*time.Second)
	})
	return m
}

func (w *world) takeDown(rw http.ResponseWriter, id, state, pool string, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.machines {
		if m.id != id {
			continue
		}
		if m.state != "up" {
			reply(rw, http.StatusConflict, map[string]any{"reason": "busy"})
			return
		}
		old := m.runner
		m.state, m.runner = state, nil
		if pool != "" {
			m.pool = pool
		}
		old.crash()
		w.store.remove("servers/" + old.id)
		time.AfterFunc(d, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.lives++
			m.state, m.runner = "up", w.startRunner(fmt.Sprintf("i-%08x", w.lives), m, w.anyPort())
		})
		reply(rw, http.StatusOK, struct{}{})
		return
	}
	rw.WriteHeader(http.StatusBadRequest)
}

// crashMachine crashes the runner of a machine. After down, it starts again under
// its id and at its address, and knows nothing of before.
func (w *world) crashMachine(m *mach, down time.Duration) {
	w.mu.Lock()
	old := m.runner
	m.state, m.runner = "down", nil
	w.mu.Unlock()
	old.crash()
	time.AfterFunc(down, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		m.state, m.runner = "up", w.startRunner(old.id, m, old.addr)
	})
}

func serve(h http.Handler, addr string) string {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		panic(err)
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String()
}
