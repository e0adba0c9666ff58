package soak

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
)

// maxLease is the maximum lease of a runner.
const maxLease = 6 * time.Second

// runnerServer implements the contract of a runner over HTTP, in real time.
type runnerServer struct {
	machine string
	ledger  *ledger
	// accounting is set if the runner accounts for the resources of its runs and
	// takes some time to stop them.
	accounting bool
	// admissionCheck is set if an accounting runner rejects what does not fit.
	admissionCheck bool
	// onDeadlyTask is called after a deadly task has started, without the lock.
	onDeadlyTask func(t job.Task, attempt int)

	mu          sync.Mutex
	id          string
	nextID      string // ID of the next incarnation, empty if it is the same
	capacity    int    // thousandths of a core
	shrunk      []shrinkage
	changed     chan struct{}
	incarnation int // counts restarts; timers of earlier incarnations have no effect
	startedAt   time.Time
	fence       int64
	leaseUntil  time.Time
	running     map[job.Task]*runnerRun
	rejectUpTo  map[job.Task]int // attempts up to this one are not started
	results     []runnerResult
	acked       int // number of acknowledged results
	down        bool
	crashes     int // crashes that have not ended; faults overlap
}

type runnerRun struct {
	attempt int
	endsAt  time.Time
	cause   string
	cpu     int
}

type runnerResult struct {
	row     []any // the result as a poll returns it
	task    job.Task
	cause   string
	endedAt time.Time
}

func newRunner(t *testing.T, id string, l *ledger) (*runnerServer, net.Listener) {
	t.Helper()
	r := &runnerServer{id: id, machine: "m-" + id, ledger: l, capacity: fullCapacity, changed: make(chan struct{})}
	r.resetState()
	ln, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := http.NewServeMux()
	m.HandleFunc("POST /api/run-start", r.command(r.start))
	m.HandleFunc("POST /api/run-stop", r.command(r.stop))
	m.HandleFunc("POST /api/hold", r.command(r.poll))
	s := &http.Server{Handler: m, ReadHeaderTimeout: time.Minute, ConnContext: r.connContext}
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { _ = s.Close() })
	return r, ln
}

// resetState starts a new incarnation without any state of the previous one.
func (r *runnerServer) resetState() {
	r.incarnation++
	r.startedAt, r.fence, r.leaseUntil, r.acked, r.down = time.Now(), 0, time.Time{}, 0, false
	r.running, r.rejectUpTo, r.results = make(map[job.Task]*runnerRun), make(map[job.Task]int), nil
}

// crash ends the incarnation; all of its runs and results are lost. With newID
// set, the next incarnation has another ID.
func (r *runnerServer) crash(newID bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = true
	r.crashes++
	if newID {
		r.nextID = fmt.Sprintf("%s-%d", strings.TrimPrefix(r.machine, "m-"), r.incarnation)
	}
	r.ledger.event("runner crashed", r.id, "runs", len(r.running), "new-id", r.nextID)
	for t, run := range r.running {
		r.ledger.ended(r, t, run.attempt, "crashed")
	}
	r.running = make(map[job.Task]*runnerRun)
	r.notify()
}

// recoverFromCrash starts the next incarnation, unless another crash has not
// ended, and reports whether it did. It returns the previous ID if that is no
// longer in use.
func (r *runnerServer) recoverFromCrash() (previous string, recovered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.crashes--; r.crashes > 0 {
		return "", false
	}
	if r.nextID != "" {
		previous, r.id, r.nextID = r.id, r.nextID, ""
	}
	r.resetState()
	r.ledger.event("runner started", r.id, "born", r.startedAt.UnixMilli(), "previous", previous)
	return previous, true
}

func (r *runnerServer) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// clock returns the runner's clock in milliseconds. It reads 1000 at the start of
// an incarnation.
func (r *runnerServer) clock() int64 { return time.Since(r.startedAt).Milliseconds() + 1000 }

// storeEntry returns the key and value of the runner's registration in the
// store, altered by change if it is not nil. It reports whether the runner is up.
func (r *runnerServer) storeEntry(addr string, change func(entry map[string]any)) (string, []byte, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry := map[string]any{
		"service": "pool", "addr": addr, "zone": "a", "machine": r.machine, "version": "v1", "slots": 8, "state": "ready",
		"capacity": map[string]int{"cpu": r.capacity, "mem-mb": 32768}, "labels": []string{"a", "r1"}, "born": r.startedAt.UnixMilli(), "seq": 1,
	}
	if change != nil {
		change(entry)
	}
	b, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	return "servers/" + r.id, b, !r.down
}

type runnerCommand struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Spec       string `json:"spec"`
	LeaseUntil int64  `json:"until-ms"`
	Fence      int64  `json:"fence"`
	Acked      int    `json:"last-seen"`
	Wait       int64  `json:"wait-ms"`
}

// command decodes a command, checks its fence and executes it. It holds the lock
// while execute runs.
func (r *runnerServer) command(execute func(*http.Request, *runnerCommand) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		var c runnerCommand
		if err := json.NewDecoder(q.Body).Decode(&c); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		r.mu.Lock()
		if r.down || q.Context().Value(incarnationKey{}) != r.incarnation {
			r.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if id := q.Header.Get("Expect-Instance"); id != "" && id != r.id {
			r.mu.Unlock()
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		status, body := http.StatusConflict, map[string]any{"reason": "fence"}
		if c.Fence >= r.fence {
			r.fence = c.Fence
			r.expireLease()
			status, body = execute(q, &c)
		}
		body["clock-ms"], body["born"] = r.clock(), r.startedAt.UnixMilli()
		r.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body) // a disconnected caller needs no response
	}
}

// extend extends the lease to a time of the runner's clock, in milliseconds, but
// not beyond maxLease from now. Zero does not extend it.
func (r *runnerServer) extend(until int64) {
	if until == 0 {
		return
	}
	at := r.startedAt.Add(time.Duration(until-1000) * time.Millisecond)
	if latest := time.Now().Add(maxLease); at.After(latest) {
		at = latest
	}
	if at.After(r.leaseUntil) {
		r.leaseUntil = at
	}
}

// expireLease ends all runs if the lease has expired.
func (r *runnerServer) expireLease() {
	if len(r.running) == 0 || time.Now().Before(r.leaseUntil) {
		return
	}
	for t := range r.running {
		r.finish(t, "lapsed")
	}
}

func (r *runnerServer) finish(t job.Task, cause string) {
	run := r.running[t]
	delete(r.running, t)
	r.rejectUpTo[t] = max(r.rejectUpTo[t], run.attempt)
	r.results = append(r.results, runnerResult{
		row: []any{len(r.results) + 1, t.String(), run.attempt, cause, ""}, task: t, cause: cause, endedAt: time.Now(),
	})
	r.ledger.ended(r, t, run.attempt, cause)
	r.notify()
}

func rejected(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

func (r *runnerServer) start(_ *http.Request, c *runnerCommand) (int, map[string]any) {
	t, err := job.ParseTask(c.Task)
	if err != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	if c.LeaseUntil < r.clock() {
		return rejected("late")
	}
	r.extend(c.LeaseUntil)
	run := r.running[t]
	switch {
	case run != nil && run.attempt == c.Attempt:
		return http.StatusOK, map[string]any{}
	case run != nil || c.Attempt <= r.rejectUpTo[t]:
		return rejected("old")
	case r.accounting && r.admissionCheck && r.used()+r.ledger.cpu(t) > r.capacity, !r.accounting && len(r.running) >= 8:
		return rejected("room")
	}
	runTime, cause := taskOutcome(c.Task, c.Attempt)
	r.running[t] = &runnerRun{attempt: c.Attempt, endsAt: time.Now().Add(runTime), cause: cause, cpu: r.ledger.cpu(t)}
	r.ledger.started(r, t, c.Attempt, c.Spec)
	if r.accounting && !r.admissionCheck {
		r.ledger.checkLimit(r, t)
	}
	if r.ledger.isDeadly(t) {
		time.AfterFunc(deadlyDelay, func() { r.onDeadlyTask(t, c.Attempt) })
	}
	incarnation := r.incarnation
	time.AfterFunc(runTime, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.incarnation != incarnation || r.down {
			return
		}
		r.expireLease()
		if run := r.running[t]; run != nil && run.attempt == c.Attempt {
			r.finish(t, run.cause)
		}
	})
	return http.StatusOK, map[string]any{}
}

// taskOutcome returns the run time of an attempt of a task and the cause of its
// end. One attempt in twenty fails.
func taskOutcome(task string, attempt int) (time.Duration, string) {
	h := fnv.New32a()
	_, _ = fmt.Fprintf(h, "%s %d", task, attempt) // a hash never returns a write error
	n := h.Sum32()
	cause := "done"
	if n%20 == 0 {
		cause = "failed"
	}
	return time.Duration(50+n/20%400) * time.Millisecond, cause
}

func (r *runnerServer) stop(_ *http.Request, c *runnerCommand) (int, map[string]any) {
	t, err := job.ParseTask(c.Task)
	if err != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	r.rejectUpTo[t] = max(r.rejectUpTo[t], c.Attempt)
	if run := r.running[t]; run != nil && run.attempt <= c.Attempt {
		if !r.accounting {
			r.finish(t, "stopped")
		} else {
			r.finishSlowly(t, run)
		}
	}
	return http.StatusOK, map[string]any{}
}

// poll extends the lease, handles acknowledgements and returns the runs and the
// unacknowledged results. Without such a result it waits for one, with the lock
// released.
func (r *runnerServer) poll(q *http.Request, c *runnerCommand) (int, map[string]any) {
	r.extend(c.LeaseUntil)
	for ; r.acked < min(c.Acked, len(r.results)); r.acked++ {
		if e := r.results[r.acked]; e.cause == "done" {
			r.ledger.resultAcked(e.task, e.endedAt)
		}
	}
	deadline := time.Now().Add(time.Duration(c.Wait) * time.Millisecond)
	incarnation := r.incarnation
	for r.acked == len(r.results) && time.Now().Before(deadline) && q.Context().Err() == nil && r.incarnation == incarnation && !r.down {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(deadline)):
		case <-q.Context().Done():
		}
		r.mu.Lock()
	}
	if r.incarnation != incarnation || r.down {
		r.mu.Unlock()
		panic(http.ErrAbortHandler) // command does not unlock after a panic
	}
	running, ended := [][]any{}, [][]any{}
	for t, run := range r.running {
		running = append(running, []any{t.String(), run.attempt, "", 100})
	}
	for _, e := range r.results[min(r.acked, len(r.results)):] {
		ended = append(ended, e.row)
	}
	return http.StatusOK, map[string]any{"running": running, "ended": ended}
}
